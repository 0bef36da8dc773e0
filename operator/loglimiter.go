package operator

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
)

const (
	// logWindow is the period over which lines with the same message are
	// counted.
	logWindow = 10 * time.Second
	// DefaultLinesPerWindow is the default limit on lines with the same message
	// in one logWindow.
	DefaultLinesPerWindow = 20
	// maxLogMessages bounds the messages that are counted separately. All
	// further messages share one counter.
	maxLogMessages = 256
)

var suppressedLines atomic.Int64

// SuppressedLines returns the number of log lines that this process suppressed.
func SuppressedLines() int64 { return suppressedLines.Load() }

// LogLimiter is a log handler that rate-limits lines with the same message and
// level. The first line after a suppression has the field suppressed with the
// number of suppressed lines.
type LogLimiter struct {
	next     log.Handler
	maxLines int // with the same message, in each window
	now      func() time.Time

	mu       sync.Mutex
	messages map[messageKey]*lineCounter
}

type messageKey struct {
	level   log.Level
	message string
}

type lineCounter struct {
	start      time.Time
	lines      int
	suppressed int
}

// NewLogLimiter wraps next and passes at most DefaultLinesPerWindow lines with
// the same message in 10 s.
func NewLogLimiter(next log.Handler) *LogLimiter { return NewLogLimiterN(next, DefaultLinesPerWindow) }

// NewLogLimiterN wraps next and passes at most the given number of lines with
// the same message in 10 s.
func NewLogLimiterN(next log.Handler, lines int) *LogLimiter {
	return &LogLimiter{next: next, maxLines: lines, now: time.Now, messages: map[messageKey]*lineCounter{}}
}

// HandleLog implements log.Handler.
func (l *LogLimiter) HandleLog(e *log.Entry) error {
	suppressed, pass := l.allow(messageKey{e.Level, e.Message})
	if !pass {
		suppressedLines.Add(1)
		return nil
	}
	if suppressed > 0 {
		e = withField(e, "suppressed", suppressed)
	}
	return l.next.HandleLog(e)
}

// withField returns a copy of e with an additional field.
func withField(e *log.Entry, name string, value any) *log.Entry {
	c := *e
	c.Fields = make(log.Fields, len(e.Fields)+1)
	for k, v := range e.Fields {
		c.Fields[k] = v
	}
	c.Fields[name] = value
	return &c
}

// allow reports whether a line passes. suppressed is the number of lines that were
// suppressed in the previous window.
func (l *LogLimiter) allow(key messageKey) (suppressed int, pass bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	c := l.counter(key, now)
	if now.Sub(c.start) >= logWindow {
		suppressed = c.suppressed
		*c = lineCounter{start: now}
	}
	if c.lines >= l.maxLines {
		c.suppressed++
		return 0, false
	}
	c.lines++
	return suppressed, true
}

func (l *LogLimiter) counter(key messageKey, now time.Time) *lineCounter {
	c := l.messages[key]
	if c == nil && len(l.messages) >= maxLogMessages {
		l.evictExpired(now)
	}
	if c == nil && len(l.messages) >= maxLogMessages {
		key = messageKey{}
		c = l.messages[key]
	}
	if c == nil {
		c = &lineCounter{start: now}
		l.messages[key] = c
	}
	return c
}

// evictExpired removes counters whose window is over and that have no suppressed
// lines to report.
func (l *LogLimiter) evictExpired(now time.Time) {
	for key, c := range l.messages {
		if now.Sub(c.start) >= logWindow && c.suppressed == 0 {
			delete(l.messages, key)
		}
	}
}
