package events

import (
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Defaults of Config.
const (
	DefaultRequests  = 4096
	DefaultDecisions = 4096
	DefaultPerSecond = 100
)

// maxTextBytes bounds each text of an event.
const maxTextBytes = 200

// Config configures a Log. Zero values select the defaults.
type Config struct {
	Node      string           // ID of this node
	Requests  int              // capacity for events of requests
	Decisions int              // capacity for other events
	PerSecond int              // events of one kind per second, with a burst of five times as many
	Now       func() time.Time // default time.Now
	Version   func() int64     // returns the configuration in force; default 0
}

// Log is a bounded log of events. Its methods are safe for concurrent use.
type Log struct {
	cfg       Config
	mu        sync.Mutex
	requests  ring
	decisions ring
	limits    [NumKinds]*rate.Limiter
	omitted   [NumKinds]int64
	added     [NumKinds]int64
	seq       uint64
}

// NewLog returns an empty Log.
func NewLog(cfg Config) *Log {
	cfg.setDefaults()
	l := &Log{cfg: cfg, requests: newRing(cfg.Requests), decisions: newRing(cfg.Decisions)}
	for k := range l.limits {
		l.limits[k] = rate.NewLimiter(rate.Limit(cfg.PerSecond), 5*cfg.PerSecond)
	}
	return l
}

func (c *Config) setDefaults() {
	setDefault(&c.Requests, DefaultRequests)
	setDefault(&c.Decisions, DefaultDecisions)
	setDefault(&c.PerSecond, DefaultPerSecond)
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Version == nil {
		c.Version = func() int64 { return 0 }
	}
}

func setDefault(v *int, d int) {
	if *v <= 0 {
		*v = d
	}
}

// Add appends an event unless its kind exceeds the rate limit.
func (l *Log) Add(e Event) {
	if l.Allow(e.Kind) {
		l.Append(e)
	}
}

// Allow reports whether the rate limit of a kind permits an event, and counts
// the event as omitted if not. A caller whose events are costly to build calls
// Allow first and then Append.
func (l *Log) Allow(k Kind) bool {
	now := l.cfg.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.limits[k].AllowN(now, 1) {
		l.omitted[k]++
		return false
	}
	return true
}

// Append appends an event that Allow permitted. It sets Seq, Node, Version and,
// if it is zero, Time.
func (l *Log) Append(e Event) {
	e.Node, e.Version = l.cfg.Node, l.cfg.Version()
	if e.Time.IsZero() {
		e.Time = l.cfg.Now()
	}
	// A name may be a substring of a whole header section. Cloning it lets the
	// header section be freed.
	for _, text := range []*string{&e.Service, &e.Target, &e.Reason, &e.Evidence, &e.Request} {
		*text = strings.Clone((*text)[:min(len(*text), maxTextBytes)])
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seq++
	e.Seq = l.seq
	l.added[e.Kind]++
	if e.Kind.isRequestKind() {
		l.requests.add(e)
		return
	}
	l.decisions.add(e)
}

// Counts returns the numbers of added and omitted events of a kind.
func (l *Log) Counts(k Kind) (added, omitted int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.added[k], l.omitted[k]
}

// Page is the result of a query.
type Page struct {
	Events      []Event        `json:"events"`            // oldest first
	Omitted     map[Kind]int64 `json:"omitted,omitempty"` // omitted by the rate limits since the start, by kind
	Overwritten int64          `json:"replaced"`          // overwritten since the start because a ring was full
	More        bool           `json:"more"`              // older events also match but did not fit
}

// Find returns the newest events that match f, oldest first.
func (l *Log) Find(f Filter) Page {
	limit := f.limit()
	l.mu.Lock()
	defer l.mu.Unlock()
	p := Page{Events: []Event{}, Overwritten: l.requests.overwritten + l.decisions.overwritten, Omitted: map[Kind]int64{}}
	for k, n := range l.omitted {
		if n > 0 {
			p.Omitted[Kind(k)] = n
		}
	}
	for _, r := range []*ring{&l.requests, &l.decisions} {
		found := 0
		r.newestFirst(func(e *Event) bool {
			if f.Match(e) {
				p.Events = append(p.Events, *e)
				found++
			}
			return found <= limit
		})
	}
	slices.SortFunc(p.Events, func(a, b Event) int { return int(a.Seq) - int(b.Seq) })
	if extra := len(p.Events) - limit; extra > 0 {
		p.Events, p.More = p.Events[extra:], true
	}
	return p
}
