package operator

import (
	"bytes"
	"io"
	"sync"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"
)

// LineHandler is a log handler that writes each entry with one call of Write.
type LineHandler struct {
	out io.Writer

	mu     sync.Mutex
	line   bytes.Buffer
	encode log.Handler
}

// NewLineHandler returns a handler that writes logfmt lines to out.
func NewLineHandler(out io.Writer) *LineHandler {
	h := &LineHandler{out: out}
	h.encode = logfmt.New(&h.line)
	return h
}

// HandleLog implements log.Handler.
func (h *LineHandler) HandleLog(e *log.Entry) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.line.Reset()
	if err := h.encode.HandleLog(e); err != nil {
		return err
	}
	_, err := h.out.Write(h.line.Bytes())
	return err
}

// AsyncWriter buffers lines and forwards them from a background goroutine.
// Write never blocks: when the underlying writer is slow, the oldest lines are
// dropped and counted.
type AsyncWriter struct {
	next io.Writer

	mu      sync.Mutex
	ready   sync.Cond
	lines   [][]byte
	bytes   int
	limit   int
	dropped int64
	closed  bool
	done    chan struct{}
}

// NewAsyncWriter returns a writer that buffers at most limit bytes. The caller
// must call Close to stop it.
func NewAsyncWriter(next io.Writer, limit int) *AsyncWriter {
	w := &AsyncWriter{next: next, limit: limit, done: make(chan struct{})}
	w.ready.L = &w.mu
	go w.run()
	return w
}

// Write implements io.Writer. p should be one line. The error is always nil.
func (w *AsyncWriter) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return len(p), nil
	}
	w.lines = append(w.lines, line)
	w.bytes += len(line)
	for w.bytes > w.limit && len(w.lines) > 1 {
		w.bytes -= len(w.lines[0])
		w.lines = w.lines[1:]
		w.dropped++
	}
	w.ready.Signal()
	return len(p), nil
}

// Dropped returns the number of dropped lines.
func (w *AsyncWriter) Dropped() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// Close flushes the buffered lines and stops the writer.
func (w *AsyncWriter) Close() error {
	w.mu.Lock()
	w.closed = true
	w.ready.Signal()
	w.mu.Unlock()
	<-w.done
	return nil
}

func (w *AsyncWriter) run() {
	defer close(w.done)
	for {
		batch := w.take()
		if batch == nil {
			return
		}
		if _, err := w.next.Write(batch); err != nil {
			w.mu.Lock()
			w.dropped++
			w.mu.Unlock()
		}
	}
}

// take waits for lines and returns them joined. It returns nil once the writer
// is closed and the buffer is empty.
func (w *AsyncWriter) take() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.lines) == 0 {
		if w.closed {
			return nil
		}
		w.ready.Wait()
	}
	batch := make([]byte, 0, w.bytes)
	for _, line := range w.lines {
		batch = append(batch, line...)
	}
	w.lines, w.bytes = nil, 0
	return batch
}
