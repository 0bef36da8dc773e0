package ctl

import (
	"errors"
	"fmt"
	"io"

	"hyssopbridge/config/manifest"
	"hyssopbridge/control"
	"hyssopbridge/resultcode"
)

// commandResult is the JSON output of check, publish and withdraw.
type commandResult struct {
	Code     int                `json:"code"`
	Name     string             `json:"name"`
	Message  string             `json:"message,omitempty"`
	Problems []manifest.Problem `json:"problems,omitempty"`
	Accepted *control.Published `json:"accepted,omitempty"`
	Winner   *control.Winner    `json:"winner,omitempty"` // of a publish conflict
	Pending  *pendingRecord     `json:"pending,omitempty"`
	Summary  *manifestSummary   `json:"summary,omitempty"`
	Outcome  resultcode.Code    `json:"-"`
}

// pendingRecord identifies a log record whose outcome is unknown.
type pendingRecord struct {
	ID   string `json:"id"`
	From int64  `json:"from_offset"`
}

// manifestSummary describes a valid manifest.
type manifestSummary struct {
	Mandate  string `json:"mandate"`
	Term     int64  `json:"term"`
	Holder   string `json:"holder"`
	Services int    `json:"services"`
	Routes   int    `json:"routes"`
}

func newResult(code resultcode.Code) commandResult {
	info, _ := resultcode.Lookup(code)
	return commandResult{Code: int(code), Name: info.Name, Outcome: code}
}

// resultOf converts an error of a control.Publisher to a result.
func resultOf(err error) commandResult {
	r := newResult(control.ResultCode(err))
	var invalid *control.InvalidError
	var conflict *control.ConflictError
	var unknown *control.UnknownOutcomeError
	switch {
	case errors.As(err, &invalid):
		r.Problems = invalid.Problems
	case errors.As(err, &conflict):
		r.Winner = &conflict.Winner
	case errors.As(err, &unknown):
		r.Pending = &pendingRecord{ID: unknown.ID, From: unknown.From}
	}
	if len(r.Problems) == 0 {
		r.Message = err.Error()
	}
	return r
}

// print writes the result and returns its exit code. The text of a failure goes to
// stderr; JSON always goes to stdout.
func (r commandResult) print(command string, asJSON bool, stdout, stderr io.Writer) int {
	exit := exitFor(r.Outcome)
	switch {
	case asJSON:
		if printJSON(stdout, stderr, r) != exitOK {
			return exitError
		}
	case exit == exitOK:
		fmt.Fprintln(stdout, r.Message)
	default:
		r.printFailure(command, stderr)
	}
	return exit
}

func (r commandResult) printFailure(command string, stderr io.Writer) {
	for _, p := range r.Problems {
		fmt.Fprintln(stderr, p)
	}
	message := r.Message
	if message == "" {
		message = fmt.Sprintf("%d problem(s)", len(r.Problems))
	}
	fmt.Fprintf(stderr, "hyssopctl %s: %s: %s\n", command, r.Outcome, message)
}
