package placement

import (
	"slices"
	"time"

	"hyssopbridge/admission"
)

// Work describes a request that looks for a target.
type Work struct {
	Service    string
	Idempotent bool
	Careful    bool     // idempotent, but must not serve as a trial
	Download   bool     // the answer is large, so bytes between availability zones count
	Tried      []string // hosts that it must not use again
}

// Candidate is a host to ask.
type Candidate struct {
	Host
	Target string // ID of the target beside it
	Last   bool   // gray and not due for a trial: only as the last resort
	Held   bool   // it refused a request a moment ago
	Far    bool   // in another availability zone
	score  float64
}

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

// Order returns the hosts to ask, best first. Gray hosts that are not due for a
// trial come last and have Last set.
func (v *View) Order(w Work) []Candidate {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.now()
	list := v.byService[w.Service]
	out := make([]Candidate, 0, len(list))
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
	case h.Zone != v.cfg.Zone && due < v.cfg.FarTrialAfter:
		return 0
	case h.Zone != v.cfg.Zone:
		return v.cfg.FarTrialChance
	case h.status.Returning:
		return 1
	}
	return v.cfg.TrialChance + float64(due)/float64(v.cfg.FarTrialAfter)
}

func (v *View) rate(h *host, w Work, now time.Duration) Candidate {
	s := &h.status
	age := now - h.at
	slots := max(1, s.Slots)
	load := float64(max(s.Running+s.Waiting, h.open)) / float64(slots)
	c := Candidate{Host: h.Host, Target: s.Target, Held: now < h.refused, Far: h.Zone != v.cfg.Zone}
	c.score = load + v.cfg.Spread*v.rand.Float64()
	switch {
	case h.Addr == v.cfg.Self:
		c.score -= v.cfg.SelfBonus
	case h.Zone != v.cfg.Zone && w.Download:
		c.score += v.cfg.OtherZoneDownload
	case h.Zone != v.cfg.Zone:
		c.score += v.cfg.OtherZone
	}
	if s.Cold {
		c.score += v.cfg.Cold
	}
	switch {
	case s.Gray:
		trialDue := w.Idempotent && !w.Careful && s.TrialIn <= age && now >= h.refused
		if trialDue && v.rand.Float64() < v.trialChance(h, age-s.TrialIn) {
			c.score = trialScore + v.cfg.Spread*v.rand.Float64()
			if s.Returning {
				c.score += trialScore
			}
		} else {
			c.Last = true
			c.score += behindGray
		}
	case s.ProofLeft <= age && w.Idempotent && !w.Careful:
		c.score -= v.cfg.Canary
	case s.ProofLeft <= age:
		c.score += v.cfg.Unproven
	}
	if c.Held {
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
