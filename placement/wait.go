package placement

import (
	"slices"
	"time"

	"hyssopbridge/admission"
)

// TimeToSlot estimates when the service would have a slot for a request that is
// refused now, if requests run for runTime on average: after the requests that
// run or wait beyond the slots of the healthy targets have ended. ok is false if
// no target of the service is known to be healthy.
func (v *View) TimeToSlot(service string, runTime time.Duration) (wait time.Duration, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	slots, ahead := 0, 0
	for _, h := range v.byService[service] {
		s := &h.status
		if s.Phase != admission.Serving || s.Stopping || s.Ejected {
			continue
		}
		slots += s.Slots
		ahead += s.Running + s.Waiting
	}
	if slots == 0 {
		return 0, false
	}
	return runTime * time.Duration(max(0, ahead+1-slots)) / time.Duration(slots), true
}

// waitHoldShare is the fraction of the wait that a host stated for which it
// counts as full.
const waitHoldShare = 0.5

// Queued records that a request goes in line at the host, so that the next ones
// of this node, before the host's next status, do not all choose the same queue.
func (v *View) Queued(addr string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if h := v.hosts[addr]; h != nil {
		h.queued++
	}
}

// expectedWait returns the wait that the host stated, plus that behind the
// requests of this node that have gone in line there since.
func (v *View) expectedWait(h *host) time.Duration {
	s := &h.status
	if s.Wait == 0 {
		return 0
	}
	return s.Wait + s.Wait*time.Duration(h.queued)/time.Duration(s.Waiting+1)
}

// RankToWait returns the hosts at which to wait for a slot, shortest wait first,
// if requests run for runTime on average. Ejected targets are left out, and those
// whose risk is too high for the request unless there are no others.
func (v *View) RankToWait(r Request, runTime time.Duration) []Candidate {
	all := v.Rank(r)
	all = slices.DeleteFunc(all, func(c Candidate) bool { return c.LastResort })
	if acceptable := func(c Candidate) bool { return !c.tooRisky }; slices.ContainsFunc(all, acceptable) {
		all = slices.DeleteFunc(all, func(c Candidate) bool { return c.tooRisky })
	}
	for i := range all {
		c := &all[i]
		if c.RecentlyRefused && c.class > classUsual {
			c.class -= classRefused
		}
		if c.Wait > 0 {
			c.score += 1 + float64(c.Wait)/float64(max(runTime, time.Millisecond)) - c.load
		}
	}
	slices.SortStableFunc(all, Candidate.compare)
	return all
}

// Silent reports whether nothing has been heard of the host for so long that it
// is asked last.
func (v *View) Silent(addr string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	h := v.hosts[addr]
	return h == nil || v.now()-h.lastHeard > v.cfg.StaleAfter
}
