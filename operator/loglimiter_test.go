package operator

import (
	"fmt"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
)

// A burst of failures must not fill the log, suppressed lines must be counted,
// and memory must not grow with the number of distinct messages.
func TestLogLimit(t *testing.T) {
	out := memory.New()
	now := time.Unix(0, 0)
	l := NewLogLimiter(out)
	l.now = func() time.Time { return now }
	logger := &log.Logger{Handler: l, Level: log.InfoLevel}
	for range 1000 {
		logger.Warn("request failed")
	}
	logger.Info("request failed")
	if n := len(out.Entries); n != DefaultLinesPerWindow+1 {
		t.Fatalf("%d lines passed, want %d warnings and 1 info line", n, DefaultLinesPerWindow)
	}
	now = now.Add(logWindow)
	logger.WithField("a", 1).Warn("request failed")
	last := out.Entries[len(out.Entries)-1]
	if last.Fields["suppressed"] != 1000-DefaultLinesPerWindow || last.Fields["a"] != 1 {
		t.Errorf("fields %v", last.Fields)
	}
	for i := range 5000 {
		logger.Warn(fmt.Sprintf("message %d", i))
	}
	if len(l.messages) > maxLogMessages+1 {
		t.Errorf("%d messages are counted separately", len(l.messages))
	}
}
