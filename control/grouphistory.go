package control

import (
	"slices"
	"time"

	"hyssopbridge/fleet"
)

const (
	// pastGroupRetention is how long an earlier group of a service is kept after
	// it was replaced. Order records are retained for 24 h; the additional hour
	// covers clock skew and the time until the successor is active.
	pastGroupRetention = 25 * time.Hour
	// maxPastGroups bounds the number of earlier groups per service. When it is
	// exceeded, the oldest group is dropped, and requests for orders older than
	// the remaining groups fail with "record lost".
	maxPastGroups = 64
	// minPastGroups is the number of earlier groups that are kept regardless of
	// age, since the end of a group is derived from its two successors.
	minPastGroups = 2
)

// GroupEpoch is one accepted group in the history of a service.
type GroupEpoch struct {
	_          struct{} `cbor:",toarray"`
	Epoch      int64
	Base       int64 // epoch that the group replaced; 0 for the first
	AcceptedMS int64 // log time of the record, Unix ms
	Members    []MemberItem
}

// nextHistory returns the history of a group that replaces cur at acceptedMS.
func nextHistory(cur *Group, acceptedMS int64) []GroupEpoch {
	if cur == nil {
		return nil
	}
	past := append(slices.Clone(cur.Past), GroupEpoch{
		Epoch: cur.Epoch, Base: cur.Base, AcceptedMS: cur.AcceptedMS, Members: memberItems(cur.Members),
	})
	oldest := acceptedMS - pastGroupRetention.Milliseconds()
	drop := 0
	for len(past)-drop > minPastGroups && (past[drop+1].AcceptedMS < oldest || len(past)-drop > maxPastGroups) {
		drop++
	}
	return past[drop:]
}

func memberItems(members []fleet.Member) []MemberItem {
	items := make([]MemberItem, 0, len(members))
	for _, m := range members {
		items = append(items, MemberItem{Node: m.Node, Incarnation: m.Incarnation})
	}
	return items
}

// FleetMembers returns the members of the group.
func (g *GroupEpoch) FleetMembers() []fleet.Member { return fleetMembers(g.Members) }

func fleetMembers(items []MemberItem) []fleet.Member {
	members := make([]fleet.Member, len(items))
	for i, m := range items {
		members[i] = fleet.Member{Node: m.Node, Incarnation: m.Incarnation}
	}
	return members
}

func (h *hasher) history(past []GroupEpoch) {
	for i := range past {
		h.number(past[i].Epoch)
		h.number(past[i].Base)
		h.number(past[i].AcceptedMS)
		h.members(past[i].Members)
	}
}

func (h *hasher) members(items []MemberItem) {
	h.number(int64(len(items)))
	for _, m := range items {
		h.text(m.Node)
		h.number(m.Incarnation)
	}
}
