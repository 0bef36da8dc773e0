package replay

import (
	"encoding/json"
	"io"
	"sync"
	"time"

	"hyssopbridge/health"
)

// RecorderConfig describes the trace of a running node.
type RecorderConfig struct {
	Service  string
	Floor    int
	Targets  []TargetInfo
	Nodes    []NodeInfo
	Duration time.Duration // recording stops after it; default 1 min
	MaxBytes int64         // recording stops before it is exceeded; default 16 MiB
	MaxOpen  int           // open requests followed; default 4096
}

const (
	defaultRecordTime  = time.Minute
	defaultRecordBytes = 16 << 20
	defaultRecordOpen  = 4096
)

func (c RecorderConfig) withDefaults() RecorderConfig {
	if c.Duration == 0 {
		c.Duration = defaultRecordTime
	}
	if c.MaxBytes == 0 {
		c.MaxBytes = defaultRecordBytes
	}
	if c.MaxOpen == 0 {
		c.MaxOpen = defaultRecordOpen
	}
	return c
}

// Recorder writes traffic in the trace format. A trace holds no caller data:
// requests are numbered anew, and no route, path, header or account is taken.
// A Recorder is safe for concurrent use; events that arrive out of order are
// given the time of the newest event before them.
type Recorder struct {
	mu      sync.Mutex
	w       io.Writer
	cfg     RecorderConfig
	targets map[string]bool
	nodes   map[string]bool
	open    map[uint64]uint64 // request ID to number in the trace
	next    uint64
	last    time.Duration
	written int64
	stopped bool
	err     error
}

// NewRecorder writes the header and returns a Recorder. Times given to its
// methods count from the start of the recording.
func NewRecorder(w io.Writer, cfg RecorderConfig) (*Recorder, error) {
	r := &Recorder{
		w:       w,
		cfg:     cfg.withDefaults(),
		targets: map[string]bool{},
		nodes:   map[string]bool{},
		open:    map[uint64]uint64{},
	}
	for _, t := range cfg.Targets {
		r.targets[t.ID] = true
	}
	for _, n := range cfg.Nodes {
		r.nodes[n.ID] = true
	}
	t := Trace{Service: cfg.Service, Floor: cfg.Floor, Duration: r.cfg.Duration, Targets: cfg.Targets, Nodes: cfg.Nodes}
	r.write(t.headerLine())
	return r, r.err
}

// RecordStart records the start of a request. Requests of unlisted nodes or targets
// and those beyond the bound on open requests are left out.
func (r *Recorder) RecordStart(now time.Duration, o health.RequestStart) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, twice := r.open[o.ID]
	if !r.accepts(now) || twice || len(r.open) >= r.cfg.MaxOpen || !r.targets[o.Target] || !r.nodes[o.Node] {
		return
	}
	r.next++
	l := startLine{"start", r.at(now), r.next, o.Node, o.Target, o.Class, o.Idempotent}
	if r.write(l) {
		r.open[o.ID] = r.next
	}
}

// RecordEnd records the outcome of a recorded request.
func (r *Recorder) RecordEnd(now time.Duration, o health.RequestEnd) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id, ok := r.open[o.ID]
	if !ok || !r.accepts(now) {
		return
	}
	delete(r.open, o.ID)
	r.write(endLine{"end", r.at(now), id, o.Outcome.String(), toMillis(max(0, o.Latency))})
}

// RecordProbe records the answer of a health probe.
func (r *Recorder) RecordProbe(now time.Duration, o health.ProbeResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.accepts(now) || !r.targets[o.Target] || !r.nodes[o.Node] {
		return
	}
	r.write(probeLine{"probe", r.at(now), o.Node, o.Target, o.OK, toMillis(max(0, o.Latency))})
}

// Close ends the recording and returns the first write error.
func (r *Recorder) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped = true
	return r.err
}

func (r *Recorder) accepts(now time.Duration) bool {
	if now > r.cfg.Duration {
		r.stopped = true
	}
	return !r.stopped
}

func (r *Recorder) at(now time.Duration) float64 {
	r.last = max(r.last, now)
	return toMillis(r.last)
}

// write appends a line unless it exceeds the bound, and reports success.
func (r *Recorder) write(v any) bool {
	b, err := json.Marshal(v)
	if err == nil && r.written+int64(len(b))+1 > r.cfg.MaxBytes {
		r.stopped = true
		return false
	}
	if err == nil {
		_, err = r.w.Write(append(b, '\n'))
	}
	if err != nil {
		r.err, r.stopped = err, true
		return false
	}
	r.written += int64(len(b)) + 1
	return true
}
