package once

import (
	"slices"
	"time"

	"hyssopbridge/fleet"
)

// Lookup returns the record of a key for a later home, and bars the key in
// epochs before that of the asking home. to is the process that was asked; a
// later process cannot reply for it.
func (s *Store) Lookup(now time.Duration, to fleet.Member, key Key, epoch int64) Reply {
	if to != s.self {
		return Reply{From: s.self}
	}
	scoped := key.Scoped()
	reply := Reply{From: s.self, OK: true}
	if v := s.services[key.Service]; v != nil {
		reply.Handovers = slices.Clone(v.handovers)
	}
	r := s.records[scoped]
	if r == nil {
		// Without room the bar cannot be stored, so the lookup fails.
		if !s.makeRoom(now, scoped) {
			return Reply{From: s.self}
		}
		r = s.insert(scoped, now)
		r.state = Barred
	}
	r.barredBefore = max(r.barredBefore, epoch)
	reply.Entry = s.entry(now, r)
	return reply
}

func (s *Store) entry(now time.Duration, r *record) Entry {
	return Entry{State: r.state, Hash: r.hash, Response: r.response, Age: now - r.started}
}
