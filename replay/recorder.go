package replay

import (
	"encoding/json"
	"io"
	"sync"
	"time"

	"hyssopbridge/health"
)

// RecorderConfig describes the trace to record and its limits.
type RecorderConfig struct {
	Service  string
	Floor    int
	Targets  []TargetInfo
	Nodes    []NodeInfo
	Duration time.Duration // recording stops after it; default 1 min
	MaxBytes int64         // recording stops before the trace exceeds it; default 16 MiB
	MaxOpen  int           // limit of open requests that are tracked; default 4096
}

const (
	defaultRecordDuration = time.Minute
	defaultRecordMaxBytes = 16 << 20
	defaultRecordMaxOpen  = 4096
)

func (c RecorderConfig) withDefaults() RecorderConfig {
	if c.Duration == 0 {
		c.Duration = defaultRecordDuration
	}
	if c.MaxBytes == 0 {
		c.MaxBytes = defaultRecordMaxBytes
	}
	if c.MaxOpen == 0 {
		c.MaxOpen = defaultRecordMaxOpen
	}
	return c
}

// Recorder writes the requests and probes of a running node in the trace
// format. A trace holds no caller data: requests are numbered anew, and no
// route, path, header or customer is recorded. A Recorder is safe for
// concurrent use; an event that arrives out of order gets the time of the
// newest event before it.
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

// NewRecorder writes the header and returns a Recorder. Times passed to its
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

// RecordStart records the start of a request. It skips requests of unlisted
// nodes or targets and those beyond the limit of open requests.
func (r *Recorder) RecordStart(now time.Duration, o health.RequestStart) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, duplicate := r.open[o.ID]
	if !r.recording(now) || duplicate || len(r.open) >= r.cfg.MaxOpen || !r.targets[o.Target] || !r.nodes[o.Node] {
		return
	}
	r.next++
	l := startLine{"start", r.at(now), r.next, o.Node, o.Target, o.Class, o.Idempotent}
	if r.write(l) {
		r.open[o.ID] = r.next
	}
}

// RecordEnd records the outcome of a request whose start was recorded.
func (r *Recorder) RecordEnd(now time.Duration, o health.RequestEnd) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id, ok := r.open[o.ID]
	if !ok || !r.recording(now) {
		return
	}
	delete(r.open, o.ID)
	r.write(endLine{"end", r.at(now), id, o.Outcome.String(), toMillis(max(0, o.Latency))})
}

// RecordProbe records the result of a health check request.
func (r *Recorder) RecordProbe(now time.Duration, o health.ProbeResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.recording(now) || !r.targets[o.Target] || !r.nodes[o.Node] {
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

func (r *Recorder) recording(now time.Duration) bool {
	if now > r.cfg.Duration {
		r.stopped = true
	}
	return !r.stopped
}

func (r *Recorder) at(now time.Duration) float64 {
	r.last = max(r.last, now)
	return toMillis(r.last)
}

// write appends a line and reports success. It ends the recording if the line
// would exceed the limit or can't be written.
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
