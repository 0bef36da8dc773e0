package placement

import (
	"math/rand/v2"
	"sync"
	"time"

	"hyssopbridge/admission"
)

// Config holds the parameters of the ranking. Penalties, bonuses and weights are
// in the unit of load: 1 is a target with all slots in use.
type Config struct {
	Zone             string  // availability zone of this node
	Self             string  // address of this node
	OtherZonePenalty float64 // added for a host outside the zone that the request prefers
	// OtherZoneDownloadPenalty replaces OtherZonePenalty for requests with large
	// responses.
	OtherZoneDownloadPenalty float64
	SelfBonus                float64 // subtracted for the target on this node's own host
	NonIdempotentRiskWeight  float64 // multiplied by the risk and added, for non-idempotent requests
	IdempotentRiskWeight     float64 // the same for idempotent requests
	RejectsWeight            float64 // multiplied by the fraction of requests that the target rejects and added
	IdleBonus                float64 // subtracted for a target that is idle
	LongIdleBonus            float64 // subtracted, in proportion to the time without a request, reached at LongIdleAfter
	LongIdleAfter            time.Duration
	IdleTestShare            float64       // fraction of idle targets from which non-idempotent requests test them too
	ColdStartPenalty         float64       // added for a target in its cold start
	Jitter                   float64       // upper limit of the random part of a score
	TrialChance              float64       // probability that a request becomes the trial request of an ejected target when one is due
	OtherZoneTrialChance     float64       // the same for a target in another availability zone
	OtherZoneTrialAfter      time.Duration // how long a trial request must be due before other availability zones send it
	InitialBackoff           time.Duration
	MaxBackoff               time.Duration
	DownAfter                time.Duration // an unreachable host counts as down if nothing was received from it for longer
	StaleAfter               time.Duration // a host is asked last if nothing was received from it for longer
	RefusalHold              time.Duration // how long after a refusal a host in this zone is not asked again
	OtherZoneRefusalHold     time.Duration // the same for a host in another zone, where traffic is charged for
	StatusHold               time.Duration // how long a status shows whether its host would refuse a request
	OtherZoneStatusHold      time.Duration // the same for a host in another zone
	AbsentTargetHold         time.Duration // how long a host that cannot connect to its target is not asked
}

// DefaultConfig returns the parameters for the node with the given address and zone.
func DefaultConfig(self, zone string) Config {
	return Config{
		Zone: zone, Self: self,
		OtherZonePenalty: 1.1, OtherZoneDownloadPenalty: 3, SelfBonus: 0.1, NonIdempotentRiskWeight: 2, IdempotentRiskWeight: 1, RejectsWeight: 4, IdleBonus: 0.8, IdleTestShare: 0.2, LongIdleBonus: 0.6, LongIdleAfter: 2 * time.Second, ColdStartPenalty: 0.4, Jitter: 0.2, TrialChance: 0.5, OtherZoneTrialChance: 0.3, OtherZoneTrialAfter: time.Second,
		InitialBackoff: 500 * time.Millisecond, MaxBackoff: 4 * time.Second,
		DownAfter: 1500 * time.Millisecond, StaleAfter: 4 * time.Second, RefusalHold: 60 * time.Millisecond, OtherZoneRefusalHold: 150 * time.Millisecond,
		StatusHold: 150 * time.Millisecond, OtherZoneStatusHold: 400 * time.Millisecond, AbsentTargetHold: 250 * time.Millisecond,
	}
}

// Host is a host node as other nodes know it.
type Host struct {
	Addr string // IP:port of its request listener
	Zone string
}

type host struct {
	Host
	status       admission.Status
	statusAt     time.Duration // when status was received
	lastHeard    time.Duration // when anything was received
	inFlight     int           // requests of this node in flight there
	queued       int           // requests of this node that went in line there since status was received
	pathFailures int           // consecutive failures to reach the host
	avoidUntil   time.Duration // end of the backoff after a path failure
	refusedUntil time.Duration // end of the hold after a refusal
	absentUntil  time.Duration // end of the hold after the host could not connect to its target
}

// View is what an entry node knows of the host nodes. Its methods are safe for
// concurrent use.
type View struct {
	cfg Config
	now func() time.Duration

	mu        sync.Mutex
	hosts     map[string]*host
	byService map[string][]*host
	spills    map[string]*zoneSpill // by service
	rand      *rand.Rand
}

// NewView returns an empty View. now is a monotonic clock.
func NewView(cfg Config, now func() time.Duration, seed uint64) *View {
	return &View{
		cfg: cfg, now: now,
		hosts: map[string]*host{}, byService: map[string][]*host{}, spills: map[string]*zoneSpill{},
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
	if now-known.lastHeard > v.cfg.DownAfter {
		known.pathFailures, known.avoidUntil = 0, 0 // the host is back
	}
	known.Host = h
	known.status, known.queued = s, 0
	known.statusAt = now
	known.lastHeard = known.statusAt
}

// Refresh records the status that a known host node sent with a response.
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

// unlist removes the host from the list of its service.
func (v *View) unlist(h *host) {
	list := v.byService[h.status.Service]
	for i, x := range list {
		if x == h {
			v.byService[h.status.Service] = append(list[:i:i], list[i+1:]...)
			return
		}
	}
}

// Begin counts a request in flight at a host.
func (v *View) Begin(addr string) { v.count(addr, 1) }

// End ends a request that Begin counted.
func (v *View) End(addr string) { v.count(addr, -1) }

func (v *View) count(addr string, n int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if h := v.hosts[addr]; h != nil {
		h.inFlight = max(0, h.inFlight+n)
	}
}

// Ask records that a request is about to ask the host. If the host was
// unreachable before, other requests avoid it until the outcome is known.
func (v *View) Ask(addr string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if h := v.hosts[addr]; h != nil && h.pathFailures > 0 {
		h.avoidUntil = max(h.avoidUntil, v.now()+v.cfg.InitialBackoff)
	}
}

// PathFailed records that the host was unreachable or did not respond in time,
// and backs off from it.
func (v *View) PathFailed(addr string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	h := v.hosts[addr]
	if h == nil {
		return
	}
	h.pathFailures++
	now := v.now()
	wait := min(v.cfg.InitialBackoff<<min(h.pathFailures-1, 8), v.cfg.MaxBackoff)
	if now-h.lastHeard > v.cfg.DownAfter {
		// The host is down or partitioned, not just slow to respond.
		wait = v.cfg.MaxBackoff
	}
	h.avoidUntil = now + wait
}

// PathSucceeded records a response of the host and ends the backoff.
func (v *View) PathSucceeded(addr string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if h := v.hosts[addr]; h != nil {
		h.pathFailures, h.avoidUntil = 0, 0
		h.lastHeard = v.now()
	}
}

// Refused records a refusal, so that the next requests ask other hosts first.
func (v *View) Refused(addr string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if h := v.hosts[addr]; h != nil {
		hold := v.cfg.RefusalHold
		if h.Zone != v.cfg.Zone {
			hold = v.cfg.OtherZoneRefusalHold
		}
		h.refusedUntil = v.now() + hold
	}
}

// TargetAbsent records that the host could not connect to its target, so that
// no request asks this host until the hold ends.
func (v *View) TargetAbsent(addr string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if h := v.hosts[addr]; h != nil {
		h.absentUntil = v.now() + v.cfg.AbsentTargetHold
	}
}

// Nodes returns the number of nodes that are known.
func (v *View) Nodes() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.hosts)
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

// ServedInZone reports whether a host in this node's zone has a healthy target
// of the service.
func (v *View) ServedInZone(service string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, h := range v.byService[service] {
		if h.Zone == v.cfg.Zone && h.status.Phase == admission.Serving && !h.status.Ejected && !h.status.Stopping {
			return true
		}
	}
	return false
}

// AdmitsRetries reports whether a request that fails at a target could probably
// be retried: at least half of the service's hosts would admit a retry.
func (v *View) AdmitsRetries(service string) bool {
	return v.halfOfHostsAdmit(service, func(s *admission.Status) bool { return s.AdmitsRetries })
}

// RetryCalls returns the number of calls in a window of the retry budget that
// the retried runs of all other services together may make to the service. ok is
// false if no host of the service is known.
func (v *View) RetryCalls(service string) (calls float64, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, h := range v.byService[service] {
		if h.status.Phase == admission.Serving {
			calls += h.status.RetryCalls
			ok = true
		}
	}
	return calls, ok
}

// halfOfHostsAdmit reports whether at least half of the service's hosts with a
// healthy target satisfy the condition. It is true if there are no such hosts.
func (v *View) halfOfHostsAdmit(service string, admits func(*admission.Status) bool) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	admitting, all := 0, 0
	for _, h := range v.byService[service] {
		if h.status.Phase != admission.Serving || h.status.Ejected {
			continue
		}
		all++
		if admits(&h.status) {
			admitting++
		}
	}
	return 2*admitting >= all
}
