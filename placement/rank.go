package placement

import (
	"slices"
	"time"

	"hyssopbridge/admission"
)

// Request describes a request to place.
type Request struct {
	Service    string
	Idempotent bool
	NoRetry    bool     // idempotent, but could not be retried after a failure, so it is no trial request
	Download   bool     // the response is large, so traffic between availability zones matters
	Retry      bool     // an earlier attempt reached a target
	MaxRisk    float64  // highest risk of a target that the request accepts; ignored if it may be a trial request
	Tried      []string // addresses of the hosts that are excluded
	testIdle   bool     // many targets are idle, so non-idempotent requests test them too
}

// Candidate is a host to ask.
type Candidate struct {
	Host
	Target          string        // ID of the target on the host
	LastResort      bool          // ejected and not chosen for a trial request: ask only as the last resort
	RecentlyRefused bool          // it refused a request within the refusal hold, or its status shows that it would
	InBackoff       bool          // it was unreachable, and the backoff has not ended
	OtherZone       bool          // in another availability zone
	Wait            time.Duration // estimated wait for a slot, by the host's status
	tooRisky        bool          // its status shows a higher risk than the request accepts
	load            float64       // requests that run or wait there, per slot
	score           float64
}

// riskGrowthPerSecond is added to the risk of a target for each second since its
// host node reported it.
const riskGrowthPerSecond = 0.08

// trialScore ranks a target whose trial request is due before all others. It is
// added twice for a target that is recovering.
const trialScore = -1

// Penalties that rank a class of hosts behind all hosts with smaller ones.
const (
	refusedPenalty = 4
	noRetryPenalty = 8 // for retries: the host had no retry budget left
	stalePenalty   = 16
	ejectedPenalty = 256
)

// wouldRefuse reports whether the host's status shows that it would refuse the
// request now: all slots are in use and others wait for one, or the risk of its
// target exceeds what the request accepts.
func (v *View) wouldRefuse(h *host, r Request, age time.Duration) bool {
	s := &h.status
	hold := v.cfg.StatusHold
	if h.Zone != v.cfg.Zone {
		hold = v.cfg.OtherZoneStatusHold
	}
	if age > max(hold, time.Duration(waitHoldShare*float64(s.Wait))) || s.Ejected {
		return false
	}
	return s.Running >= s.Slots && s.Waiting > 0 || v.tooRisky(h, r, age)
}

// tooRisky reports whether the host's status shows a higher risk than the request
// accepts.
func (v *View) tooRisky(h *host, r Request, age time.Duration) bool {
	mayBeTrial := r.Idempotent && !r.NoRetry
	return !mayBeTrial && h.status.Tested && h.status.Risk > r.MaxRisk && !v.isIdle(h, age)
}

// Rank returns the hosts to ask, best first. Hosts with an ejected target that is
// not chosen for a trial request come last and have LastResort set. Hosts in
// backoff are left out unless all are: a request that asks one waits in vain
// until the reservation times out.
func (v *View) Rank(r Request) []Candidate {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.now()
	list := v.byService[r.Service]
	out := make([]Candidate, 0, len(list))
	r.testIdle = !r.NoRetry && v.idleShare(list, now) >= v.cfg.IdleTestShare
	for _, h := range list {
		if h.status.Phase != admission.Serving || h.status.Stopping || now < h.absentUntil || slices.Contains(r.Tried, h.Addr) {
			continue
		}
		out = append(out, v.candidate(h, r, now))
	}
	if reachable := func(c Candidate) bool { return !c.InBackoff }; slices.ContainsFunc(out, reachable) {
		out = slices.DeleteFunc(out, func(c Candidate) bool { return c.InBackoff })
	}
	slices.SortFunc(out, func(a, b Candidate) int {
		switch {
		case a.score < b.score:
			return -1
		case a.score > b.score:
			return 1
		}
		return 0
	})
	return out
}

// trialChance returns the probability that a request becomes the trial request of
// an ejected target whose trial has been due for the given time. Other
// availability zones join in later, in case the target's own zone sends too few
// requests that may be trials.
func (v *View) trialChance(h *host, due time.Duration) float64 {
	switch {
	case h.Zone != v.cfg.Zone && due < v.cfg.OtherZoneTrialAfter:
		return 0
	case h.Zone != v.cfg.Zone:
		return v.cfg.OtherZoneTrialChance
	case h.status.Recovering:
		return 1
	}
	return v.cfg.TrialChance + float64(due)/float64(v.cfg.OtherZoneTrialAfter)
}

// mayBeTrial reports whether the request may be the trial request of an ejected
// target. A non-idempotent request may only if the target gets no other requests.
func (v *View) mayBeTrial(h *host, r Request, age time.Duration) bool {
	if r.Idempotent {
		return !r.NoRetry
	}
	return r.testIdle && h.Zone == v.cfg.Zone && v.isIdle(h, age)
}

// idleShare returns the fraction of the service's targets in this node's
// availability zone that are idle.
func (v *View) idleShare(list []*host, now time.Duration) float64 {
	idle, all := 0, 0
	for _, h := range list {
		if h.Zone != v.cfg.Zone || h.status.Phase != admission.Serving || h.status.Stopping {
			continue
		}
		all++
		if v.isIdle(h, now-h.statusAt) {
			idle++
		}
	}
	return float64(idle) / float64(max(1, all))
}

// isIdle reports whether the target should be offered any request, because it has
// had none for some time. age is the age of its status.
func (v *View) isIdle(h *host, age time.Duration) bool {
	return admission.IsIdle(h.status.Idle+age, h.status.Tested)
}

// risk returns the probability that a request sent to the host now fails. A
// target without any success gets one request at a time until one succeeds.
func (v *View) risk(h *host, age time.Duration) float64 {
	if !h.status.Tested && !v.isIdle(h, age) {
		return 1
	}
	return min(1, h.status.Risk+age.Seconds()*riskGrowthPerSecond)
}

// longIdleBonus returns the share of Config.LongIdleBonus for a target that has
// had no request for the given time.
func (v *View) longIdleBonus(idle time.Duration) float64 {
	return v.cfg.LongIdleBonus * min(1, idle.Seconds()/v.cfg.LongIdleAfter.Seconds())
}

// candidate rates the host for the request; the lowest score ranks first.
func (v *View) candidate(h *host, r Request, now time.Duration) Candidate {
	s := &h.status
	age := now - h.statusAt
	slots := max(1, s.Slots)
	load := float64(max(s.Running+s.Waiting+h.queued, h.inFlight)) / float64(slots)
	c := Candidate{Host: h.Host, Target: s.Target, RecentlyRefused: now < h.refusedUntil || v.wouldRefuse(h, r, age), InBackoff: now < h.avoidUntil, OtherZone: h.Zone != v.cfg.Zone, Wait: v.expectedWait(h), tooRisky: v.tooRisky(h, r, age), load: load}
	c.score = load + v.cfg.Jitter*v.rand.Float64()
	switch {
	case h.Addr == v.cfg.Self:
		c.score -= v.cfg.SelfBonus
	case h.Zone != v.cfg.Zone && r.Download:
		c.score += v.cfg.OtherZoneDownloadPenalty
	case h.Zone != v.cfg.Zone:
		c.score += v.cfg.OtherZonePenalty
	}
	if s.Cold {
		c.score += v.cfg.ColdStartPenalty
	}
	switch {
	case s.Ejected:
		trialDue := s.TrialIn <= age && now >= h.refusedUntil && v.mayBeTrial(h, r, age)
		if trialDue && v.rand.Float64() < v.trialChance(h, age-s.TrialIn) {
			c.score = trialScore + v.cfg.Jitter*v.rand.Float64() - v.longIdleBonus(s.Idle+age)
			if s.Recovering {
				c.score += trialScore
			}
		} else {
			c.LastResort = true
			c.score += ejectedPenalty
		}
	case (r.testIdle || !s.Tested) && !r.NoRetry && v.isIdle(h, age):
		c.score -= v.cfg.IdleBonus
	case r.Idempotent && !r.NoRetry && s.Running == 0 && h.inFlight == 0:
		c.score -= v.longIdleBonus(s.Idle + age)
	}
	if risk := v.risk(h, age); r.Idempotent {
		c.score += v.cfg.IdempotentRiskWeight * risk
	} else {
		c.score += v.cfg.NonIdempotentRiskWeight * risk
	}
	if c.RecentlyRefused {
		c.score += refusedPenalty
	}
	if r.Retry && !s.AdmitsRetries {
		c.score += noRetryPenalty
	}
	if now-h.lastHeard > v.cfg.StaleAfter && h.Addr != v.cfg.Self {
		c.score += stalePenalty
	}
	return c
}
