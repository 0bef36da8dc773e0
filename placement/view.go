package placement

import (
	"math/rand/v2"
	"sync"
	"time"

	"hyssopbridge/admission"
)

// Config holds the weights of the order. Loads are in parts of a target's slots.
type Config struct {
	Zone             string  // availability zone of this node
	Self             string  // address of this node
	OtherZonePenalty float64 // added for a host in another availability zone
	// OtherZoneDownloadPenalty is OtherZone for requests with large answers.
	OtherZoneDownloadPenalty float64
	SelfBonus                float64 // subtracted for the target on this node's own host
	NonIdempotentRiskWeight  float64 // added, times the chance of failure, for work that must not repeat
	IdempotentRiskWeight     float64 // the same for idempotent work
	IdleBonus                float64 // subtracted for a target that has had no work for some time
	LongIdleBonus            float64 // subtracted besides, in proportion, until it has had no work for LongIdleAfter
	LongIdleAfter            time.Duration
	IdleTestShare            float64       // part of the targets without work from which work that must not repeat tests them
	ColdStartPenalty         float64       // added for a target that has just started
	Jitter                   float64       // range of the random part
	TrialChance              float64       // chance that an idempotent request asks a gray target whose trial is due
	OtherZoneTrialChance     float64       // the same for a target in another availability zone
	OtherZoneTrialAfter      time.Duration // how long a trial must be due until other availability zones make it
	InitialBackoff           time.Duration
	MaxBackoff               time.Duration
	DownAfter                time.Duration // a host that was silent for longer and does not answer counts as down
	StaleAfter               time.Duration // a host that was silent for longer is asked last
	RefusalHold              time.Duration // how long after a refusal a host in the own zone is not asked again
	OtherZoneRefusalHold     time.Duration // the same for a host in another zone, where asking is charged for
}

// DefaultConfig returns the weights for a node.
func DefaultConfig(self, zone string) Config {
	return Config{
		Zone: zone, Self: self,
		OtherZonePenalty: 1.1, OtherZoneDownloadPenalty: 3, SelfBonus: 0.1, NonIdempotentRiskWeight: 2, IdempotentRiskWeight: 1, IdleBonus: 0.8, IdleTestShare: 0.2, LongIdleBonus: 0.6, LongIdleAfter: 2 * time.Second, ColdStartPenalty: 0.4, Jitter: 0.2, TrialChance: 0.5, OtherZoneTrialChance: 0.3, OtherZoneTrialAfter: time.Second,
		InitialBackoff: 500 * time.Millisecond, MaxBackoff: 4 * time.Second,
		DownAfter: 1500 * time.Millisecond, StaleAfter: 4 * time.Second, RefusalHold: 60 * time.Millisecond, OtherZoneRefusalHold: 150 * time.Millisecond,
	}
}

// Host is a host node as other nodes know it.
type Host struct {
	Addr string // IP:port of its request listener
	Zone string
}

type host struct {
	Host
	status   admission.Status
	at       time.Duration // receipt of status
	heard    time.Duration // receipt of anything
	open     int           // requests of this node under way there
	failures int           // consecutive failures of the path to the host
	avoid    time.Duration // the path is not used before
	refused  time.Duration // end of the hold after a refusal
}

// View is what an entry node knows of the host nodes. Its methods are safe for
// concurrent use.
type View struct {
	cfg Config
	now func() time.Duration

	mu        sync.Mutex
	hosts     map[string]*host
	byService map[string][]*host
	rand      *rand.Rand
}

// NewView returns an empty View. now is a monotonic clock.
func NewView(cfg Config, now func() time.Duration, seed uint64) *View {
	return &View{
		cfg: cfg, now: now,
		hosts: map[string]*host{}, byService: map[string][]*host{},
		rand: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
	}
}

// Update records the status of a host node.
func (v *View) Update(h Host, s admission.Status) {
	v.mu.Lock()
	defer v.mu.Unlock()
	known := v.hosts[h.Addr]
	if known == nil {
		known = &host{Host: h}
		v.hosts[h.Addr] = known
	}
	if known.status.Service != s.Service {
		v.unlist(known)
		if s.Service != "" {
			v.byService[s.Service] = append(v.byService[s.Service], known)
		}
	}
	now := v.now()
	if now-known.heard > v.cfg.DownAfter {
		known.failures, known.avoid = 0, 0 // it is back
	}
	known.Host = h
	known.status = s
	known.at = now
	known.heard = known.at
}

// Refresh records the status that a known host node sent with an answer.
func (v *View) Refresh(addr string, s admission.Status) {
	v.mu.Lock()
	known := v.hosts[addr]
	h := Host{Addr: addr}
	if known != nil {
		h = known.Host
	}
	v.mu.Unlock()
	if known != nil {
		v.Update(h, s)
	}
}

// Remove forgets a host node.
func (v *View) Remove(addr string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if h := v.hosts[addr]; h != nil {
		v.unlist(h)
		delete(v.hosts, addr)
	}
}

func (v *View) unlist(h *host) {
	list := v.byService[h.status.Service]
	for i, x := range list {
		if x == h {
			v.byService[h.status.Service] = append(list[:i:i], list[i+1:]...)
			return
		}
	}
}

// Begin counts a request under way at a host.
func (v *View) Begin(addr string) { v.count(addr, 1) }

// End ends a request that Begin counted.
func (v *View) End(addr string) { v.count(addr, -1) }

func (v *View) count(addr string, n int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if h := v.hosts[addr]; h != nil {
		h.open = max(0, h.open+n)
	}
}

// PathFailed records that the host could not be reached or did not answer in time.
func (v *View) PathFailed(addr string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	h := v.hosts[addr]
	if h == nil {
		return
	}
	h.failures++
	now := v.now()
	wait := min(v.cfg.InitialBackoff<<min(h.failures-1, 8), v.cfg.MaxBackoff)
	if now-h.heard > v.cfg.DownAfter {
		// The host is down or cut off, not just slow to answer.
		wait = v.cfg.MaxBackoff
	}
	h.avoid = now + wait
}

// PathSucceeded records an answer of the host.
func (v *View) PathSucceeded(addr string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if h := v.hosts[addr]; h != nil {
		h.failures, h.avoid = 0, 0
		h.heard = v.now()
	}
}

// Refused records a refusal, so that the next requests ask others first.
func (v *View) Refused(addr string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if h := v.hosts[addr]; h != nil {
		hold := v.cfg.RefusalHold
		if h.Zone != v.cfg.Zone {
			hold = v.cfg.OtherZoneRefusalHold
		}
		h.refused = v.now() + hold
	}
}

// Count returns the number of hosts that are known to serve the service.
func (v *View) Count(service string) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	n := 0
	for _, h := range v.byService[service] {
		if h.status.Phase == admission.Serving {
			n++
		}
	}
	return n
}

// AdmitsRetries reports whether a request that meets a gray target could probably be
// sent again: most hosts of the service would admit a repeat.
func (v *View) AdmitsRetries(service string) bool {
	return v.mostHosts(service, func(s *admission.Status) bool { return s.AdmitsRetries })
}

// AdmitsRetryCalls reports whether a repeat at another service may call this one.
func (v *View) AdmitsRetryCalls(service string) bool {
	return v.mostHosts(service, func(s *admission.Status) bool { return s.AdmitsRetryCalls })
}

// mostHosts reports whether at least half of the hosts that serve have the property.
func (v *View) mostHosts(service string, has func(*admission.Status) bool) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	with, all := 0, 0
	for _, h := range v.byService[service] {
		if h.status.Phase != admission.Serving || h.status.Ejected {
			continue
		}
		all++
		if has(&h.status) {
			with++
		}
	}
	return 2*with >= all
}
