package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run, and keeps it for the checks.
type recorder struct {
	begin time.Time

	mu      sync.Mutex
	file    *os.File
	out     *bufio.Writer
	runs    map[string][]run // by request ID
	answers map[string]answer
}

// run is one run of a request at an instance.
type run struct {
	instance string
	at       time.Duration
	status   int // of the instance's answer
}

// answer is what a client received.
type answer struct {
	status    int // 0 if the connection ended without an answer
	signature string
	body      string
	at        time.Duration
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{begin: time.Now(), file: f, out: bufio.NewWriter(f), runs: map[string][]run{}, answers: map[string]answer{}}, nil
}

func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(format, args...)
}

// line writes a line. r.mu must be held.
func (r *recorder) line(format string, args ...any) {
	fmt.Fprintf(r.out, "%8.3f "+format+"\n", append([]any{time.Since(r.begin).Seconds()}, args...)...)
}

func (r *recorder) ran(id, instance string, status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id] = append(r.runs[id], run{instance, time.Since(r.begin), status})
	r.line("run %s at %s, answered with %d", id, instance, status)
}

func (r *recorder) answered(id string, a answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a.at = time.Since(r.begin)
	r.answers[id] = a
	r.line("answer to %s: status %d, signature %q, body %q", id, a.status, a.signature, a.body)
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush() // a record that is cut off shows by its missing last line
	r.file.Close()
}
