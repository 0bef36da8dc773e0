package operator

import (
	"fmt"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
)

// Guards against a failure storm that fills the log, lines that vanish without
// a count, and memory that grows with the messages.
func TestLogLimit(t *testing.T) {
	out := memory.New()
	now := time.Unix(0, 0)
	l := NewLogLimiter(out)
	l.now = func() time.Time { return now }
	logger := &log.Logger{Handler: l, Level: log.InfoLevel}
	for range 1000 {
		logger.Warn("storm")
	}
	logger.Info("storm")
	if n := len(out.Entries); n != DefaultLinesPerWindow+1 {
		t.Fatalf("%d lines passed, want %d of one level and 1 of another", n, DefaultLinesPerWindow)
	}
	now = now.Add(logWindow)
	logger.WithField("a", 1).Warn("storm")
	last := out.Entries[len(out.Entries)-1]
	if last.Fields["suppressed"] != 1000-DefaultLinesPerWindow || last.Fields["a"] != 1 {
		t.Errorf("fields %v", last.Fields)
	}
	for i := range 5000 {
		logger.Warn(fmt.Sprintf("message %d", i))
	}
	if len(l.messages) > maxLogMessages+1 {
		t.Errorf("%d messages are counted", len(l.messages))
	}
}
