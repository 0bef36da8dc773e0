package control

import (
	"fmt"

	"hyssopbridge/fleet"
)

// foldHomes folds the proposals of one record. Each group is evaluated
// independently; the record is accepted if at least one group is.
func (s *State) foldHomes(r *Record, acceptedMS int64, out *Outcome) {
	out.Kind = Conflict
	for i := range r.Groups {
		g := s.foldGroup(r, acceptedMS, &r.Groups[i])
		out.Groups = append(out.Groups, g)
		if g.Kind == Accepted {
			out.Kind, out.Revision = Accepted, g.Epoch
		}
	}
	if out.Kind != Accepted {
		first := out.Groups[0]
		out.Kind, out.Winner = first.Kind, first.Winner
	}
	if out.Kind == Invalid {
		out.Err = fmt.Errorf("service %q belongs to no live mandate or has no epoch %d", r.Groups[0].Service, r.Groups[0].Base)
	}
}

func (s *State) foldGroup(r *Record, acceptedMS int64, p *GroupProposal) GroupOutcome {
	out := GroupOutcome{Service: p.Service}
	cur, known := s.snap.groups.get(p.Service)
	if known {
		out.Epoch = cur.Epoch
	}
	_, live := s.snap.services.get(p.Service)
	switch {
	case known && cur.ID == r.ID:
		out.Kind = Duplicate
	case known && p.Base != cur.Epoch:
		out.Kind = Conflict
		out.Winner = Winner{Service: p.Service, Revision: cur.Epoch, ID: cur.ID}
	case !live, !known && p.Base != 0:
		out.Kind = Invalid
	default:
		out.Kind, out.Epoch = Accepted, s.snap.Version
		item := GroupItem{Service: p.Service, Epoch: s.snap.Version, ID: r.ID, Base: p.Base,
			AcceptedMS: acceptedMS, Members: p.Members, Past: nextHistory(cur, acceptedMS)}
		s.snap.putGroup(cur, item.group())
	}
	return out
}

func (it *GroupItem) group() *Group {
	return &Group{
		HomeGroup: fleet.HomeGroup{Service: it.Service, Epoch: it.Epoch, Members: fleetMembers(it.Members)},
		ID:        it.ID, Base: it.Base, AcceptedMS: it.AcceptedMS, Past: it.Past,
	}
}

func (s *Snapshot) putGroup(cur, next *Group) {
	if cur != nil {
		s.Digest ^= cur.digest()
	}
	s.Digest ^= next.digest()
	s.groups.set(next.Service, next, next.Epoch)
}
