package replay

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"time"

	"hyssopbridge/fleet"
	"hyssopbridge/health"
)

const (
	maxLine   = 4 << 20 // bytes
	maxMillis = 1e12    // limit of times and latencies, about 30 years
)

// LineError is an error in one line of a trace.
type LineError struct {
	File string
	Line int // starting at 1
	Err  error
}

// Error returns the file, the line and the underlying error.
func (e *LineError) Error() string { return fmt.Sprintf("%s:%d: %v", e.File, e.Line, e.Err) }

// Unwrap returns the underlying error.
func (e *LineError) Unwrap() error { return e.Err }

// line holds the keys of all types of lines; pointers distinguish a missing
// key from a zero value.
type line struct {
	Type       string       `json:"type"`
	Version    *int         `json:"version"`
	Service    *string      `json:"service"`
	Floor      *int         `json:"floor"`
	DurationMS *float64     `json:"duration_ms"`
	Targets    []TargetInfo `json:"targets"`
	Nodes      []NodeInfo   `json:"nodes"`
	TMS        *float64     `json:"t_ms"`
	ID         *uint64      `json:"id"`
	Node       *string      `json:"node"`
	Target     *string      `json:"target"`
	Class      *string      `json:"class"`
	Idempotent *bool        `json:"idempotent"`
	Outcome    *string      `json:"outcome"`
	LatencyMS  *float64     `json:"latency_ms"`
	OK         *bool        `json:"ok"`
	State      *string      `json:"state"`
}

// ReadFile reads a trace from a file.
func ReadFile(name string) (*Trace, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return Read(f, name)
}

// Read reads a trace and checks it strictly. Its errors are of type
// *LineError.
func Read(r io.Reader, name string) (*Trace, error) {
	p := &parser{trace: &Trace{File: name}, open: map[uint64]bool{}}
	sc := bufio.NewScanner(r)
	sc.Buffer(make([]byte, 64<<10), maxLine)
	n := 0
	for sc.Scan() {
		n++
		if err := p.parse(sc.Bytes()); err != nil {
			return nil, &LineError{File: name, Line: n, Err: err}
		}
	}
	if err := sc.Err(); err != nil {
		return nil, &LineError{File: name, Line: n + 1, Err: err}
	}
	if !p.header {
		return nil, &LineError{File: name, Line: 1, Err: errors.New("the trace has no header line")}
	}
	return p.trace, nil
}

type parser struct {
	trace   *Trace
	header  bool
	last    time.Duration
	targets map[string]int32
	nodes   map[string]int32
	open    map[uint64]bool // true while open, false once ended
}

func (p *parser) parse(b []byte) error {
	var l line
	if err := json.Unmarshal(b, &l); err != nil {
		return err
	}
	if !p.header {
		return p.parseHeader(&l)
	}
	at, err := millis(l.TMS, "t_ms")
	if err != nil {
		return err
	}
	if at < p.last {
		return fmt.Errorf("time %v is before that of the previous line, %v", at, p.last)
	}
	p.last = at
	e := Event{At: at}
	if err := p.parseEvent(&l, &e); err != nil {
		return err
	}
	p.trace.Events = append(p.trace.Events, e)
	return nil
}

func (p *parser) parseEvent(l *line, e *Event) error {
	switch l.Type {
	case "start":
		return p.parseStart(l, e)
	case "end":
		return p.parseEnd(l, e)
	case "probe":
		return p.parseProbe(l, e)
	case "truth":
		return p.parseTruth(l, e)
	case "header":
		return errors.New("more than one header line")
	default:
		return fmt.Errorf("unknown line type %q", l.Type)
	}
}

func (p *parser) parseHeader(l *line) error {
	if l.Type != "header" {
		return fmt.Errorf("first line has type %q, want \"header\"", l.Type)
	}
	if l.Version == nil || *l.Version != Version {
		return fmt.Errorf("missing or unsupported version, want %d", Version)
	}
	if l.Service == nil || l.Floor == nil || *l.Floor < 0 {
		return errors.New("header line needs service and a floor of at least 0")
	}
	d, err := millis(l.DurationMS, "duration_ms")
	if err != nil {
		return err
	}
	t := p.trace
	t.Service, t.Floor, t.Duration, t.Targets, t.Nodes = *l.Service, *l.Floor, d, l.Targets, l.Nodes
	p.header = true
	return p.indexIDs()
}

func (p *parser) indexIDs() error {
	p.targets = map[string]int32{}
	for i, t := range p.trace.Targets {
		if _, dup := p.targets[t.ID]; dup || t.ID == "" {
			return fmt.Errorf("target ID %q is empty or a duplicate", t.ID)
		}
		p.targets[t.ID] = int32(i)
	}
	p.nodes = map[string]int32{}
	for i, n := range p.trace.Nodes {
		if _, dup := p.nodes[n.ID]; dup || n.ID == "" {
			return fmt.Errorf("node ID %q is empty or a duplicate", n.ID)
		}
		p.nodes[n.ID] = int32(i)
	}
	return nil
}

func (p *parser) parseStart(l *line, e *Event) error {
	e.Kind = Start
	if l.ID == nil || l.Class == nil || l.Idempotent == nil {
		return errors.New("start line needs id, class and idempotent")
	}
	if _, seen := p.open[*l.ID]; seen {
		return fmt.Errorf("request %d starts twice", *l.ID)
	}
	class, err := fleet.ParseClass(*l.Class)
	if err != nil {
		return err
	}
	p.open[*l.ID] = true
	e.ID, e.Class, e.Idempotent = *l.ID, class, *l.Idempotent
	return p.parseTargetAndNode(l, e)
}

func (p *parser) parseTargetAndNode(l *line, e *Event) error {
	if err := p.parseTarget(l, e); err != nil {
		return err
	}
	if l.Node == nil {
		return errors.New("node is missing")
	}
	n, ok := p.nodes[*l.Node]
	if !ok {
		return fmt.Errorf("unknown node %q", *l.Node)
	}
	e.Node = n
	return nil
}

func (p *parser) parseTarget(l *line, e *Event) error {
	if l.Target == nil {
		return errors.New("target is missing")
	}
	t, ok := p.targets[*l.Target]
	if !ok {
		return fmt.Errorf("unknown target %q", *l.Target)
	}
	e.Target = t
	return nil
}

func (p *parser) parseEnd(l *line, e *Event) error {
	e.Kind = End
	if l.ID == nil || l.Outcome == nil {
		return errors.New("end line needs id and outcome")
	}
	if !p.open[*l.ID] {
		return fmt.Errorf("request %d ends but isn't open", *l.ID)
	}
	p.open[*l.ID] = false
	o, ok := health.ParseOutcome(*l.Outcome)
	if !ok {
		return fmt.Errorf("unknown outcome %q, want ok, error, timeout, truncated or shed", *l.Outcome)
	}
	latency, err := millis(l.LatencyMS, "latency_ms")
	e.ID, e.Outcome, e.Latency = *l.ID, o, latency
	return err
}

func (p *parser) parseProbe(l *line, e *Event) error {
	e.Kind = Probe
	if l.OK == nil {
		return errors.New("probe line needs ok")
	}
	latency, err := millis(l.LatencyMS, "latency_ms")
	if err != nil {
		return err
	}
	e.OK, e.Latency = *l.OK, latency
	return p.parseTargetAndNode(l, e)
}

func (p *parser) parseTruth(l *line, e *Event) error {
	e.Kind = Truth
	if l.State == nil {
		return errors.New("truth line needs state")
	}
	s, err := parseState(*l.State)
	if err != nil {
		return err
	}
	e.State = s
	return p.parseTarget(l, e)
}

func millis(ms *float64, key string) (time.Duration, error) {
	if ms == nil {
		return 0, fmt.Errorf("%s is missing", key)
	}
	if !(*ms >= 0 && *ms <= maxMillis) || math.IsNaN(*ms) {
		return 0, fmt.Errorf("%s is %v, want a value from 0 to %v", key, *ms, float64(maxMillis))
	}
	return fromMillis(*ms), nil
}
