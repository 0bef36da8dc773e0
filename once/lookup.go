package once

import (
	"slices"
	"time"

	"hyssopbridge/fleet"
)

// Lookup answers a later home from the records and bars the key for epochs
// before that of the asker. to is the incarnation that the asker addressed; a
// later process cannot answer for it.
func (s *Store) Lookup(now time.Duration, to fleet.Member, key Key, epoch int64) Reply {
	if to != s.self {
		return Reply{From: s.self}
	}
	scoped := key.Scoped()
	reply := Reply{From: s.self, OK: true}
	if v := s.services[key.Service]; v != nil {
		reply.Handovers = slices.Clone(v.edges)
	}
	r := s.records[scoped]
	if r == nil {
		// Without room the bar cannot be kept, so the key is not answered for.
		if !s.hasRoom(now, scoped) {
			return Reply{From: s.self}
		}
		r = s.insert(scoped, now)
		r.state = Barred
	}
	r.barred = max(r.barred, epoch)
	reply.Entry = s.entry(now, r)
	return reply
}

func (s *Store) entry(now time.Duration, r *record) Entry {
	return Entry{State: r.state, Hash: r.hash, Answer: r.answer, Age: now - r.started}
}
