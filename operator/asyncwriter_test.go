package operator

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/apex/log"
)

// blockedWriter blocks until it is opened.
type blockedWriter struct {
	open chan struct{}
	mu   sync.Mutex
	got  bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.open
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.got.Write(p)
}

// A stalled log reader must not block requests, and the buffer must drop the
// oldest lines, not the newest.
func TestAsyncWriterNeverBlocks(t *testing.T) {
	slow := &blockedWriter{open: make(chan struct{})}
	w := NewAsyncWriter(slow, 1000)
	logger := &log.Logger{Handler: NewLineHandler(w), Level: log.InfoLevel}
	const lines = 5000
	for i := range lines {
		logger.WithField("i", i).Info("line")
	}
	if w.Dropped() == 0 {
		t.Error("no line was dropped although the reader is blocked")
	}
	close(slow.open)
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	out := slow.got.String()
	if !strings.Contains(out, fmt.Sprint("i=", lines-1)) || len(out) > 3000 {
		t.Errorf("log has %d bytes, newest line present: %v", len(out), strings.Contains(out, fmt.Sprint("i=", lines-1)))
	}
	if n := strings.Count(out, "\n"); int64(n)+w.Dropped() != lines {
		t.Errorf("%d lines written and %d dropped, want %d in total", n, w.Dropped(), lines)
	}
	if _, err := w.Write([]byte("late\n")); err != nil {
		t.Errorf("write after close: %v", err)
	}
}
