package lease

import (
	"time"

	"hyssopbridge/fleet"
)

// Ask requests confirmation and acknowledgement of an epoch.
type Ask struct {
	Service string `cbor:"1,keyasint"`
	Epoch   int64  `cbor:"2,keyasint"`
}

// Answer states the latest epoch that the sender knows or has acknowledged. It
// confirms that epoch, acknowledges it, and refuses all earlier ones.
type Answer struct {
	Service string `cbor:"1,keyasint"`
	Epoch   int64  `cbor:"2,keyasint"`
	// Active is the latest epoch known to be active; 0 if none.
	Active int64 `cbor:"3,keyasint,omitempty"`
}

// Message carries the requests and answers for all services that two nodes
// share.
type Message struct {
	From    fleet.Member  `cbor:"1,keyasint"`
	To      string        `cbor:"2,keyasint"` // node ID
	Asks    []Ask         `cbor:"3,keyasint,omitempty"`
	AskedAt time.Duration `cbor:"4,keyasint,omitempty"` // sender's monotonic time before sending

	// AnswerTo and AnswerAt repeat the incarnation and AskedAt of the request.
	// The requester ignores answers meant for an earlier process.
	Answers  []Answer      `cbor:"5,keyasint,omitempty"`
	AnswerTo int64         `cbor:"6,keyasint,omitempty"`
	AnswerAt time.Duration `cbor:"7,keyasint,omitempty"`
}
