package operator

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
)

const (
	// logWindow and logPerWindow bound the lines with one message.
	logWindow = 10 * time.Second
	// DefaultLinesPerWindow is the usual number of lines.
	DefaultLinesPerWindow = 20
	// maxLogMessages bounds the messages that are counted apart. All others
	// share one bound.
	maxLogMessages = 256
)

var suppressedLines atomic.Int64

// SuppressedLines returns how many log lines of this process were suppressed.
func SuppressedLines() int64 { return suppressedLines.Load() }

// LogLimiter is a log handler that passes a bounded number of lines with the same
// message and level on. The first line after a suppression has a field with the
// number of lines that are missing.
type LogLimiter struct {
	next  log.Handler
	lines int // with one message, in each window
	now   func() time.Time

	mu       sync.Mutex
	messages map[logKey]*logCount
}

type logKey struct {
	level   log.Level
	message string
}

type logCount struct {
	start      time.Time
	lines      int
	suppressed int
}

// NewLogLimiter wraps next and passes DefaultLinesPerWindow lines with one message in 10 s.
func NewLogLimiter(next log.Handler) *LogLimiter { return NewLogLimiterN(next, DefaultLinesPerWindow) }

// NewLogLimiterN wraps next and passes the given number of lines with one
// message in 10 s.
func NewLogLimiterN(next log.Handler, lines int) *LogLimiter {
	return &LogLimiter{next: next, lines: lines, now: time.Now, messages: map[logKey]*logCount{}}
}

// HandleLog implements log.Handler.
func (l *LogLimiter) HandleLog(e *log.Entry) error {
	missing, pass := l.admit(logKey{e.Level, e.Message})
	if !pass {
		suppressedLines.Add(1)
		return nil
	}
	if missing > 0 {
		e = withField(e, "suppressed", missing)
	}
	return l.next.HandleLog(e)
}

// withField returns a copy of e with a further field.
func withField(e *log.Entry, name string, value any) *log.Entry {
	c := *e
	c.Fields = make(log.Fields, len(e.Fields)+1)
	for k, v := range e.Fields {
		c.Fields[k] = v
	}
	c.Fields[name] = value
	return &c
}

// admit reports whether a line passes, and how many before it did not.
func (l *LogLimiter) admit(key logKey) (missing int, pass bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	c := l.count(key, now)
	if now.Sub(c.start) >= logWindow {
		missing = c.suppressed
		*c = logCount{start: now}
	}
	if c.lines >= l.lines {
		c.suppressed++
		return 0, false
	}
	c.lines++
	return missing, true
}

func (l *LogLimiter) count(key logKey, now time.Time) *logCount {
	c := l.messages[key]
	if c == nil && len(l.messages) >= maxLogMessages {
		l.forget(now)
	}
	if c == nil && len(l.messages) >= maxLogMessages {
		key = logKey{}
		c = l.messages[key]
	}
	if c == nil {
		c = &logCount{start: now}
		l.messages[key] = c
	}
	return c
}

// forget drops messages whose window is over and that have nothing to report.
func (l *LogLimiter) forget(now time.Time) {
	for key, c := range l.messages {
		if now.Sub(c.start) >= logWindow && c.suppressed == 0 {
			delete(l.messages, key)
		}
	}
}
