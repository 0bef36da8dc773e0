package once

import (
	"hyssopbridge/fleet"
	"hyssopbridge/resultcode"
)

// Action is what the caller of Begin has to do.
type Action uint8

// Actions.
const (
	// Run: send the order to a host node, then report Finished, NotRun or
	// Unknown with the decision's Attempt.
	Run Action = iota + 1
	// Join: wait until the running attempt ends, at most until the deadline,
	// and Begin again; answer resultcode.StillRunning when the deadline passes.
	Join
	// Replay: give the stored answer.
	Replay
	// Refuse: answer with Code.
	Refuse
	// AskPrevious: look the key up at every node in Ask, then call Resolve.
	AskPrevious
)

// String returns the name used in reports.
func (a Action) String() string {
	return [...]string{"", "run", "join", "replay", "refuse", "ask-previous"}[a]
}

// Decision is the result of Begin and Resolve.
type Decision struct {
	Action  Action
	Code    resultcode.Code // for Refuse
	Attempt uint32          // for Run
	Answer  *Answer         // for Replay; must not be modified
	Ask     []fleet.Member  // for AskPrevious
}

func refuse(c resultcode.Code) Decision { return Decision{Action: Refuse, Code: c} }

// Request is a keyed order as it reaches the home.
type Request struct {
	Key   Key
	Hash  PayloadHash
	Epoch int64 // as given by lease.Core.Holds after the order arrived
}

// Reply is the outcome of asking one node. OK is false if the node did not
// answer or answered in another incarnation.
type Reply struct {
	From      fleet.Member `cbor:"1,keyasint"`
	OK        bool         `cbor:"2,keyasint"`
	Entry     Entry        `cbor:"3,keyasint"`
	Handovers []Handover   `cbor:"4,keyasint,omitempty"`
}

// Handover states that From handed all its records of a service for keys whose
// home in epoch Epoch is To over to To. It is true for every node that learns it.
type Handover struct {
	To    fleet.Member `cbor:"1,keyasint"`
	Epoch int64        `cbor:"2,keyasint"`
	From  fleet.Member `cbor:"3,keyasint"`
}
