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
	// RoleHome is the value of HeaderRole on a request to the home of a key.
	RoleHome = "home"
	// homeTries bounds how often a keyed order is sent to its home. Sending it
	// again is safe, because the home runs a key once.
	homeTries = 4
	// homeRetryPause separates the tries; it lets a lease be confirmed or a new
	// group become known.
	homeRetryPause = 150 * time.Millisecond
)

// Lease is the right of a home to start an order.
type Lease struct {
	Epoch int64
	End   time.Time
}

// OrderHomes keeps the records of keyed orders.
type OrderHomes interface {
	// Home returns the node that is home of a key; self is set when it is this
	// node. The error has a result code that states "not run".
	Home(key once.Key) (node fleet.Node, self bool, err error)
	// Begin decides about an order at its home. It waits for a running attempt
	// until ctx ends, and returns a decision to run, replay or refuse.
	Begin(ctx context.Context, key once.Key, hash once.PayloadHash) (Lease, once.Decision)
	// Finished, NotRun and Unknown report how the attempt of a decision to run
	// ended. A nil answer is one that is too large to keep.
	Finished(key once.Key, attempt uint32, a *once.Answer)
	NotRun(key once.Key, attempt uint32)
	Unknown(key once.Key, attempt uint32)
}

// set adds the fence of a keyed order to the headers between nodes.
func (l *Lease) set(h http.Header) {
	h[HeaderEpoch] = []string{strconv.FormatInt(l.Epoch, 10)}
	setMillis(h, HeaderLease, time.Until(l.End))
}

// serveKeyed runs an order with an idempotency key at its home. The body is
// read first, because its hash belongs to the record.
func (c *call) serveKeyed() error {
	var err error
	c.body, err = readBody(c.w, c.r, c.route.MaxBodyBytes, c.route.MaxBodyBytes, c.e.cfg.BodyIdle)
	if err != nil {
		return err
	}
	if c.body.stream != nil {
		return resultcode.New(resultcode.BodyTooLarge, "an order with a key needs a body that fits in memory").NotRun()
	}
	key := once.Key{Service: c.route.Service.Name, Customer: c.filter.Customer, Route: c.route.Name, Value: c.filter.Key}
	for try := 1; ; try++ {
		err = c.tryHome(key)
		if try == homeTries || !homeRetry(err) || !c.pause(homeRetryPause) {
			return err
		}
	}
}

func (c *call) tryHome(key once.Key) error {
	node, self, err := c.e.cfg.Orders.Home(key)
	if err != nil {
		return err
	}
	if self {
		return c.runAtHome(key)
	}
	return c.sendHome(node, key)
}

// homeRetry reports errors after which the order is sent to its home again: the
// home had no lease or could not be reached, or its answer was lost.
func homeRetry(err error) bool {
	if err == nil || errors.As(err, new(abortError)) {
		return false
	}
	switch asResult(err).Code {
	case resultcode.NoLease, resultcode.PeerUnreachable, resultcode.PeerLost, resultcode.StaleConfiguration, resultcode.NodeDraining:
		return true
	}
	return false
}

// pause waits for d; false means that the request ended meanwhile.
func (c *call) pause(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-c.ctx.Done():
		return false
	}
}

// sendHome passes the order to its home on another node.
func (c *call) sendHome(node fleet.Node, key once.Key) error {
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
	if err := c.checkPeerAnswer(resp); err != nil {
		c.proven = asResult(err).Ran == resultcode.RanNo
		return err
	}
	return c.passOn(resp)
}

// checkPeerAnswer returns the refusal that another node answered with.
func (c *call) checkPeerAnswer(resp *http.Response) error {
	if got := resp.Header.Get(HeaderRequestID); got != c.id {
		return resultcode.New(resultcode.AnswerMismatch, "answer for request %q, want %q", got, c.id)
	}
	if code, refused := peerResult(resp.Header); refused {
		return &resultcode.Error{Code: code, Ran: parseRan(resp.Header.Get(HeaderRan)), Err: errPeerRefused}
	}
	return nil
}

// passOn copies a complete answer of the home to the caller.
func (c *call) passOn(resp *http.Response) error {
	c.result.Status = resp.StatusCode
	writeAnswerHead(c.w, resp, c.id)
	dog := newWatchdog(c.route.StallTimeout, c.cancel)
	defer dog.pause()
	n, err := copyBody(c.w, resp.Body, dog, resp.ContentLength < 0)
	c.result.Bytes = n
	if err != nil {
		return abortError{c.abortCause(err)}
	}
	writeTrailers(c.w.Header(), resp.Trailer)
	return nil
}

// ServeHome serves keyed orders that other nodes send to this node as home.
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
		return resultcode.New(resultcode.BadRequest, "request lacks the headers between nodes")
	}
	c.route = route
	c.filter = filters.Context{Request: c.r, Route: route, RequestID: c.id, Customer: h.Get(HeaderCustomer), Key: h.Get(HeaderKey)}
	c.filter.Now = c.e.cfg.Clock()
	c.filter.Deadline = c.filter.Now + left
	filters.StripHeader(h)
	c.startDeadline()
	defer func() { c.cancel(nil) }()
	defer c.timer.Stop()
	c.body, err = readBody(c.w, c.r, route.MaxBodyBytes, route.MaxBodyBytes, c.e.cfg.BodyIdle)
	if err != nil {
		return err
	}
	if c.body.stream != nil {
		return resultcode.New(resultcode.BadRequest, "an order with a key needs a length").NotRun()
	}
	key := once.Key{Service: route.Service.Name, Customer: c.filter.Customer, Route: route.Name, Value: c.filter.Key}
	return c.runAtHome(key)
}

// runAtHome decides about the order from the records and runs it if allowed.
func (c *call) runAtHome(key once.Key) error {
	lease, d := c.e.cfg.Orders.Begin(c.ctx, key, c.payloadHash())
	switch d.Action {
	case once.Run:
		return c.runOrder(key, lease, d.Attempt)
	case once.Replay:
		c.replay(d.Answer)
		return nil
	default:
		c.proven = provesNotRun(d.Code)
		return resultcode.New(d.Code, "order refused by its home")
	}
}

// provesNotRun reports refusals that rest on complete records: no earlier
// request with the key and this payload has run.
func provesNotRun(c resultcode.Code) bool {
	return c == resultcode.ClassShed || c == resultcode.KeyFromFuture || c == resultcode.KeyReused
}

// qualify takes back the claim "not run" for an order with a key unless its
// home has proof: an earlier request with the same key may have run.
func (c *call) qualify(err error) error {
	keyed := c.r.Header.Get(filters.KeyHeader) != "" || c.filter.Key != ""
	if err == nil || c.proven || !keyed || c.route != nil && c.route.Idempotent || errors.As(err, new(abortError)) {
		return err
	}
	re := *asResult(err)
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

// runOrder sends the order to a target and records the outcome. The order goes
// on until its deadline when the caller leaves, so that a resend of the key
// finds the outcome.
func (c *call) runOrder(key once.Key, lease Lease, attempt uint32) error {
	c.detach()
	c.lease = &lease
	buffer := &answerBuffer{w: c.w}
	c.w = buffer
	err := c.send()
	c.w = buffer.w
	var aborted abortError
	switch {
	case err == nil:
		c.e.cfg.Orders.Finished(key, attempt, buffer.answer())
		buffer.flush()
		return nil
	case errors.As(err, &aborted):
		c.e.cfg.Orders.Unknown(key, attempt)
		if !buffer.passing {
			return resultcode.New(abortCode(aborted.err), "%w", aborted.err)
		}
	case asResult(err).Ran == resultcode.RanNo:
		c.proven = true
		c.e.cfg.Orders.NotRun(key, attempt)
	default:
		c.e.cfg.Orders.Unknown(key, attempt)
	}
	return err
}

// detach keeps the request running when the caller leaves.
func (c *call) detach() {
	c.timer.Stop()
	c.ctx, c.cancel = context.WithCancelCause(context.WithoutCancel(c.r.Context()))
	c.timer = time.AfterFunc(time.Until(c.deadline), c.expire)
}

func (c *call) replay(a *once.Answer) {
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
