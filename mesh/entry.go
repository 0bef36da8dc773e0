package mesh

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"hyssopbridge/config/dynamic"
	"hyssopbridge/limits"
	"hyssopbridge/resultcode"
)

// entryNode serves the callers on this host.
type entryNode struct {
	dispatcher    *dispatcher
	headers       *Headers
	config        func() *dynamic.Config
	now           func() time.Duration // includes suspensions of the machine
	localService  func() string        // service of the target on this host
	stopping      func() bool
	shutdown      *shutdown
	behind        func(version int64) bool // whether another node has a newer configuration
	versions      *versionCheck
	quotas        *quotas
	confirmed     func() bool // false after a suspension, until another node has confirmed the version
	splitter      *dynamic.Splitter
	resources     *resources
	outboundCalls *outboundCalls
	log           *eventLog
	metrics       *metrics
}

// ServeHTTP implements http.Handler.
func (e *entryNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	w, restore := answerEarly(w, r)
	defer restore()
	w.Header()["Date"] = nil
	if e.stopping() {
		w.Header().Set("Connection", "close")
	}
	route, err := e.serve(w, r, start)
	e.metrics.request(route, err, time.Since(start))
	if err == nil {
		return
	}
	var aborted abortError
	if errors.As(err, &aborted) {
		e.log.requestFailed(r.Header.Get(e.headers.RequestID), route, err, time.Since(start))
		panic(http.ErrAbortHandler)
	}
	resultErr := asResultError(err)
	e.log.requestFailed(r.Header.Get(e.headers.RequestID), route, resultErr, time.Since(start))
	e.writeError(w, r, resultErr, retryAfterOf(err))
}

// abortError is a failure after the first byte of the response was sent.
type abortError struct{ err error }

// Error implements error.
func (e abortError) Error() string { return "response aborted: " + e.err.Error() }

// Unwrap returns the cause.
func (e abortError) Unwrap() error { return e.err }

func asResultError(err error) *resultcode.Error {
	var resultErr *resultcode.Error
	if errors.As(err, &resultErr) {
		return resultErr
	}
	return &resultcode.Error{Code: resultcode.UnknownOutcome, Ran: resultcode.RanUnknown, Err: err}
}

func (e *entryNode) serve(w http.ResponseWriter, r *http.Request, start time.Time) (*dynamic.Route, error) {
	cfg := e.config()
	if cfg == nil {
		return nil, notRun(resultcode.NoConfiguration, "no configuration received yet")
	}
	if !e.confirmed() {
		return nil, notRun(resultcode.StaleConfiguration, "process was suspended, and no other node has confirmed version %d since", cfg.Version)
	}
	route := cfg.Match(r.Host, r.URL.EscapedPath())
	if route == nil && e.behind(cfg.Version) {
		return nil, notRun(resultcode.StaleConfiguration, "version %d has no route for host %q and path %q, and another node has a newer version", cfg.Version, r.Host, r.URL.Path)
	}
	if route == nil {
		return nil, resultcode.New(resultcode.NoRoute, "version %d has no route for host %q and path %q", cfg.Version, r.Host, r.URL.Path)
	}
	customer, err := e.identify(r, cfg, route)
	if err != nil {
		if e.config().Version != cfg.Version {
			return e.serve(w, r, start) // by the version that came into force meanwhile
		}
		return route, err
	}
	charged, err := e.quotas.take(r.Context(), customer, cfg.Version, route.Objective)
	if err != nil {
		return route, err
	}
	err = e.serveCustomer(w, r, route, cfg, customer, start)
	if err != nil && asResultError(err).Ran == resultcode.RanNo {
		charged.refund()
	}
	return route, err
}

// serveCustomer serves a request within the quota of its customer.
func (e *entryNode) serveCustomer(w http.ResponseWriter, r *http.Request, route *dynamic.Route, cfg *dynamic.Config, customer *dynamic.Customer, start time.Time) error {
	if e.resources.outgoingFull() {
		return notRun(resultcode.ConnectionLimit, "the node's connections to targets and nodes are in use")
	}
	account := e.resources.openAccount()
	defer account.Close()
	q, err := e.parseRequest(w, r, route, cfg, start, account)
	if err != nil {
		return err
	}
	e.setCustomer(r, q, customer, cfg.Version)
	ctx, cancel := q.deadline.context(r.Context(), 0)
	defer cancel()
	service := e.splitter.Pick(route)
	switch {
	case service == e.localService():
	case customer != nil:
		e.outboundCalls.recordOfClient() // calls of targets carry no key
	default:
		q.fromRunProb, q.fromRetryProb = e.outboundCalls.record(route.Name, service)
	}
	resp, err := e.dispatcher.serve(ctx, q, route, service, start)
	if q.fromRunProb > likelyNested && (err != nil || isErrorResponse(resp)) {
		e.outboundCalls.recordFailure()
	}
	if err != nil {
		return refusedError{err, e.dispatcher.retryAfter(route, service, err)}
	}
	defer resp.close()
	if err := writeResponse(w, r, resp); err != nil {
		return abortError{err}
	}
	return nil
}

func (e *entryNode) parseRequest(w http.ResponseWriter, r *http.Request, route *dynamic.Route, cfg *dynamic.Config, start time.Time, account *limits.MemoryAccount) (*request, error) {
	id := r.Header.Get(e.headers.RequestID)
	if id == "" {
		return nil, notRun(resultcode.BadRequest, "request lacks the header field %s", e.headers.RequestID)
	}
	if r.ContentLength > cfg.Limits.BodyBytes {
		return nil, notRun(resultcode.BodyTooLarge, "body of %d bytes exceeds the limit of %d bytes", r.ContentLength, cfg.Limits.BodyBytes)
	}
	left := route.Timeout
	if stated, ok := getMillis(r.Header, e.headers.DeadlineMs); ok {
		left = min(left, stated)
	}
	readStart := time.Now()
	q, err := e.readBody(w, r, id, cfg, start.Add(left), account)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, notRun(resultcode.BodyTooLarge, "chunked body exceeds the limit of %d bytes", cfg.Limits.BodyBytes)
	case isMemoryLimit(err) || err != nil && account.Revoked():
		return nil, e.resources.refuse(err)
	case err != nil && e.shutdown.errBodyCut(err) != nil:
		return nil, e.shutdown.errBodyCut(err)
	case err != nil:
		return nil, notRun(resultcode.BodyStalled, "read the request body: %w", err)
	}
	q.idempotent, q.firstPartTime = route.Idempotent, time.Since(readStart)
	q.deadline = deadlineIn(left-time.Since(start), e.now)
	q.header[http.CanonicalHeaderKey(e.headers.CallerService)] = []string{e.localService()}
	delete(q.header, http.CanonicalHeaderKey(e.headers.ExpectedTarget))
	return q, nil
}

// readBody reads a request whose caller may neither send more than the limit
// nor take longer than the request's timeout.
func (e *entryNode) readBody(w http.ResponseWriter, r *http.Request, id string, cfg *dynamic.Config, until time.Time, account *limits.MemoryAccount) (*request, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return readRequest(r, id, account)
	}
	control := http.NewResponseController(w)
	stopBound, err := e.shutdown.boundRead(control, until)
	if err != nil {
		return nil, err
	}
	// Given w, the reader would set a field of the response. It is read by another
	// goroutine while the response of a target that responds early is written.
	r.Body = http.MaxBytesReader(nil, r.Body, cfg.Limits.BodyBytes)
	e.resources.monitor(r, account)
	q, err := readRequest(r, id, account)
	stopBound()
	if err == nil && q.rest == nil {
		// net/http sets the read deadline of the next request itself.
		_ = control.SetReadDeadline(time.Time{}) // the connection is closed if this fails
	}
	return q, err
}

// writeError responds with an error of this node. Status 429 and 503 guarantee
// that the request was not run; 502 and 504 leave open whether it was.
func (e *entryNode) writeError(w http.ResponseWriter, r *http.Request, resultErr *resultcode.Error, retryAfter time.Duration) {
	h := w.Header()
	status := resultErr.Code.Status()
	switch {
	case status >= 400 && status < 500 && resultErr.Ran == resultcode.RanNo && resultErr.Code != resultcode.RateLimited:
	case resultErr.Ran == resultcode.RanNo:
		if resultErr.Code != resultcode.RateLimited {
			status = http.StatusServiceUnavailable
		}
		h[http.CanonicalHeaderKey(e.headers.RetryAfter)] = []string{strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64)}
	case resultErr.Code == resultcode.Timeout:
		status = http.StatusGatewayTimeout
	default:
		status = http.StatusBadGateway
	}
	h[headerResult] = []string{resultErr.Code.String()}
	h[headerRan] = []string{resultErr.Ran.String()}
	if id := r.Header.Get(e.headers.RequestID); id != "" {
		h[http.CanonicalHeaderKey(e.headers.RequestID)] = []string{id}
	}
	if resultErr.Code == resultcode.BodyTooLarge {
		h.Set("Connection", "close") // the caller may send far more
	}
	text := fmt.Sprintln(resultErr.Code)
	h["Content-Type"] = []string{"text/plain; charset=utf-8"}
	h["Content-Length"] = []string{strconv.Itoa(len(text))}
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text)) // a caller that disconnected does not need the text
}
