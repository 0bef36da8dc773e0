package proxy

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"hyssopbridge/filters"
	"hyssopbridge/fleet"
	"hyssopbridge/once"
	"hyssopbridge/resultcode"
	"hyssopbridge/upstream"
)

const (
	// RoleHome is the value of HeaderRole on a request to the home node of a key.
	RoleHome = "home"
	// maxHomeSends is the maximum number of times that a keyed request is sent to
	// its home node. Resending it is safe, because the home node runs each key at
	// most once.
	maxHomeSends = 4
	// homeRetryDelay is the delay before a resend. It leaves time for a lease to
	// be confirmed or a new home group to become known.
	homeRetryDelay = 150 * time.Millisecond
)

// Lease is the right of a home node to start keyed requests. It ends at End.
type Lease struct {
	Epoch int64
	End   time.Time
}

// IdempotencyStore keeps the records of keyed requests, that is requests with an
// idempotency key. The records of a key are kept by its home node.
type IdempotencyStore interface {
	// Home returns the home node of a key; self reports whether it is this node.
	// The error has a result code that states "not run".
	Home(key once.Key) (node fleet.Node, self bool, err error)
	// Begin decides on its home node whether a request is run, replayed or
	// refused. If an attempt of the key is running, it waits for its end until
	// ctx ends.
	Begin(ctx context.Context, key once.Key, hash once.PayloadHash) (Lease, once.Decision)
	// Finished, NotRun and Unknown report the outcome of an attempt that Begin
	// decided to run. A nil answer stands for a response that is too large to
	// store.
	Finished(key once.Key, attempt uint32, a *once.Response)
	NotRun(key once.Key, attempt uint32)
	Unknown(key once.Key, attempt uint32)
}

// set adds the epoch and the remaining time of the lease to the headers between
// nodes.
func (l *Lease) set(h http.Header) {
	h[HeaderEpoch] = []string{strconv.FormatInt(l.Epoch, 10)}
	setMillis(h, HeaderLease, time.Until(l.End))
}

// serveKeyed runs a keyed request on its home node. It reads the body first,
// because the record contains its hash.
func (c *call) serveKeyed() error {
	var err error
	c.body, err = readBody(c.w, c.r, c.route.MaxBodyBytes, c.route.MaxBodyBytes, c.e.cfg.BodyIdleTimeout)
	if err != nil {
		return err
	}
	if c.body.stream != nil {
		return resultcode.New(resultcode.BodyTooLarge, "a request with an idempotency key must have a body that fits in memory").NotRun()
	}
	key := once.Key{Service: c.route.Service.Name, Customer: c.filter.Customer, Route: c.route.Name, Value: c.filter.Key}
	for sends := 1; ; sends++ {
		err = c.dispatchToHome(key)
		if sends == maxHomeSends || !mayRetryHome(err) || !c.sleep(homeRetryDelay) {
			return err
		}
	}
}

// dispatchToHome runs the request here if this node is the home node of the key,
// else it forwards the request to the home node.
func (c *call) dispatchToHome(key once.Key) error {
	node, self, err := c.e.cfg.Idempotency.Home(key)
	if err != nil {
		return err
	}
	if self {
		return c.runAtHome(key)
	}
	return c.sendToHome(node, key)
}

// mayRetryHome reports whether a keyed request may be resent to its home node
// after err: that node had no lease, was out of date, draining or
// unreachable, or its response was lost.
func mayRetryHome(err error) bool {
	if err == nil || errors.As(err, new(abortError)) {
		return false
	}
	switch asResultError(err).Code {
	case resultcode.NoLease, resultcode.PeerUnreachable, resultcode.PeerLost, resultcode.StaleConfiguration, resultcode.NodeDraining:
		return true
	}
	return false
}

// sleep waits for d and reports whether the request is still running.
func (c *call) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-c.ctx.Done():
		return false
	}
}

// sendToHome forwards the request to its home node.
func (c *call) sendToHome(node fleet.Node, key once.Key) error {
	out := outgoingRequest(c.r)
	out.Header = c.r.Header.Clone()
	filters.StripHeader(out.Header)
	out.Body, out.ContentLength = c.body.reader(), c.body.length
	h := out.Header
	h[HeaderRole] = []string{RoleHome}
	h[HeaderRequestID] = []string{c.id}
	h[HeaderService] = []string{key.Service}
	h[HeaderRoute] = []string{key.Route}
	h[HeaderKey] = []string{key.Value}
	h[HeaderCustomer] = []string{key.Customer}
	setMillis(h, HeaderDeadline, time.Until(c.deadline))
	resp, err := c.e.cfg.Client.Do(c.ctx, node.PeerAddr, out, upstream.Options{})
	if err != nil {
		return exchangeError(c.ctx, err, resultcode.PeerUnreachable, resultcode.PeerLost)
	}
	defer resp.Body.Close()
	if err := c.checkPeerResponse(resp); err != nil {
		c.notRunProven = asResultError(err).Ran == resultcode.RanNo
		return err
	}
	return c.relay(resp)
}

// checkPeerResponse returns an error if another node refused the request or its
// response belongs to another request.
func (c *call) checkPeerResponse(resp *http.Response) error {
	if got := resp.Header.Get(HeaderRequestID); got != c.id {
		return resultcode.New(resultcode.AnswerMismatch, "response carries request ID %q, want %q", got, c.id)
	}
	if code, refused := peerResult(resp.Header); refused {
		return &resultcode.Error{Code: code, Ran: parseRan(resp.Header.Get(HeaderRan)), Err: errPeerRefused}
	}
	return nil
}

// relay copies the response of the home node to the caller.
func (c *call) relay(resp *http.Response) error {
	c.result.Status = resp.StatusCode
	writeResponseHead(c.w, resp, c.id)
	wd := newWatchdog(c.route.StallTimeout, c.cancel)
	defer wd.stop()
	n, err := copyBody(c.w, resp.Body, wd, resp.ContentLength < 0)
	c.result.Bytes = n
	if err != nil {
		return abortError{c.abortCause(err)}
	}
	writeTrailers(c.w.Header(), resp.Trailer)
	return nil
}

// ServeHome handles keyed requests that other nodes send to this node as their
// home node.
func (e *Entry) ServeHome(w http.ResponseWriter, r *http.Request) {
	c := &call{e: e, w: w, r: r, start: time.Now(), id: r.Header.Get(HeaderRequestID)}
	c.result.Hop = HopHome
	err := c.serveHome()
	c.finish(err)
}

func (c *call) serveHome() error {
	h := c.r.Header
	route, err := c.e.cfg.Router.Find(h.Get(HeaderService), h.Get(HeaderRoute))
	if err != nil {
		return err
	}
	left := millis(h, HeaderDeadline)
	if left <= 0 || c.id == "" {
		return resultcode.New(resultcode.BadRequest, "missing or malformed %s or %s header", HeaderDeadline, HeaderRequestID)
	}
	c.route = route
	c.filter = filters.Context{Request: c.r, Route: route, RequestID: c.id, Customer: h.Get(HeaderCustomer), Key: h.Get(HeaderKey)}
	c.filter.Now = c.e.cfg.Clock()
	c.filter.Deadline = c.filter.Now + left
	filters.StripHeader(h)
	c.startDeadline()
	defer func() { c.cancel(nil) }()
	defer c.timer.Stop()
	c.body, err = readBody(c.w, c.r, route.MaxBodyBytes, route.MaxBodyBytes, c.e.cfg.BodyIdleTimeout)
	if err != nil {
		return err
	}
	if c.body.stream != nil {
		return resultcode.New(resultcode.BadRequest, "a keyed request between nodes must have a body that fits in memory").NotRun()
	}
	key := once.Key{Service: route.Service.Name, Customer: c.filter.Customer, Route: route.Name, Value: c.filter.Key}
	return c.runAtHome(key)
}

// runAtHome runs the request, replays the stored response or refuses, as its
// record decides.
func (c *call) runAtHome(key once.Key) error {
	lease, d := c.e.cfg.Idempotency.Begin(c.ctx, key, c.payloadHash())
	switch d.Action {
	case once.Run:
		return c.runKeyed(key, lease, d.Attempt)
	case once.Replay:
		c.replay(d.Response)
		return nil
	default:
		c.notRunProven = provesNotRun(d.Code)
		return resultcode.New(d.Code, "refused by the home node of the key")
	}
}

// provesNotRun reports whether a refusal rests on complete records, which prove
// that no earlier request with the same key and payload ran.
func provesNotRun(c resultcode.Code) bool {
	return c == resultcode.ClassShed || c == resultcode.KeyFromFuture || c == resultcode.KeyReused
}

// retractUnproven changes "not run" to "unknown" for a keyed request without
// proof, because an earlier request with the same key may have run.
func (c *call) retractUnproven(err error) error {
	keyed := c.r.Header.Get(filters.KeyHeader) != "" || c.filter.Key != ""
	if err == nil || c.notRunProven || !keyed || c.route != nil && c.route.Idempotent || errors.As(err, new(abortError)) {
		return err
	}
	re := *asResultError(err)
	if re.Ran == resultcode.RanNo {
		re.Ran = resultcode.RanUnknown
	}
	return &re
}

func (c *call) payloadHash() once.PayloadHash {
	var full once.PayloadHash
	sum := filters.HashPayload(c.r.Method, c.r.URL.RequestURI(), c.r.Header.Get("Content-Type"), c.body.data)
	copy(full[:], sum[:])
	return full
}

// runKeyed sends the request to a target and records the outcome. If the caller
// disconnects, the request continues until its deadline, so that a later request
// with the same key finds the outcome.
func (c *call) runKeyed(key once.Key, lease Lease, attempt uint32) error {
	c.detach()
	c.lease = &lease
	buffer := &responseBuffer{w: c.w}
	c.w = buffer
	err := c.send()
	c.w = buffer.w
	var aborted abortError
	switch {
	case err == nil:
		c.e.cfg.Idempotency.Finished(key, attempt, buffer.answer())
		buffer.flush()
		return nil
	case errors.As(err, &aborted):
		c.e.cfg.Idempotency.Unknown(key, attempt)
		if !buffer.passThrough {
			return resultcode.New(abortCode(aborted.err), "%w", aborted.err)
		}
	case asResultError(err).Ran == resultcode.RanNo:
		c.notRunProven = true
		c.e.cfg.Idempotency.NotRun(key, attempt)
	default:
		c.e.cfg.Idempotency.Unknown(key, attempt)
	}
	return err
}

// detach lets the request continue when the caller disconnects.
func (c *call) detach() {
	c.timer.Stop()
	c.ctx, c.cancel = context.WithCancelCause(context.WithoutCancel(c.r.Context()))
	c.timer = time.AfterFunc(time.Until(c.deadline), c.expire)
}

// replay sends the stored response to an earlier request with the same key.
func (c *call) replay(a *once.Response) {
	h := c.w.Header()
	copyHeader(h, a.Header)
	h[RequestIDHeader] = []string{c.id}
	h[HeaderRequestID] = []string{c.id}
	h[HeaderResult] = []string{answeredResult}
	h[HeaderReplayed] = []string{"yes"}
	c.result.Status, c.result.Bytes = a.Status, int64(len(a.Body))
	c.w.WriteHeader(a.Status)
	_, _ = c.w.Write(a.Body)
}
