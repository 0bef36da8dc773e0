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

// maxAttempts bounds the targets that one request is sent to.
const maxAttempts = 3

// Router matches requests to routes.
type Router interface {
	// Match returns the route of r, or an error with a result code.
	Match(r *http.Request) (*routing.Route, error)
	// Find returns a route by its service and name.
	Find(service, route string) (*routing.Route, error)
	// Version returns the version of the configuration in force.
	Version() int64
}

// RetryBudget bounds the load that retries add.
type RetryBudget interface {
	// Request counts a first attempt.
	Request(service string)
	// Retry takes one retry from the budget; false when it is used up.
	Retry(service string) bool
}

// Settler asks a host node to prove that a request was not run.
type Settler interface {
	// NotRun bars id at the node and reports whether it had never been admitted.
	NotRun(ctx context.Context, node fleet.Node, id string) bool
}

// EntryConfig configures an Entry.
type EntryConfig struct {
	Router   Router
	Balancer *loadbalancer.Balancer
	Clock    func() time.Duration // monotonic time
	Before   *filters.Chain       // filters that run before routing
	After    *filters.Chain       // filters that run after routing
	Budget   RetryBudget
	Settler  Settler
	Orders   OrderHomes // nil: keyed orders are handled like any other request
	Client   *upstream.Client
	Observer Observer
	BodyIdle time.Duration // longest gap between bytes of a caller's body
	Leaving  func() bool   // whether this node refuses new work; may be nil
}

// Entry serves callers.
type Entry struct {
	cfg EntryConfig
}

// NewEntry returns an Entry.
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
	lease    *Lease   // set for keyed orders run by their home
	tried    []string // instances that were tried
	attempts int
	filter   filters.Context
	// proven is set when the home's records prove that a keyed order was not run.
	proven bool
	// shortened is set when the caller asked for less time than the route
	// gives. A timeout is then no evidence against the target.
	shortened bool
	result    Result
}

// ServeHTTP implements http.Handler.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{e: e, w: w, r: r, start: time.Now()}
	err := c.serve()
	c.finish(err)
}

// finish writes a refusal if nothing was written, records the result, and
// aborts the connection when an answer broke off.
func (c *call) finish(err error) {
	err = c.qualify(err)
	var aborted abortError
	switch {
	case err == nil:
		c.result.Code = resultcode.Answered
	case errors.As(err, &aborted):
		c.result.Code = abortCode(aborted.err)
	default:
		c.result.Code = asResult(err).Code
		c.result.Ran = asResult(err).Ran
		c.dropBody()
		writeError(c.w, c.id, err)
	}
	c.record(err)
	if aborted.err != nil {
		abort(c.w)
	}
}

// abort closes the connection of an answer that broke off. Without the read
// deadline net/http would first wait for the rest of the request body, and a
// caller that waits for the answer would never learn that it ended.
func abort(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now())
	panic(http.ErrAbortHandler)
}

// dropBodyTime is how long a refused request may still send its body.
const dropBodyTime = 200 * time.Millisecond

// dropBody makes the connection close when the body of a refused request has
// not been read. The server reads the rest before the next request, without a
// limit of its own, so a caller that sends nothing would hold the connection.
func (c *call) dropBody() {
	if c.r.ContentLength == 0 || c.body != nil && c.body.stream == nil {
		return
	}
	ctl := http.NewResponseController(c.w)
	_ = ctl.EnableFullDuplex()
	_ = ctl.SetReadDeadline(time.Now().Add(dropBodyTime))
	c.w.Header().Set("Connection", "close")
}

// abortCode returns the result code of an answer that broke off.
func abortCode(err error) resultcode.Code {
	var failed writeFailed
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
	if c.e.cfg.Leaving != nil && c.e.cfg.Leaving() {
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

// run reads the body as far as needed and sends the request.
func (c *call) run() error {
	var err error
	if c.filter.Key != "" && c.e.cfg.Orders != nil {
		return c.serveKeyed()
	}
	c.body, err = readBody(c.w, c.r, replayBytes, c.route.MaxBodyBytes, c.e.cfg.BodyIdle)
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

// startDeadline starts the timer that ends the request.
func (c *call) startDeadline() {
	timeout := c.filter.Deadline - c.filter.Now
	c.shortened = timeout < c.route.Timeout
	c.deadline = c.start.Add(timeout)
	c.ctx, c.cancel = context.WithCancelCause(c.r.Context())
	c.timer = time.AfterFunc(time.Until(c.deadline), c.expire)
}

func (c *call) expire() { c.cancel(context.DeadlineExceeded) }

// send tries targets until one answers or no further attempt is allowed.
func (c *call) send() error {
	c.e.cfg.Budget.Request(c.route.Service.Name)
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
