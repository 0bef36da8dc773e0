package burn

import (
	"net/http"
	"time"

	"hyssopbridge/config/manifest"
	"hyssopbridge/fleet"
	"hyssopbridge/resultcode"
)

// Category is what a request counts as.
type Category uint8

// Categories. All but Good and Excluded spend the budget.
const (
	Good     Category = iota
	Late              // answered whole, but not in time
	Failed            // run, and not answered whole, or answered with a 5xx status
	Refused           // not run
	Lost              // it is not known whether it was run, or its confirmation was lost
	Excluded          // the caller's own doing, or the mandate was withdrawn
	numVerdicts
)

var verdictNames = [numVerdicts]string{"good", "late", "failed", "refused", "lost", "excluded"}

// String returns the name used in reports.
func (v Category) String() string { return verdictNames[v%numVerdicts] }

// Bad reports whether v spends the budget.
func (v Category) Bad() bool { return v != Good && v != Excluded }

// Outcome is how a request ended.
type Outcome struct {
	Code   resultcode.Code
	Ran    resultcode.Ran
	Status int
	Class  fleet.Class
	Took   time.Duration
}

// Classify returns the verdict on a request. Downloads have no time limit: their
// length is up to their size, and a stalled one fails. A confirmation of an
// order that did not reach the caller is lost, also when a resend of its key
// finds it later; the resend counts as a request of its own.
func Classify(o *Outcome, objective *manifest.Objective) Category {
	switch {
	case o.Code == resultcode.Answered:
		return judgeAnswer(o, objective)
	case o.Code == resultcode.CallerGone:
		return judgeGone(o, objective)
	case callersDoing(o.Code):
		return Excluded
	case o.Ran == resultcode.RanNo:
		return Refused
	case o.Code == resultcode.UnknownOutcome, o.Code == resultcode.RecordLost, o.Class == fleet.Order:
		return Lost
	}
	return Failed
}

func judgeAnswer(o *Outcome, objective *manifest.Objective) Category {
	switch {
	case o.Status >= http.StatusInternalServerError:
		return Failed
	case late(o, objective):
		return Late
	}
	return Good
}

// judgeGone judges a caller that left: it waited longer than the objective, or
// it misses a confirmation.
func judgeGone(o *Outcome, objective *manifest.Objective) Category {
	switch {
	case o.Class == fleet.Order && o.Ran != resultcode.RanNo:
		return Lost
	case late(o, objective):
		return Late
	}
	return Excluded
}

func late(o *Outcome, objective *manifest.Objective) bool {
	return o.Class != fleet.Download && o.Took > time.Duration(objective.LatencyMS)*time.Millisecond
}

func callersDoing(c resultcode.Code) bool {
	switch c {
	case resultcode.BadRequest, resultcode.HeaderTooLarge, resultcode.BodyStalled, resultcode.BodyTooLarge,
		resultcode.RateLimited, resultcode.KeyReused, resultcode.KeyFromFuture, resultcode.StillRunning,
		resultcode.NoRoute, resultcode.ServiceWithdrawn:
		return true
	}
	return false
}
