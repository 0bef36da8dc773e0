package standin

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"hyssopbridge/platformlog"
)

// maxRequestBytes bounds the body of an append.
const maxRequestBytes = 2 << 20

func (l *Log) routes() {
	l.mux.HandleFunc("POST /streams/{stream}/records", l.serveAppend)
	l.mux.HandleFunc("GET /streams/{stream}/records", l.serveRead)
	l.mux.HandleFunc("GET /streams/{stream}/bounds", l.serveBounds)
}

// ServeHTTP implements http.Handler.
func (l *Log) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.mux.ServeHTTP(w, r) }

func (l *Log) serveAppend(w http.ResponseWriter, r *http.Request) {
	var rec platformlog.Record
	body := http.MaxBytesReader(w, r.Body, maxRequestBytes)
	if err := json.NewDecoder(body).Decode(&rec); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	rec.Stream = r.PathValue("stream")
	offset, err := l.Append(r.Context(), rec)
	if errors.Is(err, platformlog.ErrUnknownOutcome) {
		panic(http.ErrAbortHandler) // closes the connection without an answer
	}
	writeAnswer(w, platformlog.AppendResponse{Offset: offset}, err)
}

func (l *Log) serveRead(w http.ResponseWriter, r *http.Request) {
	from, err1 := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	limit, err2 := strconv.Atoi(r.URL.Query().Get("max"))
	if err := errors.Join(err1, err2); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	entries, err := l.Read(r.Context(), r.PathValue("stream"), from, limit)
	writeAnswer(w, entries, err)
}

func (l *Log) serveBounds(w http.ResponseWriter, r *http.Request) {
	first, next, err := l.Bounds(r.Context(), r.PathValue("stream"))
	writeAnswer(w, platformlog.BoundsResponse{First: first, Next: next}, err)
}

func writeAnswer(w http.ResponseWriter, v any, err error) {
	var expired *platformlog.ExpiredError
	switch {
	case errors.As(err, &expired):
		w.WriteHeader(http.StatusGone)
		v = platformlog.BoundsResponse{First: expired.First}
	case errors.Is(err, ErrRateExceeded):
		http.Error(w, err.Error(), http.StatusTooManyRequests)
		return
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_ = json.NewEncoder(w).Encode(v)
}
