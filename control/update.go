package control

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
)

// Update holds the items whose revision lies in (From, To], and so leads from
// the state of version From to that of version To. A full state has From 0.
// A large update is split into parts. An update with From equal to To has no
// items and leads nowhere; it states that its sender is not newer.
type Update struct {
	_        struct{} `cbor:",toarray"`
	From     int64
	To       int64
	Digest   uint64    // digest of the state of version To
	Round    RoundInfo // newest complete checkpoint round at version To
	Part     int       // index of this part
	Parts    int       // number of parts; 1 for an unsplit update
	Mandates []MandateItem
	Groups   []GroupItem
}

// MandateItem is the encoded form of Mandate.
type MandateItem struct {
	_         struct{} `cbor:",toarray"`
	Name      string
	Term      int64
	Holder    string
	Revision  int64
	ID        string
	Withdrawn bool
	Reason    string
	Document  []byte
}

// GroupItem is the encoded form of Group.
type GroupItem struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Epoch   int64
	ID      string
	Members []MemberItem

	Base       int64
	AcceptedMS int64
	Past       []GroupEpoch
}

// ErrBadUpdate is returned for an update that breaks the format, or whose
// items do not lead to the stated digest.
var ErrBadUpdate = errors.New("bad update")

// NotContiguousError is returned by ApplyUpdate when the update starts after the
// receiver's version.
type NotContiguousError struct {
	Version int64 // receiver's version
	From    int64 // start of the update
}

// Error implements error.
func (e *NotContiguousError) Error() string {
	return fmt.Sprintf("update starts at version %d, but the state has version %d", e.From, e.Version)
}

// Since returns the update that leads from version to the snapshot. It returns
// false if the snapshot is not newer. Items are in order of revision.
func (s *Snapshot) Since(version int64) (Update, bool) {
	if version >= s.Version {
		return Update{}, false
	}
	version = max(version, 0)
	u := Update{From: version, To: s.Version, Digest: s.Digest, Round: s.Round, Parts: 1}
	for m := range s.Changed(version) {
		u.Mandates = append(u.Mandates, m.item())
	}
	for g := range s.groups.after(version) {
		if g.Epoch > version {
			u.Groups = append(u.Groups, g.item())
		}
	}
	u.sort()
	return u, true
}

// StateResponse returns the answer to a peer that asks for the state after a version.
func (s *Snapshot) StateResponse(since int64) Update {
	if u, ok := s.Since(since); ok {
		return u
	}
	return Update{From: s.Version, To: s.Version, Digest: s.Digest, Round: s.Round, Parts: 1}
}

// Since returns the update that leads from version to the current state.
func (s *State) Since(version int64) (Update, bool) { return s.snap.Since(version) }

func (u *Update) sort() {
	slices.SortFunc(u.Mandates, func(a, b MandateItem) int { return cmp.Compare(a.Revision, b.Revision) })
	slices.SortFunc(u.Groups, func(a, b GroupItem) int {
		return cmp.Or(cmp.Compare(a.Epoch, b.Epoch), cmp.Compare(a.Service, b.Service))
	})
}

func (m *Mandate) item() MandateItem {
	return MandateItem{
		Name: m.Name, Term: m.Term, Holder: m.Holder, Revision: m.Revision, ID: m.ID,
		Withdrawn: m.Withdrawn, Reason: m.Reason, Document: m.Document,
	}
}

func (g *Group) item() GroupItem {
	return GroupItem{Service: g.Service, Epoch: g.Epoch, ID: g.ID, Members: memberItems(g.Members),
		Base: g.Base, AcceptedMS: g.AcceptedMS, Past: g.Past}
}
