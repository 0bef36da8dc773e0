package once

import (
	"slices"

	"hyssopbridge/fleet"
	"hyssopbridge/lease"
)

// holder is the home of a key in one epoch.
type holder struct {
	epoch  int64
	member fleet.Member
}

// previous returns the nodes that have to be asked about a key before it may
// run: those that may have run it at or after cutoffMS and whose records are
// not held here. complete is false if the chain does not reach back far enough.
func (s *Store) previous(v *service, scoped string, cutoffMS int64) (ask []fleet.Member, complete bool) {
	last := len(v.chain) - 1
	path := []holder{{v.chain[last].Epoch, s.self}}
	for i := last - 1; i >= 0; i-- {
		if v.endMS(i) < cutoffMS {
			return ask, true
		}
		home, ok := lease.HomeIn(v.chain[i].HomeGroup, scoped)
		if !ok {
			continue
		}
		if home != s.self && !v.covered(path, home) && !slices.Contains(ask, home) {
			ask = append(ask, home)
		}
		path = append(path, holder{v.chain[i].Epoch, home})
	}
	first := v.chain[0]
	return ask, first.Base == 0 || v.startMS(0) < cutoffMS
}

// endMS returns the latest wall time at which group i could act. A group ends
// before its successor becomes active, and the record after that successor is
// written only once the successor is known to be active.
func (v *service) endMS(i int) int64 {
	if i+2 < len(v.chain) {
		return v.chain[i+2].AcceptedMS
	}
	return v.activeWall
}

// startMS returns the latest wall time at which the predecessor of group i
// could act.
func (v *service) startMS(i int) int64 { return v.endMS(i - 1) }

// covered reports whether a node on the key's path of homes received all
// records of the given node that concern the key. Every node on the path has
// either been asked or is itself covered.
func (v *service) covered(path []holder, from fleet.Member) bool {
	for _, h := range path {
		if v.hasEdge(Handover{To: h.member, Epoch: h.epoch, From: from}) {
			return true
		}
	}
	return false
}
