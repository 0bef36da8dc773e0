package lease

import (
	"time"

	"hyssopbridge/fleet"
)

// Ask requests confirmation and acknowledgement of an epoch.
type Ask struct {
	Service string
	Epoch   int64
}

// Answer states the latest epoch that the sender knows or has acknowledged. It
// both confirms and acknowledges that epoch, and refuses all earlier ones.
type Answer struct {
	Service string
	Epoch   int64
	// Active is the latest epoch that the sender knows to be active; 0 if none.
	Active int64
}

// Message carries the requests and answers for all services that two nodes
// share.
type Message struct {
	From    fleet.Member
	To      string // node ID
	Asks    []Ask
	AskedAt time.Duration // sender's monotonic time before sending

	// AnswerTo and AnswerAt echo the sender's incarnation and AskedAt of the
	// request. The requester ignores answers to an earlier process.
	Answers  []Answer
	AnswerTo int64
	AnswerAt time.Duration
}
