package once

import (
	"slices"

	"hyssopbridge/fleet"
	"hyssopbridge/lease"
)

// epochHome is the home of a key in one epoch.
type epochHome struct {
	epoch  int64
	member fleet.Member
}

// previousHomes returns the nodes that must be asked about a key before it may
// run: those that may have run it at or after cutoffMS and whose records this
// node does not hold. complete is false if the known groups do not reach back
// to cutoffMS.
func (s *Store) previousHomes(v *service, scoped string, cutoffMS int64) (ask []fleet.Member, complete bool) {
	last := len(v.history) - 1
	path := []epochHome{{v.history[last].Epoch, s.self}}
	for i := last - 1; i >= 0; i-- {
		if v.endMS(i) < cutoffMS {
			return ask, true
		}
		home, ok := lease.HomeIn(v.history[i].HomeGroup, scoped)
		if !ok {
			continue
		}
		if home != s.self && !v.coveredBy(path, home) && !slices.Contains(ask, home) {
			ask = append(ask, home)
		}
		path = append(path, epochHome{v.history[i].Epoch, home})
	}
	first := v.history[0]
	return ask, first.Base == 0 || v.startMS(0) < cutoffMS
}

// endMS returns the latest wall time at which group i could act. A group ends
// before its successor becomes active, and the group after that successor is
// proposed only once the successor is known to be active.
func (v *service) endMS(i int) int64 {
	if i+2 < len(v.history) {
		return v.history[i+2].AcceptedMS
	}
	return v.activeWall
}

// startMS returns the latest wall time at which the predecessor of group i
// could act.
func (v *service) startMS(i int) int64 { return v.endMS(i - 1) }

// coveredBy reports whether one of the key's later homes (path) received the
// records of the given node that concern the key. Every node on the path is
// either asked or itself covered in this way.
func (v *service) coveredBy(path []epochHome, from fleet.Member) bool {
	for _, h := range path {
		if v.hasHandover(Handover{To: h.member, Epoch: h.epoch, From: from}) {
			return true
		}
	}
	return false
}
