package placement

import (
	"cmp"
	"slices"
	"time"

	"hyssopbridge/admission"
)

// Request describes a request to place.
type Request struct {
	Service       string
	Idempotent    bool
	NoRetry       bool     // idempotent, but could not be retried after a failure, so it is no trial request
	Download      bool     // the response is large, so traffic between availability zones matters
	Retry         bool     // an earlier attempt reached a target
	Urgent        bool     // a retry of a request that has not run and can still be in time
	MaxRisk       float64  // highest risk of a target that the request accepts; ignored if it may be a trial request
	Tried         []string // addresses of the hosts that are excluded
	testIdle      bool     // many targets are idle, so non-idempotent requests test them too
	preferredZone string   // targets in other zones have a penalty
}

// Candidate is a host to ask.
type Candidate struct {
	Host
	Target          string        // ID of the target on the host
	LastResort      bool          // ejected and not chosen for a trial request: ask only as the last resort
	RecentlyRefused bool          // it refused a request within the refusal hold, or its status shows that it would
	InBackoff       bool          // it was unreachable, and the backoff has not ended
	OtherZone       bool          // in another availability zone
	AdmitsRetry     bool          // its status shows that it would admit a retry of the request
	Wait            time.Duration // estimated wait for a slot, by the host's status
	tooRisky        bool          // its status shows a higher risk than the request accepts
	load            float64       // requests that run or wait there, per slot
	class           class
	score           float64 // within the class, in the unit of load; the lowest is best
}

// class ranks candidates before their scores do: the lowest is best. The values
// below zero exclude each other, the others are added up, so that each of them
// outweighs all smaller ones together.
type class int8

const (
	classRecoveringTrial class = iota - 2 // a trial request is due, and the newest one succeeded
	classTrial                            // a trial request is due
	classUsual
	classRefused    class = 1 << (iota - 3) // it refused lately, or its status shows that it would refuse
	classNoRetry                            // for retries: it had no retry budget left
	classStale                              // nothing was received from it for long
	classLastResort                         // its target is ejected
)

// riskGrowthPerSecond is added to the risk of a target for each second since its
// host node reported it.
const riskGrowthPerSecond = 0.08

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
	r.preferredZone = v.preferredZone(r, list, now)
	for _, h := range list {
		if h.status.Phase != admission.Serving || h.status.Stopping || now < h.absentUntil || slices.Contains(r.Tried, h.Addr) {
			continue
		}
		out = append(out, v.candidate(h, r, now))
	}
	if reachable := func(c Candidate) bool { return !c.InBackoff }; slices.ContainsFunc(out, reachable) {
		out = slices.DeleteFunc(out, func(c Candidate) bool { return c.InBackoff })
	}
	slices.SortFunc(out, Candidate.compare)
	return out
}

// compare orders candidates, best first.
func (c Candidate) compare(other Candidate) int {
	if c.class != other.class {
		return int(c.class) - int(other.class)
	}
	return cmp.Compare(c.score, other.score)
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
// target. A non-idempotent request, or one that could not be retried, may only if
// the target gets no other requests. A retry never is one.
func (v *View) mayBeTrial(h *host, r Request, age time.Duration) bool {
	if r.Idempotent && !r.NoRetry {
		return true
	}
	if h.Zone != v.cfg.Zone || r.Idempotent && r.Retry {
		return false
	}
	if r.Idempotent {
		return admission.IsStarved(h.status.Idle+age, h.status.Recovering)
	}
	return r.testIdle && v.isIdle(h, age)
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

// candidate rates the host for the request.
func (v *View) candidate(h *host, r Request, now time.Duration) Candidate {
	s := &h.status
	age := now - h.statusAt
	c := Candidate{
		Host: h.Host, Target: s.Target, RecentlyRefused: now < h.refusedUntil || v.wouldRefuse(h, r, age), InBackoff: now < h.avoidUntil,
		OtherZone: h.Zone != v.cfg.Zone, AdmitsRetry: s.AdmitsRetries || r.Urgent && s.AdmitsUrgentRetries,
		Wait: v.expectedWait(h), tooRisky: v.tooRisky(h, r, age), load: h.load(),
	}
	trial := s.Ejected && v.isTrial(h, r, age, now)
	c.LastResort = s.Ejected && !trial
	c.class = v.class(h, r, &c, trial, now)
	if trial {
		c.score = v.cfg.Jitter*v.rand.Float64() - v.longIdleBonus(s.Idle+age)
		return c
	}
	c.score = v.score(h, r, age)
	return c
}

// isTrial decides whether the request becomes the trial request of an ejected
// target.
func (v *View) isTrial(h *host, r Request, age, now time.Duration) bool {
	due := h.status.TrialIn <= age && now >= h.refusedUntil && v.mayBeTrial(h, r, age)
	return due && v.rand.Float64() < v.trialChance(h, age-h.status.TrialIn)
}

// class returns the class of a candidate for the request.
func (v *View) class(h *host, r Request, c *Candidate, trial bool, now time.Duration) class {
	out := classUsual
	if c.RecentlyRefused {
		out += classRefused
	}
	if r.Retry && !c.AdmitsRetry {
		out += classNoRetry
	}
	if now-h.lastHeard > v.cfg.StaleAfter && h.Addr != v.cfg.Self {
		out += classStale
	}
	switch {
	case c.LastResort:
		out += classLastResort
	case trial && out == classUsual && h.status.Recovering:
		return classRecoveringTrial
	case trial && out == classUsual:
		return classTrial
	}
	return out
}

// load returns the requests that run or wait at the host, per slot.
func (h *host) load() float64 {
	s := &h.status
	return float64(max(s.Running+s.Waiting+h.queued, h.inFlight)) / float64(max(1, s.Slots))
}

// score rates the host for the request among hosts of the same class.
func (v *View) score(h *host, r Request, age time.Duration) float64 {
	s := &h.status
	score := h.load() + v.cfg.Jitter*v.rand.Float64()
	switch {
	case h.Addr == v.cfg.Self && h.Zone == r.preferredZone:
		score -= v.cfg.SelfBonus
	case h.Zone != v.cfg.Zone && r.Download:
		score += v.cfg.OtherZoneDownloadPenalty
	case h.Zone != r.preferredZone:
		score += v.cfg.OtherZonePenalty
	}
	if s.Cold {
		score += v.cfg.ColdStartPenalty
	}
	switch {
	case s.Ejected:
	case (r.testIdle || !s.Tested) && !r.NoRetry && v.isIdle(h, age):
		score -= v.cfg.IdleBonus
	case r.Idempotent && !r.Retry && s.Running == 0 && h.inFlight == 0:
		score -= v.longIdleBonus(s.Idle + age)
	}
	weight := v.cfg.NonIdempotentRiskWeight
	if r.Idempotent {
		weight = v.cfg.IdempotentRiskWeight
	}
	return score + weight*v.risk(h, age) + v.cfg.RejectsWeight*admission.RejectsAfter(s.Rejects, age)
}
