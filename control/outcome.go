package control

import "fmt"

// OutcomeKind is the result of folding one record.
type OutcomeKind uint8

// Outcome kinds.
const (
	Accepted  OutcomeKind = iota // the record changed the state
	Conflict                     // another record was accepted first; Winner names it
	Duplicate                    // a record with this ID was accepted before
	Stale                        // the record's offset or term is lower than that of the state
	Invalid                      // the record violates the format or a rule
	Skipped                      // this release does not know the format version or kind
	Noted                        // a checkpoint part, which changes no mandate and no group
	Gap                          // the offset does not follow the state's version; nothing was folded
)

// String returns the name of the kind.
func (k OutcomeKind) String() string {
	names := [...]string{"accepted", "conflict", "duplicate", "stale", "invalid", "skipped", "noted", "gap"}
	if int(k) < len(names) {
		return names[k]
	}
	return fmt.Sprintf("outcome(%d)", k)
}

// Winner identifies the accepted record that a rejected record conflicts with.
type Winner struct {
	Mandate  string // mandate of the winner; empty for a home group
	Service  string // contested service; empty if the conflict is about the mandate itself
	Holder   string
	Revision int64  // offset of the winner
	ID       string // record ID of the winner
}

// Outcome describes the result of folding one record.
type Outcome struct {
	Kind     OutcomeKind
	Offset   int64
	ID       string
	Revision int64          // new revision or epoch if accepted
	Winner   Winner         // set for Conflict
	Err      error          // cause for Stale, Invalid, Skipped and Gap
	Groups   []GroupOutcome // one per proposed home group
}

// GroupOutcome describes the result of folding one proposed home group.
type GroupOutcome struct {
	Service string
	Kind    OutcomeKind // Accepted, Conflict, Duplicate or Invalid
	Epoch   int64       // current epoch of the service after the fold
	Winner  Winner      // set for Conflict
}
