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

// attempt is one sending of a request to a target.
type attempt struct {
	c           *call
	selection   loadbalancer.Selection
	resp        *http.Response
	observation Observation
	started     time.Time
	id          string // identifies the attempt at the host node; empty on idempotent routes
}

// attempt sends the request to a target and returns once the header of a
// response that can be passed on has arrived.
func (c *call) attempt() (*attempt, error) {
	if c.lease != nil && time.Until(c.lease.End) <= 0 {
		return nil, resultcode.New(resultcode.NoLease, "the lease of the home node has expired")
	}
	request := loadbalancer.Request{Idempotent: c.route.Idempotent, Class: c.route.Class, Exclude: c.tried}
	selection, err := c.e.cfg.Balancer.Pick(c.e.cfg.Clock(), c.route.Service.Name, request)
	if err != nil {
		return nil, err
	}
	c.attempts++
	c.tried = append(c.tried, selection.Endpoint.ID)
	a := &attempt{c: c, selection: selection, started: time.Now()}
	if !c.route.Idempotent {
		a.id = newAttemptID(a.started)
	}
	a.observation = c.e.cfg.Observer.Start(c.route, selection.Endpoint)
	if err := a.exchange(); err != nil {
		a.end(err)
		return nil, err
	}
	return a, nil
}

// end reports the outcome of the attempt to the observer and the balancer.
func (a *attempt) end(err error) {
	if a.resp != nil {
		a.resp.Body.Close()
	}
	a.report(a.outcome(err))
	a.selection.Done(a.c.e.cfg.Clock(), loadbalancer.Result{Outcome: a.balancerOutcome(err), ReportedLoad: loadUnreported, RetryAfter: a.retryAfter()})
}

// loadUnreported stands for the load of a target whose host node did not
// report one.
const loadUnreported = -1

// report passes the outcome to the observer, unless that was done before.
func (a *attempt) report(o Outcome) {
	if a.observation != nil {
		a.observation.End(o, time.Since(a.started))
		a.observation = nil
	}
}

// retryAfter returns the back-off that a target which sheds load asked for.
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
	resp, err := a.c.e.cfg.Client.Do(a.c.ctx, a.selection.Endpoint.Node.PeerAddr, out, opt)
	if err != nil {
		return a.settle(exchangeError(a.c.ctx, err, resultcode.PeerUnreachable, resultcode.PeerLost))
	}
	a.resp = resp
	if err := a.c.checkPeerResponse(resp); err != nil {
		return err
	}
	return a.checkStatus()
}

var errPeerRefused = errors.New("refused by another node")

// settle tries to prove that a request whose response was lost did not run. It
// returns err, marked as not run if there is proof.
func (a *attempt) settle(err error) error {
	re := asResultError(err)
	if re.Ran != resultcode.RanUnknown || a.c.route.Idempotent {
		return err
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(a.c.ctx), settleTimeout)
	defer cancel()
	if a.c.e.cfg.Settler.NotRun(ctx, a.selection.Endpoint.Node, a.id) {
		return re.NotRun()
	}
	return re
}

// settleTimeout bounds the call that asks a host node whether it admitted a
// request.
const settleTimeout = 500 * time.Millisecond

// checkStatus treats a response that reports a failure of the target as a
// failed attempt if the request may be sent to another target.
func (a *attempt) checkStatus() error {
	if !a.c.route.Idempotent || a.c.attempts >= maxAttempts || !a.c.body.replayable() {
		return nil
	}
	switch {
	case isShed(a.resp):
		return a.errorIfRetryable(resultcode.ShedByTarget)
	case isServerError(a.resp.StatusCode):
		return a.errorIfRetryable(resultcode.TargetError)
	}
	return nil
}

// errorIfRetryable returns an error with code if the retry budget allows another
// attempt. Otherwise it returns nil and the target's response is passed on.
func (a *attempt) errorIfRetryable(code resultcode.Code) error {
	if !a.c.e.cfg.Budget.AllowRetry(a.c.route.Service.Name) {
		return nil
	}
	return &resultcode.Error{Code: code, Ran: code.Ran(), Err: errRetryCharged}
}

// errRetryCharged marks a failed attempt whose retry was already charged to the
// retry budget.
var errRetryCharged = errors.New("response reports a failure of the target")

func isServerError(status int) bool {
	return status == http.StatusInternalServerError || status == http.StatusBadGateway ||
		status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

// isShed reports whether a target refused the request because of its load: 503
// or 429 with a Retry-After header.
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
	a.setPeerHeaders(out.Header)
	if c.body.stream != nil {
		return out, upstream.Options{ExpectContinue: true}
	}
	return out, upstream.Options{}
}

// attemptHeader returns the header fields of an attempt. Attempts run one after
// another and share the caller's fields. With a streamed body each attempt gets
// a copy, because the previous one may still be sending when the next begins.
func (c *call) attemptHeader() http.Header {
	if c.body.stream != nil {
		h := c.r.Header.Clone()
		filters.StripHeader(h)
		return h
	}
	filters.StripHeader(c.r.Header)
	return c.r.Header
}

func (a *attempt) setPeerHeaders(h http.Header) {
	c := a.c
	h[HeaderRequestID] = []string{c.id}
	h[HeaderTarget] = []string{a.selection.Endpoint.ID + ";" + strconv.FormatInt(a.selection.Endpoint.Incarnation, 10)}
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

// mayRetry reports whether the request may be sent to another target after err.
// A retry that is not free is charged to the retry budget.
func (c *call) mayRetry(err error) bool {
	re := asResultError(err)
	if c.attempts == 0 || c.attempts >= maxAttempts || c.ctx.Err() != nil || !c.body.replayable() {
		return false
	}
	if re.Ran != resultcode.RanNo && !c.route.Idempotent {
		return false
	}
	if errors.Is(err, errRetryCharged) || isFreeRetry(re) {
		return true
	}
	return c.e.cfg.Budget.AllowRetry(c.route.Service.Name)
}

// isFreeRetry reports whether a retry after re is exempt from the retry budget:
// the refused request did not run and put no load on the service.
func isFreeRetry(re *resultcode.Error) bool {
	switch re.Code {
	case resultcode.TargetDraining, resultcode.NodeDraining, resultcode.PeerUnreachable, resultcode.NoTarget, resultcode.Barred:
		return re.Ran == resultcode.RanNo
	}
	return false
}
