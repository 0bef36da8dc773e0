package proxy

import (
	"errors"
	"time"

	"hyssopbridge/fleet"
	"hyssopbridge/resultcode"
	"hyssopbridge/routing"
)

// Outcome classifies how an attempt ended, for the failure detection of targets.
type Outcome uint8

// Outcomes of an attempt.
const (
	OutcomeOK          Outcome = iota
	OutcomeError               // status 500, 502, 503 or 504, or a broken connection to the target
	OutcomeTimeout             // no complete response in time, or a stalled one
	OutcomeTruncated           // the response ended early or belonged to another request
	OutcomeShed                // the target refused because of its load
	OutcomeUnreachable         // the host node was unreachable or its response was lost
	OutcomeNeutral             // says nothing about the target, for example after the caller disconnected
)

// Observation tracks one attempt.
type Observation interface {
	// End reports the outcome and the duration of the attempt.
	End(o Outcome, took time.Duration)
}

// Observer receives the outcomes of attempts and requests.
type Observer interface {
	// Start is called when an attempt begins.
	Start(route *routing.Route, ep *fleet.Endpoint) Observation
	// Finished is called when a caller's request has ended.
	Finished(r *Result)
}

// Result is the outcome of one caller's request.
type Result struct {
	ID       string
	Service  string // empty when no route matched
	Route    string
	Class    fleet.Class
	Customer string
	Target   string // target of the last attempt
	Attempts int
	Code     resultcode.Code
	Ran      resultcode.Ran
	Status   int
	Bytes    int64
	Took     time.Duration
	Keyed    bool
	Hop      Hop
	Err      error
}

// Hop is the position on the request path that a Result comes from.
type Hop uint8

// Hops.
const (
	HopEntry Hop = iota // the entry node
	HopHome             // the home node of a keyed request that another node forwarded
)

func (c *call) recordResult(err error) {
	r := &c.result
	r.ID, r.Keyed, r.Attempts, r.Took, r.Err = c.id, c.filter.Key != "", c.attempts, time.Since(c.start), err
	if c.route != nil {
		r.Service, r.Route, r.Class = c.route.Service.Name, c.route.Name, c.route.Class
		r.Customer = c.filter.Customer
	}
	if len(c.tried) > 0 {
		r.Target = c.tried[len(c.tried)-1]
	}
	c.e.cfg.Observer.Finished(r)
}

// reportFailed reports an interrupted response before another target continues
// it.
func (a *attempt) reportFailed(err error) {
	a.resp.Body.Close()
	a.report(a.outcome(err))
}

// outcome classifies how the attempt ended.
func (a *attempt) outcome(err error) Outcome {
	var aborted abortError
	if errors.As(err, &aborted) {
		err = aborted.err
	}
	switch {
	case err == nil && a.resp == nil:
		return OutcomeNeutral
	case err == nil && isShed(a.resp):
		return OutcomeShed
	case err == nil && isServerError(a.resp.StatusCode):
		return OutcomeError
	case err == nil:
		return OutcomeOK
	}
	o := errorOutcome(err)
	if o == OutcomeTimeout && a.c.deadlineShortened {
		return OutcomeNeutral
	}
	return o
}

func errorOutcome(err error) Outcome {
	var re *resultcode.Error
	code := abortCode(err)
	if errors.As(err, &re) {
		code = re.Code
	}
	switch code {
	case resultcode.Timeout, resultcode.Stalled:
		return OutcomeTimeout
	case resultcode.Truncated, resultcode.AnswerMismatch:
		return OutcomeTruncated
	case resultcode.TargetError:
		return OutcomeError
	case resultcode.ShedByTarget:
		return OutcomeShed
	case resultcode.PeerUnreachable, resultcode.PeerLost:
		return OutcomeUnreachable
	}
	return OutcomeNeutral
}
