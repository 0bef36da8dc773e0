package main

import (
	"fmt"
	"io"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the time since the start.
type record struct {
	mu    sync.Mutex
	out   io.WriteCloser
	start time.Time
}

func newRecord(path string) (*record, error) {
	out, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{out: out, start: time.Now()}, nil
}

// now returns the time since the start of the record.
func (r *record) now() time.Duration { return time.Since(r.start) }

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f %s\n", r.now().Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) close() { r.out.Close() }
