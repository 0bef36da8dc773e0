package proxy

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"hyssopbridge/filters"
	"hyssopbridge/fleet"
	"hyssopbridge/loadbalancer"
	"hyssopbridge/resultcode"
	"hyssopbridge/routing"
	"hyssopbridge/upstream"
)

// maxAttempts is the maximum number of attempts per request.
const maxAttempts = 3

// Router matches requests to routes.
type Router interface {
	// Match returns the route of r, or an error with a result code.
	Match(r *http.Request) (*routing.Route, error)
	// Find returns the route of a service with the given name.
	Find(service, route string) (*routing.Route, error)
	// Version returns the version of the configuration that the routes are from.
	Version() int64
}

// RetryBudget bounds the load that retries add.
type RetryBudget interface {
	// RecordRequest counts the first attempt of a request.
	RecordRequest(service string)
	// AllowRetry charges a retry to the budget; false means that the budget is
	// used up.
	AllowRetry(service string) bool
}

// Settler settles the outcome of attempts whose response was lost.
type Settler interface {
	// NotRun asks a host node to bar an attempt ID. It reports whether the node
	// had not admitted the attempt before, which proves that it did not run.
	NotRun(ctx context.Context, node fleet.Node, id string) bool
}

// EntryConfig configures an Entry.
type EntryConfig struct {
	Router          Router
	Balancer        *loadbalancer.Balancer
	Clock           func() time.Duration // monotonic
	Before          *filters.Chain       // filters that run before routing
	After           *filters.Chain       // filters that run after routing
	Budget          RetryBudget
	Settler         Settler
	Idempotency     IdempotencyStore // nil: keyed requests are handled like any other
	Client          *upstream.Client
	Observer        Observer
	BodyIdleTimeout time.Duration // longest gap between two reads of a caller's body
	Draining        func() bool   // whether this node is draining; may be nil
}

// Entry handles callers' requests on the entry node.
type Entry struct {
	cfg EntryConfig
}

// NewEntry returns an Entry with the given configuration.
func NewEntry(cfg EntryConfig) *Entry { return &Entry{cfg: cfg} }

// call is the state of one caller's request.
type call struct {
	e        *Entry
	w        http.ResponseWriter
	r        *http.Request
	id       string
	route    *routing.Route
	start    time.Time
	deadline time.Time
	ctx      context.Context
	cancel   context.CancelCauseFunc
	timer    *time.Timer
	body     *requestBody
	lease    *Lease   // set on the home node of a keyed request
	tried    []string // IDs of the targets of the attempts so far
	attempts int
	filter   filters.Context
	// notRunProven is set when it is proven that neither this keyed request nor
	// an earlier one with the same key and payload ran.
	notRunProven bool
	// deadlineShortened is set when the caller asked for less time than the route
	// gives. A timeout then says nothing about the target.
	deadlineShortened bool
	result            Result
}

// ServeHTTP implements http.Handler.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{e: e, w: w, r: r, start: time.Now()}
	err := c.serve()
	c.finish(err)
}

// finish writes an error response unless the response has begun, records the
// result, and aborts the connection of an interrupted response.
func (c *call) finish(err error) {
	err = c.retractUnproven(err)
	var aborted abortError
	switch {
	case err == nil:
		c.result.Code = resultcode.Answered
	case errors.As(err, &aborted):
		c.result.Code = abortCode(aborted.err)
	default:
		c.result.Code = asResultError(err).Code
		c.result.Ran = asResultError(err).Ran
		c.closeAfterRefusal()
		writeError(c.w, c.id, err)
	}
	c.recordResult(err)
	if aborted.err != nil {
		abort(c.w)
	}
}

// abort closes the connection of an interrupted response. Without the read
// deadline net/http would first wait for the rest of the request body, and a
// caller that sends no more until the response arrives would wait forever.
func abort(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now())
	panic(http.ErrAbortHandler)
}

// refusedBodyTimeout is the time in which the caller of a refused request may
// still send the body.
const refusedBodyTimeout = 200 * time.Millisecond

// closeAfterRefusal makes the server close the connection of a refused request
// whose body was not read. net/http reads the rest of the body before the next
// request without a time limit, so a caller that sends nothing would keep the
// connection open.
func (c *call) closeAfterRefusal() {
	if c.r.ContentLength == 0 || c.body != nil && c.body.stream == nil {
		return
	}
	ctl := http.NewResponseController(c.w)
	_ = ctl.EnableFullDuplex()
	_ = ctl.SetReadDeadline(time.Now().Add(refusedBodyTimeout))
	c.w.Header().Set("Connection", "close")
}

// abortCode returns the result code of an interrupted response.
func abortCode(err error) resultcode.Code {
	var failed callerWriteError
	switch {
	case errors.As(err, &failed):
		return resultcode.CallerGone
	case errors.Is(err, errStalled):
		return resultcode.Stalled
	case errors.Is(err, context.DeadlineExceeded):
		return resultcode.Timeout
	case errors.Is(err, context.Canceled):
		return resultcode.CallerGone
	}
	return resultcode.Truncated
}

func (c *call) serve() error {
	if c.e.cfg.Draining != nil && c.e.cfg.Draining() {
		c.w.Header().Set("Connection", "close")
	}
	c.filter = filters.Context{Request: c.r, RemoteIP: remoteIP(c.r), Now: c.e.cfg.Clock()}
	err := c.e.cfg.Before.Request(&c.filter)
	c.id = c.filter.RequestID
	if err != nil {
		return err
	}
	defer c.e.cfg.Before.Done(&c.filter)
	if c.route, err = c.e.cfg.Router.Match(c.r); err != nil {
		return err
	}
	c.filter.Route = c.route
	if err := c.e.cfg.After.Request(&c.filter); err != nil {
		return err
	}
	defer c.e.cfg.After.Done(&c.filter)
	c.startDeadline()
	defer func() { c.cancel(nil) }()
	defer c.timer.Stop()
	return c.run()
}

// run passes a keyed request to its home node. It sends any other request to a
// target, after reading a small body into memory.
func (c *call) run() error {
	var err error
	if c.filter.Key != "" && c.e.cfg.Idempotency != nil {
		return c.serveKeyed()
	}
	c.body, err = readBody(c.w, c.r, maxBufferedBodyBytes, c.route.MaxBodyBytes, c.e.cfg.BodyIdleTimeout)
	if err != nil {
		return err
	}
	return c.send()
}

func remoteIP(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// startDeadline creates the context of the request and the timer that ends it at
// the deadline.
func (c *call) startDeadline() {
	timeout := c.filter.Deadline - c.filter.Now
	c.deadlineShortened = timeout < c.route.Timeout
	c.deadline = c.start.Add(timeout)
	c.ctx, c.cancel = context.WithCancelCause(c.r.Context())
	c.timer = time.AfterFunc(time.Until(c.deadline), c.expire)
}

func (c *call) expire() { c.cancel(context.DeadlineExceeded) }

// send makes attempts until a target responds or no retry is allowed.
func (c *call) send() error {
	c.e.cfg.Budget.RecordRequest(c.route.Service.Name)
	for {
		a, err := c.attempt()
		if err == nil {
			err = c.deliver(a)
			a.end(err)
			return err
		}
		if !c.mayRetry(err) {
			return err
		}
	}
}
