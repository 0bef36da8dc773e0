package standin

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"time"

	"hyssopbridge/platformlog"
)

// Log is an in-memory log. It implements platformlog.Log and http.Handler.
type Log struct {
	mu      sync.Mutex
	streams map[string]*stream
	down    bool
	now     func() time.Time
	mux     *http.ServeMux
}

type stream struct {
	first   int64
	entries []platformlog.Entry
}

// New returns an empty log. Offsets start at 1.
func New(now func() time.Time) *Log {
	l := &Log{streams: make(map[string]*stream), now: now, mux: http.NewServeMux()}
	l.mux.HandleFunc("POST /streams/{stream}/records", l.serveAppend)
	l.mux.HandleFunc("GET /streams/{stream}/records", l.serveRead)
	l.mux.HandleFunc("GET /streams/{stream}/bounds", l.serveBounds)
	return l
}

// SetDown makes every call fail with ErrUnavailable while down is true.
func (l *Log) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

func (l *Log) stream(name string) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{first: 1}
		l.streams[name] = s
	}
	return s
}

// Append implements platformlog.Log.
func (l *Log) Append(_ context.Context, r platformlog.Record) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, platformlog.ErrUnavailable
	}
	s := l.stream(r.Stream)
	offset := s.first + int64(len(s.entries))
	s.entries = append(s.entries, platformlog.Entry{Offset: offset, Time: l.now(), Record: r})
	return offset, nil
}

// Read implements platformlog.Log.
func (l *Log) Read(_ context.Context, name string, from int64, max int) ([]platformlog.Entry, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil, platformlog.ErrUnavailable
	}
	s := l.stream(name)
	if from < s.first {
		return nil, &platformlog.ExpiredError{From: from, First: s.first}
	}
	i := int(from - s.first)
	if i >= len(s.entries) {
		return nil, nil
	}
	end := min(i+max, len(s.entries))
	return append([]platformlog.Entry(nil), s.entries[i:end]...), nil
}

// Bounds implements platformlog.Log.
func (l *Log) Bounds(_ context.Context, name string) (first, next int64, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, 0, platformlog.ErrUnavailable
	}
	s := l.stream(name)
	return s.first, s.first + int64(len(s.entries)), nil
}

// ServeHTTP implements http.Handler.
func (l *Log) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.mux.ServeHTTP(w, r) }

func (l *Log) serveAppend(w http.ResponseWriter, r *http.Request) {
	var rec platformlog.Record
	if err := json.NewDecoder(r.Body).Decode(&rec); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	rec.Stream = r.PathValue("stream")
	offset, err := l.Append(r.Context(), rec)
	writeAnswer(w, platformlog.AppendAnswer{Offset: offset}, err)
}

func (l *Log) serveRead(w http.ResponseWriter, r *http.Request) {
	from, err1 := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	max, err2 := strconv.Atoi(r.URL.Query().Get("max"))
	if err := errors.Join(err1, err2); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	entries, err := l.Read(r.Context(), r.PathValue("stream"), from, max)
	writeAnswer(w, entries, err)
}

func (l *Log) serveBounds(w http.ResponseWriter, r *http.Request) {
	first, next, err := l.Bounds(r.Context(), r.PathValue("stream"))
	writeAnswer(w, platformlog.BoundsAnswer{First: first, Next: next}, err)
}

func writeAnswer(w http.ResponseWriter, v any, err error) {
	var expired *platformlog.ExpiredError
	switch {
	case errors.As(err, &expired):
		w.WriteHeader(http.StatusGone)
		v = platformlog.BoundsAnswer{First: expired.First}
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_ = json.NewEncoder(w).Encode(v)
}
