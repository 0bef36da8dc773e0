package standin

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"hyssopbridge/platformlog"
)

// maxReadBytes bounds the data of one read, as the real service does; a reader
// cannot take a short answer for the end of the log.
const maxReadBytes = 8 << 20

// ErrRateExceeded is wrapped by the error of an append beyond the append rate.
var ErrRateExceeded = errors.New("append rate exceeded")

// Log is an in-memory log. It implements platformlog.Log and http.Handler.
type Log struct {
	opts    Options
	mux     *http.ServeMux
	mu      sync.Mutex
	streams map[string]*stream
	faults  Faults
	rng     *rand.Rand
	limiter *rate.Limiter
	late    []platformlog.Record // duplicates to append after the next append
	appends int64
}

type stream struct {
	first   int64
	entries []platformlog.Entry
}

// New returns an empty log without limits. Offsets start at 1.
func New(now func() time.Time) *Log { return NewWith(Options{Now: now}) }

// NewWith returns an empty log. Offsets start at 1.
func NewWith(o Options) *Log {
	o.setDefaults()
	l := &Log{
		opts:    o,
		streams: make(map[string]*stream),
		rng:     rand.New(rand.NewPCG(o.Seed, 0x7374616e64696e)),
		mux:     http.NewServeMux(),
	}
	if o.AppendRate > 0 {
		l.limiter = rate.NewLimiter(rate.Limit(o.AppendRate), max(1, int(o.AppendRate)))
	}
	l.routes()
	return l
}

// Appends returns the number of records taken so far, with duplicates.
func (l *Log) Appends() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Append implements platformlog.Log.
func (l *Log) Append(ctx context.Context, r platformlog.Record) (int64, error) {
	if err := l.delay(ctx); err != nil {
		return 0, fmt.Errorf("%w: %w", platformlog.ErrUnknownOutcome, err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Down || l.faults.AppendsDown {
		return 0, platformlog.ErrUnavailable
	}
	if l.limiter != nil && !l.limiter.AllowN(l.opts.Now(), 1) {
		return 0, fmt.Errorf("%w: %w", platformlog.ErrUnavailable, ErrRateExceeded)
	}
	if l.draw(l.faults.LostRequests) {
		return 0, platformlog.ErrUnknownOutcome
	}
	offset := l.append(r)
	l.repeat(r)
	if l.draw(l.faults.LostResponses) {
		return 0, platformlog.ErrUnknownOutcome
	}
	return offset, nil
}

// append adds a record. The caller holds mu.
func (l *Log) append(r platformlog.Record) int64 {
	s := l.stream(r.Stream)
	r.Data = append([]byte(nil), r.Data...)
	e := platformlog.Entry{Offset: s.first + int64(len(s.entries)), Time: l.opts.Now(), Record: r}
	s.entries = append(s.entries, e)
	l.appends++
	l.expire(s)
	return e.Offset
}

// repeat appends the duplicates that are due after r.
func (l *Log) repeat(r platformlog.Record) {
	late := l.late
	l.late = nil
	for _, d := range late {
		l.append(d)
	}
	if l.draw(l.faults.Duplicates) {
		l.append(r)
	}
	if l.draw(l.faults.LateDuplicates) {
		l.late = append(l.late, r)
	}
}

// expire drops the records beyond the limits. The caller holds mu.
func (l *Log) expire(s *stream) {
	drop := 0
	if l.opts.MaxCount > 0 {
		drop = max(0, len(s.entries)-l.opts.MaxCount)
	}
	if l.opts.MaxAge > 0 {
		oldest := l.opts.Now().Add(-l.opts.MaxAge)
		for drop < len(s.entries) && s.entries[drop].Time.Before(oldest) {
			drop++
		}
	}
	clear(s.entries[:drop])
	s.entries = s.entries[drop:]
	s.first += int64(drop)
}

// stream returns a stream without its expired records. The caller holds mu.
func (l *Log) stream(name string) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{first: 1}
		l.streams[name] = s
	}
	l.expire(s)
	return s
}

// Read implements platformlog.Log.
func (l *Log) Read(ctx context.Context, name string, from int64, limit int) ([]platformlog.Entry, error) {
	if err := l.delay(ctx); err != nil {
		return nil, fmt.Errorf("%w: %w", platformlog.ErrUnavailable, err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Down || l.faults.ReadsDown {
		return nil, platformlog.ErrUnavailable
	}
	s := l.stream(name)
	if from < s.first {
		return nil, &platformlog.ExpiredError{From: from, First: s.first}
	}
	i := min(from-s.first, int64(len(s.entries)))
	rest := s.entries[i:]
	rest = rest[:min(max(limit, 0), len(rest))]
	size := 0
	for n := range rest {
		size += len(rest[n].Data)
		if n > 0 && size > maxReadBytes {
			rest = rest[:n]
			break
		}
	}
	return append([]platformlog.Entry(nil), rest...), nil
}

// Bounds implements platformlog.Log.
func (l *Log) Bounds(ctx context.Context, name string) (first, next int64, err error) {
	if err := l.delay(ctx); err != nil {
		return 0, 0, fmt.Errorf("%w: %w", platformlog.ErrUnavailable, err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Down || l.faults.ReadsDown {
		return 0, 0, platformlog.ErrUnavailable
	}
	s := l.stream(name)
	return s.first, s.first + int64(len(s.entries)), nil
}
