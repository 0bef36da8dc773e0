package proxy

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"hyssopbridge/filters"
	"hyssopbridge/loadbalancer"
	"hyssopbridge/resultcode"
	"hyssopbridge/upstream"
)

// attempt is one request to one target.
type attempt struct {
	c       *call
	picked  loadbalancer.Selection
	resp    *http.Response
	watch   Observation
	started time.Time
	id      string // names this attempt at the host node; empty on idempotent routes
}

// attempt sends the request to a target and returns once an answer that can be
// passed on has begun.
func (c *call) attempt() (*attempt, error) {
	if c.lease != nil && time.Until(c.lease.End) <= 0 {
		return nil, resultcode.New(resultcode.NoLease, "lease has lapsed")
	}
	ask := loadbalancer.Request{Idempotent: c.route.Idempotent, Class: c.route.Class, Exclude: c.tried}
	picked, err := c.e.cfg.Balancer.Pick(c.e.cfg.Clock(), c.route.Service.Name, ask)
	if err != nil {
		return nil, err
	}
	c.attempts++
	c.tried = append(c.tried, picked.Endpoint.ID)
	a := &attempt{c: c, picked: picked, started: time.Now()}
	if !c.route.Idempotent {
		a.id = newAttemptID(a.started)
	}
	a.watch = c.e.cfg.Observer.Start(c.route, picked.Endpoint)
	if err := a.exchange(); err != nil {
		a.end(err)
		return nil, err
	}
	return a, nil
}

// end reports the outcome of the attempt and frees its target.
func (a *attempt) end(err error) {
	if a.resp != nil {
		a.resp.Body.Close()
	}
	a.report(a.outcome(err))
	a.picked.Done(a.c.e.cfg.Clock(), loadbalancer.Result{Outcome: a.balancerOutcome(err), ReportedLoad: notTold, RetryAfter: a.retryAfter()})
}

// notTold is the load of a target whose host node did not report it.
const notTold = -1

// report passes the outcome to the observer once.
func (a *attempt) report(o Outcome) {
	if a.watch != nil {
		a.watch.End(o, time.Since(a.started))
		a.watch = nil
	}
}

// retryAfter returns how long a target that sheds asks to be left alone.
func (a *attempt) retryAfter() time.Duration {
	if a.resp == nil {
		return 0
	}
	seconds, err := strconv.Atoi(a.resp.Header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

func (a *attempt) balancerOutcome(err error) loadbalancer.Outcome {
	if errors.Is(err, errPeerRefused) {
		return loadbalancer.Refused
	}
	switch a.outcome(err) {
	case OutcomeOK:
		return loadbalancer.Succeeded
	case OutcomeShed:
		return loadbalancer.Shed
	case OutcomeUnreachable:
		return loadbalancer.LinkFault
	case OutcomeNeutral:
		return loadbalancer.Canceled
	default:
		return loadbalancer.Failed
	}
}

func (a *attempt) exchange() error {
	out, opt := a.outgoing()
	resp, err := a.c.e.cfg.Client.Do(a.c.ctx, a.picked.Endpoint.Node.PeerAddr, out, opt)
	if err != nil {
		return a.lost(exchangeError(a.c.ctx, err, resultcode.PeerUnreachable, resultcode.PeerLost))
	}
	a.resp = resp
	if err := a.c.checkPeerAnswer(resp); err != nil {
		return err
	}
	return a.checkStatus()
}

var errPeerRefused = errors.New("refused by the host node")

// lost tries to prove that a request whose answer was lost did not run.
func (a *attempt) lost(err error) error {
	re := asResult(err)
	if re.Ran != resultcode.RanUnknown || a.c.route.Idempotent {
		return err
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(a.c.ctx), settleTimeout)
	defer cancel()
	if a.c.e.cfg.Settler.NotRun(ctx, a.picked.Endpoint.Node, a.id) {
		return re.NotRun()
	}
	return re
}

// settleTimeout bounds the question whether a request was admitted.
const settleTimeout = 500 * time.Millisecond

// checkStatus treats an answer that reports a fault of the target as a failed
// attempt when another target may be asked.
func (a *attempt) checkStatus() error {
	if !a.c.route.Idempotent || a.c.attempts >= maxAttempts || !a.c.body.replayable() {
		return nil
	}
	switch {
	case isShed(a.resp):
		return a.ifRetryable(resultcode.ShedByTarget)
	case isFault(a.resp.StatusCode):
		return a.ifRetryable(resultcode.TargetError)
	}
	return nil
}

// ifRetryable returns an error with code if the retry budget allows another
// attempt. Otherwise the target's answer is passed on.
func (a *attempt) ifRetryable(code resultcode.Code) error {
	if !a.c.e.cfg.Budget.Retry(a.c.route.Service.Name) {
		return nil
	}
	return &resultcode.Error{Code: code, Ran: code.Ran(), Err: errBudgeted}
}

// errBudgeted marks a failed attempt whose retry is already paid for.
var errBudgeted = errors.New("answer reports a fault")

func isFault(status int) bool {
	return status == http.StatusInternalServerError || status == http.StatusBadGateway ||
		status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

// isShed reports whether a target refused work because of its load: 503 or 429
// with a Retry-After header.
func isShed(resp *http.Response) bool {
	return (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests) &&
		resp.Header.Get("Retry-After") != ""
}

func (a *attempt) outgoing() (*http.Request, upstream.Options) {
	c := a.c
	out := outgoingRequest(c.r)
	out.Header = c.attemptHeader()
	if _, ok := out.Header["User-Agent"]; !ok {
		out.Header["User-Agent"] = nil
	}
	out.Body, out.ContentLength, out.Trailer = c.body.reader(), c.body.length, c.body.trailer
	if c.body.length < 0 {
		out.TransferEncoding = []string{"chunked"}
	}
	a.setHop(out.Header)
	if c.body.stream != nil {
		return out, upstream.Options{ExpectContinue: true}
	}
	return out, upstream.Options{}
}

// attemptHeader returns the header fields of an attempt. Attempts follow one
// another and may share the caller's fields, unless a body is streamed: its
// sender may still be writing when the next attempt begins.
func (c *call) attemptHeader() http.Header {
	if c.body.stream != nil {
		h := c.r.Header.Clone()
		filters.StripHeader(h)
		return h
	}
	filters.StripHeader(c.r.Header)
	return c.r.Header
}

func (a *attempt) setHop(h http.Header) {
	c := a.c
	h[HeaderRequestID] = []string{c.id}
	h[HeaderTarget] = []string{a.picked.Endpoint.ID + ";" + strconv.FormatInt(a.picked.Endpoint.Incarnation, 10)}
	h[HeaderClass] = []string{c.route.Class.String()}
	h[HeaderVersion] = []string{strconv.FormatInt(c.e.cfg.Router.Version(), 10)}
	setMillis(h, HeaderDeadline, time.Until(c.deadline))
	setMillis(h, HeaderStall, c.route.StallTimeout)
	if a.id != "" {
		h[HeaderAttempt] = []string{a.id}
	}
	if c.lease != nil {
		c.lease.set(h)
	}
}

// mayRetry decides whether the request goes to another target after err.
func (c *call) mayRetry(err error) bool {
	re := asResult(err)
	if c.attempts == 0 || c.attempts >= maxAttempts || c.ctx.Err() != nil || !c.body.replayable() {
		return false
	}
	if re.Ran != resultcode.RanNo && !c.route.Idempotent {
		return false
	}
	if errors.Is(err, errBudgeted) || freeRetry(re) {
		return true
	}
	return c.e.cfg.Budget.Retry(c.route.Service.Name)
}

// freeRetry reports refusals that cost the service nothing, so that they are
// not charged to the retry budget.
func freeRetry(re *resultcode.Error) bool {
	switch re.Code {
	case resultcode.TargetDraining, resultcode.NodeDraining, resultcode.PeerUnreachable, resultcode.NoTarget, resultcode.Barred:
		return re.Ran == resultcode.RanNo
	}
	return false
}
