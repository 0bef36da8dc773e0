package upstream

import "fmt"

// Stage tells how far a failed exchange had come.
type Stage int

// Stages of an exchange.
const (
	NotSent         Stage = iota // no byte of the request was written
	Sent                         // the request was written in part or whole; no answer
	ResponseStarted              // the answer had started
)

// Error is a failed exchange.
type Error struct {
	Stage Stage
	Addr  string
	Err   error
}

// Error implements error.
func (e *Error) Error() string {
	switch e.Stage {
	case NotSent:
		return fmt.Sprintf("connect to %s: %v", e.Addr, e.Err)
	case Sent:
		return fmt.Sprintf("no answer from %s: %v", e.Addr, e.Err)
	default:
		return fmt.Sprintf("answer from %s: %v", e.Addr, e.Err)
	}
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
