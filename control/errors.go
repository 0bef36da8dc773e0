package control

import (
	"errors"
	"fmt"
	"strings"

	"hyssopbridge/config/manifest"
	"hyssopbridge/resultcode"
)

// InvalidError is returned when an operation breaks a rule. Nothing was
// accepted.
type InvalidError struct {
	Problems []manifest.Problem // of a manifest
	Reason   string             // of any other operation
}

// Error implements error.
func (e *InvalidError) Error() string {
	if len(e.Problems) == 0 {
		return e.Reason
	}
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// ConflictError is returned when another record was accepted first. Nothing of
// this operation was accepted.
type ConflictError struct {
	Base   int64 // base of the refused operation
	Winner Winner
}

// Error implements error.
func (e *ConflictError) Error() string {
	w := e.Winner
	switch {
	case w.Mandate == "":
		return fmt.Sprintf("home group of service %q has epoch %d (record %s), not %d", w.Service, w.Revision, w.ID, e.Base)
	case w.Service != "":
		return fmt.Sprintf("service %q belongs to mandate %q of %q at revision %d (record %s)", w.Service, w.Mandate, w.Holder, w.Revision, w.ID)
	}
	return fmt.Sprintf("mandate %q of %q is at revision %d (record %s), not %d", w.Mandate, w.Holder, w.Revision, w.ID, e.Base)
}

// UnknownOutcomeError is returned when it could not be settled whether the record was
// accepted.
type UnknownOutcomeError struct {
	ID   string // record ID to look for
	From int64  // offset from which the record may be found
	Err  error
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("record %s may lie in the log from offset %d on: %v", e.ID, e.From, e.Err)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// UnavailableError is returned when the log cannot be used. Nothing was
// appended.
type UnavailableError struct{ Err error }

// Error implements error.
func (e *UnavailableError) Error() string { return "log: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// ErrNoCheckpoint is the cause of an UnavailableError when records have
// expired and the retained part of the log holds no usable checkpoint round.
var ErrNoCheckpoint = errors.New("records have expired and no checkpoint round covers them")

// ResultCode returns the result code of an error of Publisher.
func ResultCode(err error) resultcode.Code {
	var invalid *InvalidError
	var conflict *ConflictError
	var unavailable *UnavailableError
	switch {
	case err == nil:
		return resultcode.CommandOK
	case errors.As(err, &invalid):
		return resultcode.InvalidManifest
	case errors.As(err, &conflict):
		return resultcode.PublishConflict
	case errors.As(err, &unavailable):
		return resultcode.LogUnavailable
	}
	return resultcode.PublishUnknown
}
