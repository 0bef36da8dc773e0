package once

import (
	"hyssopbridge/fleet"
	"hyssopbridge/resultcode"
)

// Action tells the caller of Begin or Resolve what to do.
type Action uint8

// Actions.
const (
	// Run: send the order to a host node, then call Finished, NotRun or Unknown
	// with the decision's Attempt.
	Run Action = iota + 1
	// Join: wait until the running attempt ends or the deadline passes. After
	// the attempt call Begin again; after the deadline respond with
	// resultcode.StillRunning.
	Join
	// Replay: send the stored response.
	Replay
	// Refuse: respond with Code.
	Refuse
	// AskPrevious: look up the key at every node in Ask, then call Resolve.
	AskPrevious
)

// String returns the name used in reports.
func (a Action) String() string {
	return [...]string{"", "run", "join", "replay", "refuse", "ask-previous"}[a]
}

// Decision is the result of Begin and Resolve.
type Decision struct {
	Action   Action
	Code     resultcode.Code // for Refuse
	Attempt  uint32          // for Run
	Response *Response       // for Replay; must not be modified
	Ask      []fleet.Member  // for AskPrevious
}

func refuse(c resultcode.Code) Decision { return Decision{Action: Refuse, Code: c} }

// Request is a keyed order that reached the home.
type Request struct {
	Key   Key
	Hash  PayloadHash
	Epoch int64 // as returned by lease.Core.Holds after the order arrived
}

// Reply is the result of a lookup at one node. OK is false if the node did not
// reply or is of another incarnation.
type Reply struct {
	From      fleet.Member `cbor:"1,keyasint"`
	OK        bool         `cbor:"2,keyasint"`
	Entry     Entry        `cbor:"3,keyasint"`
	Handovers []Handover   `cbor:"4,keyasint,omitempty"`
}

// Handover states that From transferred to To all its records of a service for
// the keys whose home in epoch Epoch is To. Every node that learns of it may
// rely on it.
type Handover struct {
	To    fleet.Member `cbor:"1,keyasint"`
	Epoch int64        `cbor:"2,keyasint"`
	From  fleet.Member `cbor:"3,keyasint"`
}
