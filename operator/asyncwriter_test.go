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

// Guards against requests that wait for a reader of the log which does not
// read, and against a log that keeps the oldest lines and drops the newest.
func TestAsyncWriterNeverBlocks(t *testing.T) {
	slow := &blockedWriter{open: make(chan struct{})}
	w := NewAsyncWriter(slow, 1000)
	logger := &log.Logger{Handler: NewLineHandler(w), Level: log.InfoLevel}
	const lines = 5000
	for i := range lines {
		logger.WithField("i", i).Info("line")
	}
	if w.Dropped() == 0 {
		t.Error("nothing was dropped although nobody reads")
	}
	close(slow.open)
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	out := slow.got.String()
	if !strings.Contains(out, fmt.Sprint("i=", lines-1)) || len(out) > 3000 {
		t.Errorf("%d bytes of log, newest line present %v", len(out), strings.Contains(out, fmt.Sprint("i=", lines-1)))
	}
	if n := strings.Count(out, "\n"); int64(n)+w.Dropped() != lines {
		t.Errorf("%d lines written, %d dropped, want %d together", n, w.Dropped(), lines)
	}
	if _, err := w.Write([]byte("late\n")); err != nil {
		t.Errorf("write after close: %v", err)
	}
}
