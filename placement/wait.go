package placement

import (
	"cmp"
	"slices"
	"time"

	"hyssopbridge/admission"
)

// Room is what is known of the time at which a service has a slot for a request
// that is refused now.
type Room struct {
	Wait time.Duration // until the requests ahead have their slots
	Gap  time.Duration // mean time between two slots for requests of this node
	// Failing is set while most slots are at ejected targets.
	Failing bool
}

// RoomFor estimates when the service has a slot for a request that is refused
// now, if requests run for runTime on average: when the slots of its targets have
// served those that run or wait beyond them. Ejected targets do not count as long
// as most slots are at healthy ones: while some return, others fail. While most
// are ejected, each counts from the end of its next trial request on, and requests
// wait at entry nodes: searching is the number of those that look for a target at
// this node. ok is false if no target is known.
func (v *View) RoomFor(service string, runTime time.Duration, searching int) (room Room, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.now()
	var from, ejectedFrom []slotsFrom
	slots, ejected, ahead, running, own := 0, 0, 1, 0, 0
	for _, h := range v.byService[service] {
		s := &h.status
		if s.Phase != admission.Serving || s.Stopping || s.Slots <= 0 {
			continue
		}
		slots += s.Slots
		running += s.Running
		own += h.inFlight
		if s.Ejected {
			ejected += s.Slots
			ejectedFrom = append(ejectedFrom, slotsFrom{max(0, s.TrialIn-(now-h.statusAt)) + runTime, s.Slots})
			continue
		}
		ahead += s.Running + s.Waiting
		// The slots' first requests start at once.
		from = append(from, slotsFrom{-runTime, s.Slots})
	}
	if slots == 0 {
		return Room{}, false
	}
	if 2*ejected > slots {
		from = append(from, ejectedFrom...)
	} else {
		slots -= ejected
	}
	share := max(float64(own)/float64(max(1, running)), 1/float64(max(1, len(v.hosts))))
	room.Gap = time.Duration(float64(runTime) / (min(1, share) * float64(slots)))
	if 2*ejected > slots {
		ahead += int(float64(searching) / min(1, share))
	}
	room.Failing = 2*ejected > slots
	room.Wait = max(0, timeToServe(from, ahead, runTime))
	return room, true
}

// slotsFrom is a number of slots that serve requests from a time on.
type slotsFrom struct {
	from  time.Duration
	slots int
}

// timeToServe returns when slots have served a number of requests of runTime each.
func timeToServe(list []slotsFrom, requests int, runTime time.Duration) time.Duration {
	slices.SortFunc(list, func(a, b slotsFrom) int { return cmp.Compare(a.from, b.from) })
	left := float64(requests) * runTime.Seconds() // slot time, in seconds
	slots, at := 0, list[0].from
	for _, next := range list {
		served := float64(slots) * (next.from - at).Seconds()
		if served >= left {
			break
		}
		left -= served
		at = next.from
		slots += next.slots
	}
	return at + time.Duration(left/float64(slots)*float64(time.Second))
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

// hostsByWait is the number of hosts that RankToWait ranks by their waits. If these
// have no room for a request, which of the others has depends less on their waits
// than on what its customer got there, since each host keeps the customers' shares
// for itself. A customer whose requests enter at a single node would ask the same
// few hosts again and again, and get nothing of its share at the others. Simulated
// for such a customer and for all (docs/design/fair-share.md): with 3 it is served
// less, with 1 all are.
const hostsByWait = 2

// RankToWait returns the hosts at which to wait for a slot, if requests run for
// runTime on average: those with the shortest waits, then the others of their class
// in random order. Ejected targets are left out, and those whose risk is too high
// for the request unless there are no others.
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
	if len(all) > hostsByWait {
		others := all[hostsByWait:]
		if end := slices.IndexFunc(others, func(c Candidate) bool { return c.class != others[0].class }); end >= 0 {
			others = others[:end]
		}
		v.shuffle(others)
	}
	return all
}

func (v *View) shuffle(list []Candidate) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}

// Silent reports whether nothing has been heard of the host for so long that it
// is asked last.
func (v *View) Silent(addr string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	h := v.hosts[addr]
	return h == nil || v.now()-h.lastHeard > v.cfg.StaleAfter
}
