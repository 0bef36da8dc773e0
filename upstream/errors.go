package upstream

import "fmt"

// Stage is the progress of an exchange at the time it failed.
type Stage int

// Stages of an exchange.
const (
	NotSent         Stage = iota // no byte of the request was written
	Sent                         // at least part of the request was written; no response
	ResponseStarted              // part of the response was received
)

// Error describes a failed exchange.
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
		return fmt.Sprintf("no response from %s: %v", e.Addr, e.Err)
	default:
		return fmt.Sprintf("response from %s: %v", e.Addr, e.Err)
	}
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
