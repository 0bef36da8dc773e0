package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record collects what was sent, answered and run, with seconds since its start.
type record struct {
	start time.Time

	mu    sync.Mutex
	lines []string
}

func newRecord() *record { return &record{start: time.Now()} }

// seconds returns the time t in seconds since the start of the record.
func (r *record) seconds(t time.Time) float64 { return t.Sub(r.start).Seconds() }

// add appends a line with the current time.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%8.3f ", time.Since(r.start).Seconds())+fmt.Sprintf(format, args...))
}

// write writes the lines to a file.
func (r *record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	w := bufio.NewWriter(f)
	for _, line := range r.lines {
		fmt.Fprintln(w, line)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	return f.Close()
}
