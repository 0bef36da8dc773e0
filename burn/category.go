package burn

import (
	"net/http"
	"time"

	"hyssopbridge/config/manifest"
	"hyssopbridge/fleet"
	"hyssopbridge/resultcode"
)

// Category is how a request counts towards the objective.
type Category uint8

// Categories. All except Good and Excluded spend error budget.
const (
	Good     Category = iota
	Late              // answered completely, but not in time
	Failed            // run, but not answered completely or answered with a 5xx status
	Refused           // not run
	Lost              // unknown whether it was run, or its confirmation was lost
	Excluded          // caused by the caller, or the mandate was withdrawn
	numCategories
)

var categoryNames = [numCategories]string{"good", "late", "failed", "refused", "lost", "excluded"}

// String returns the name used in reports.
func (c Category) String() string { return categoryNames[c%numCategories] }

// Bad reports whether requests of category c spend error budget.
func (c Category) Bad() bool { return c != Good && c != Excluded }

// Outcome is how a request ended.
type Outcome struct {
	Code   resultcode.Code
	Ran    resultcode.Ran
	Status int
	Class  fleet.Class
	Took   time.Duration
}

// Classify returns the category of a request. Downloads have no latency limit,
// because their duration depends on their size; a stalled download fails. A
// confirmation of an order that did not reach the caller counts as lost, even if
// a resend with the same key gets it later; the resend counts as a separate
// request.
func Classify(o *Outcome, objective *manifest.Objective) Category {
	switch {
	case o.Code == resultcode.Answered:
		return classifyResponse(o, objective)
	case o.Code == resultcode.CallerGone:
		return classifyDisconnect(o, objective)
	case isCallerFault(o.Code):
		return Excluded
	case o.Ran == resultcode.RanNo:
		return Refused
	case o.Code == resultcode.UnknownOutcome, o.Code == resultcode.RecordLost, o.Class == fleet.Order:
		return Lost
	}
	return Failed
}

func classifyResponse(o *Outcome, objective *manifest.Objective) Category {
	switch {
	case o.Status >= http.StatusInternalServerError:
		return Failed
	case isLate(o, objective):
		return Late
	}
	return Good
}

// classifyDisconnect classifies a request whose caller disconnected. It is bad if
// the caller waited longer than the objective or lacks a confirmation.
func classifyDisconnect(o *Outcome, objective *manifest.Objective) Category {
	switch {
	case o.Class == fleet.Order && o.Ran != resultcode.RanNo:
		return Lost
	case isLate(o, objective):
		return Late
	}
	return Excluded
}

func isLate(o *Outcome, objective *manifest.Objective) bool {
	return o.Class != fleet.Download && o.Took > time.Duration(objective.LatencyMS)*time.Millisecond
}

func isCallerFault(c resultcode.Code) bool {
	switch c {
	case resultcode.BadRequest, resultcode.HeaderTooLarge, resultcode.BodyStalled, resultcode.BodyTooLarge,
		resultcode.RateLimited, resultcode.KeyReused, resultcode.KeyFromFuture, resultcode.StillRunning,
		resultcode.NoRoute, resultcode.ServiceWithdrawn:
		return true
	}
	return false
}
