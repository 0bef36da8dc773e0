package control

import (
	"errors"
	"fmt"

	"hyssopbridge/platformlog"
)

// recentIDs is the number of accepted record IDs that are kept to distinguish a
// duplicate from a conflict. The state does not depend on it: the base of a
// duplicate can never match again.
const recentIDs = 1024

// State is the result of folding the control records. It is not safe for
// concurrent use; Snapshot returns immutable copies.
type State struct {
	snap Snapshot
	ids  idRing
}

// NewState returns a state that continues from a snapshot, or an empty state
// for nil. It shares the snapshot's items.
func NewState(from *Snapshot) *State {
	s := &State{ids: newIDRing(recentIDs)}
	if from != nil {
		s.snap = *from
	}
	return s
}

// Version returns the offset of the last folded record.
func (s *State) Version() int64 { return s.snap.Version }

// Snapshot returns the current state. Its cost does not depend on the size of
// the state.
func (s *State) Snapshot() *Snapshot {
	c := s.snap
	return &c
}

// Apply folds one entry. The entry's offset must follow the state's version;
// for any other offset the state does not change and the outcome is Stale or
// Gap. Every other outcome advances the version.
func (s *State) Apply(e platformlog.Entry) Outcome {
	out := Outcome{Offset: e.Offset, ID: e.ID}
	switch {
	case e.Offset <= s.snap.Version:
		out.Kind = Stale
		out.Err = fmt.Errorf("offset %d is not above version %d", e.Offset, s.snap.Version)
		return out
	case e.Offset != s.snap.Version+1:
		out.Kind = Gap
		out.Err = fmt.Errorf("offset %d does not follow version %d", e.Offset, s.snap.Version)
		return out
	}
	s.snap.Version = e.Offset
	s.fold(e, &out)
	s.rememberID(&out)
	return out
}

// rememberID records accepted IDs and reports a rejected copy of an accepted
// record as a duplicate. It runs after the rules have been applied and must not influence
// them, because the recorded IDs differ between nodes that read the log and
// nodes that received state from a peer.
func (s *State) rememberID(out *Outcome) {
	switch out.Kind {
	case Accepted:
		s.ids.add(out.ID)
	case Conflict, Stale, Invalid:
		if s.ids.has(out.ID) {
			out.Kind, out.Winner, out.Err = Duplicate, Winner{}, nil
		}
	}
}

func (s *State) fold(e platformlog.Entry, out *Outcome) {
	r, err := DecodeRecord(e.Data)
	if err == nil && r.ID != e.ID {
		err = fmt.Errorf("%w: ID %q differs from ID %q of the log entry", ErrBadRecord, r.ID, e.ID)
	}
	switch {
	case errors.Is(err, ErrUnknownFormat):
		out.Kind, out.Err = Skipped, err
	case err != nil:
		out.Kind, out.Err = Invalid, err
	case r.Kind == KindCheckpoint:
		s.foldCheckpoint(e, r, out)
	case r.Kind == KindHomes:
		s.foldHomes(r, e.Time.UnixMilli(), out)
	default:
		s.foldMandate(r, out)
	}
}

// foldCheckpoint records a complete round when it sees its last part, which the
// writer appends only after all other parts.
func (s *State) foldCheckpoint(e platformlog.Entry, r *Record, out *Outcome) {
	out.Kind = Noted
	part := &r.Checkpoint.Part
	if part.Part == part.Parts-1 && part.To > s.snap.Round.Through {
		s.snap.Round = RoundInfo{Through: part.To, UnixMS: e.Time.UnixMilli()}
	}
}

// idRing is a set of fixed size that holds the most recently added IDs.
type idRing struct {
	ids  []string
	next int
	set  map[string]struct{}
}

func newIDRing(size int) idRing {
	return idRing{ids: make([]string, size), set: make(map[string]struct{})}
}

func (r *idRing) has(id string) bool {
	_, ok := r.set[id]
	return ok
}

func (r *idRing) add(id string) {
	delete(r.set, r.ids[r.next])
	r.ids[r.next] = id
	r.set[id] = struct{}{}
	r.next = (r.next + 1) % len(r.ids)
}
