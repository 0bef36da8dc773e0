package placement

import (
	"slices"
	"time"

	"hyssopbridge/admission"
)

// Request describes a request that looks for a target.
type Request struct {
	Service    string
	Idempotent bool
	NoRetry    bool     // idempotent, but must not serve as a trial
	Download   bool     // the answer is large, so bytes between availability zones count
	Tried      []string // hosts that it must not use again
	spread     bool     // many targets are idle, so that work which must not repeat is to test them too
}

// Candidate is a host to ask.
type Candidate struct {
	Host
	Target          string // ID of the target beside it
	LastResort      bool   // gray and not due for a trial: only as the last resort
	RecentlyRefused bool   // it refused a request a moment ago
	OtherZone       bool   // in another availability zone
	score           float64
}

// riskAge is how much the chance that a target fails unnoticed grows with each
// second since its host node stated it.
const riskAge = 0.08

// trialScore puts a target whose trial is due before all others, and once more
// for a target that is returning.
const trialScore = -1

// Scores that put a class of hosts behind all others.
const (
	behindRefused = 4
	behindStale   = 16
	behindAvoided = 64
	behindGray    = 256
)

// Rank returns the hosts to ask, best first. Gray hosts that are not due for a
// trial come last and have Last set.
func (v *View) Rank(w Request) []Candidate {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.now()
	list := v.byService[w.Service]
	out := make([]Candidate, 0, len(list))
	w.spread = !w.NoRetry && v.idleShare(list, now) >= v.cfg.IdleTestShare
	for _, h := range list {
		if h.status.Phase != admission.Serving || h.status.Stopping || slices.Contains(w.Tried, h.Addr) {
			continue
		}
		out = append(out, v.rate(h, w, now))
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

// trialChance returns the chance that a request is a trial of a gray target
// whose trial has been due for some time. Other availability zones help where
// the target's own sends too few requests that may be trials.
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

// mayTry reports whether the work may be a trial of a gray target. Work that
// must not repeat is one only where the target gets no other.
func (v *View) mayTry(h *host, w Request, age time.Duration) bool {
	if w.Idempotent {
		return !w.NoRetry
	}
	return w.spread && h.Zone == v.cfg.Zone && v.isIdle(h, age)
}

// idleShare returns the part of the service's targets in the own availability
// zone that get no work.
func (v *View) idleShare(list []*host, now time.Duration) float64 {
	idle, all := 0, 0
	for _, h := range list {
		if h.Zone != v.cfg.Zone || h.status.Phase != admission.Serving || h.status.Stopping {
			continue
		}
		all++
		if v.isIdle(h, now-h.at) {
			idle++
		}
	}
	return float64(idle) / float64(max(1, all))
}

// isIdle reports whether the target is to be offered any work, since it has had
// none for some time.
func (v *View) isIdle(h *host, age time.Duration) bool {
	return admission.IsIdle(h.status.Idle+age, h.status.Tested)
}

// longIdle returns the part of LongIdle that a target has reached which got no
// work for the given time.
func (v *View) longIdle(idle time.Duration) float64 {
	return v.cfg.LongIdleBonus * min(1, idle.Seconds()/v.cfg.LongIdleAfter.Seconds())
}

func (v *View) rate(h *host, w Request, now time.Duration) Candidate {
	s := &h.status
	age := now - h.at
	slots := max(1, s.Slots)
	load := float64(max(s.Running+s.Waiting, h.open)) / float64(slots)
	c := Candidate{Host: h.Host, Target: s.Target, RecentlyRefused: now < h.refused, OtherZone: h.Zone != v.cfg.Zone}
	c.score = load + v.cfg.Jitter*v.rand.Float64()
	switch {
	case h.Addr == v.cfg.Self:
		c.score -= v.cfg.SelfBonus
	case h.Zone != v.cfg.Zone && w.Download:
		c.score += v.cfg.OtherZoneDownloadPenalty
	case h.Zone != v.cfg.Zone:
		c.score += v.cfg.OtherZonePenalty
	}
	if s.Cold {
		c.score += v.cfg.ColdStartPenalty
	}
	switch {
	case s.Ejected:
		trialDue := s.TrialIn <= age && now >= h.refused && v.mayTry(h, w, age)
		if trialDue && v.rand.Float64() < v.trialChance(h, age-s.TrialIn) {
			c.score = trialScore + v.cfg.Jitter*v.rand.Float64() - v.longIdle(s.Idle+age)
			if s.Recovering {
				c.score += trialScore
			}
		} else {
			c.LastResort = true
			c.score += behindGray
		}
	case (w.spread || !s.Tested) && !w.NoRetry && v.isIdle(h, age):
		c.score -= v.cfg.IdleBonus
	case w.Idempotent && !w.NoRetry && s.Running == 0 && h.open == 0:
		c.score -= v.longIdle(s.Idle + age)
	}
	if risk := min(1, s.Risk+age.Seconds()*riskAge); w.Idempotent {
		c.score += v.cfg.IdempotentRiskWeight * risk
	} else {
		c.score += v.cfg.NonIdempotentRiskWeight * risk
	}
	if c.RecentlyRefused {
		c.score += behindRefused
	}
	if now-h.heard > v.cfg.StaleAfter && h.Addr != v.cfg.Self {
		c.score += behindStale
	}
	if now < h.avoid {
		c.score += behindAvoided
	}
	return c
}
