package proxy

import (
	"errors"
	"time"

	"hyssopbridge/fleet"
	"hyssopbridge/resultcode"
	"hyssopbridge/routing"
)

// Outcome is how an attempt at a target ended, as evidence of its health.
type Outcome uint8

// Outcomes of an attempt.
const (
	OutcomeOK          Outcome = iota
	OutcomeError               // the target answered with a fault or broke the connection
	OutcomeTimeout             // no complete answer in time, or no progress
	OutcomeTruncated           // the answer ended early
	OutcomeShed                // the target refused because of its load
	OutcomeUnreachable         // the host node could not be reached
	OutcomeNeutral             // says nothing about the target, for example the caller left
)

// Observation follows one attempt.
type Observation interface {
	// End reports how the attempt ended and how long it took.
	End(o Outcome, took time.Duration)
}

// Observer receives what the proxy sees of targets and requests.
type Observer interface {
	// Start is called when a request is sent to a target.
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
	Target   string // instance that answered last
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

// Hop tells which part of the path a Result is from.
type Hop uint8

// Hops.
const (
	HopEntry Hop = iota // the node that the caller reached
	HopHome             // the home of a keyed order, reached through another node
)

func (c *call) record(err error) {
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

// failed reports a broken answer early, before the request goes to another
// target.
func (a *attempt) failed(err error) {
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
	case err == nil && isFault(a.resp.StatusCode):
		return OutcomeError
	case err == nil:
		return OutcomeOK
	}
	o := errorOutcome(err)
	if o == OutcomeTimeout && a.c.shortened {
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
