package mesh

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"hyssopbridge/config/dynamic"
	"hyssopbridge/resultcode"
)

// retryAfter is when a caller whose request was refused should come back. It
// exceeds the time in which a gray target returns or a slot becomes free.
const retryAfter = 300 * time.Millisecond

// entry serves the callers on this host.
type entry struct {
	placer   *placer
	headers  *Headers
	config   func() *dynamic.Config
	now      func() time.Duration // counts suspensions
	caller   func() string        // service of the target on this host
	stopping func() bool
	splitter *dynamic.Splitter
	calls    *calls
	log      *journal
	metrics  *metrics
}

// ServeHTTP implements http.Handler.
func (e *entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
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
	res := asResult(err)
	e.log.requestFailed(r.Header.Get(e.headers.RequestID), route, res, time.Since(start))
	e.writeFailure(w, r, res)
}

// abortError is a failure after the first byte of the answer.
type abortError struct{ err error }

// Error implements error.
func (e abortError) Error() string { return "answer aborted: " + e.err.Error() }

// Unwrap returns the cause.
func (e abortError) Unwrap() error { return e.err }

func asResult(err error) *resultcode.Error {
	var res *resultcode.Error
	if errors.As(err, &res) {
		return res
	}
	return &resultcode.Error{Code: resultcode.UnknownOutcome, Ran: resultcode.RanUnknown, Err: err}
}

func (e *entry) serve(w http.ResponseWriter, r *http.Request, start time.Time) (*dynamic.Route, error) {
	cfg := e.config()
	if cfg == nil {
		return nil, notRun(resultcode.NoConfiguration, "no configuration yet")
	}
	route := cfg.Match(r.Host, r.URL.EscapedPath())
	if route == nil {
		return nil, resultcode.New(resultcode.NoRoute, "version %d has no route for host %q and path %q", cfg.Version, r.Host, r.URL.Path)
	}
	q, err := e.read(w, r, route, cfg, start)
	if err != nil {
		return route, err
	}
	ctx, cancel := q.deadline.context(r.Context(), 0)
	defer cancel()
	service := e.splitter.Pick(route)
	if service != e.caller() {
		q.callOfRun, q.callOfRepeat = e.calls.add(service)
	}
	a, err := e.placer.serve(ctx, q, route, service, start)
	if err != nil {
		return route, err
	}
	defer a.close()
	if err := writeAnswer(w, r.Method, a); err != nil {
		return route, abortError{err}
	}
	return route, nil
}

func (e *entry) read(w http.ResponseWriter, r *http.Request, route *dynamic.Route, cfg *dynamic.Config, start time.Time) (*request, error) {
	id := r.Header.Get(e.headers.RequestID)
	if id == "" {
		return nil, notRun(resultcode.BadRequest, "request lacks %s", e.headers.RequestID)
	}
	if r.ContentLength > cfg.Limits.BodyBytes {
		return nil, notRun(resultcode.BodyTooLarge, "body of %d bytes, at most %d are accepted", r.ContentLength, cfg.Limits.BodyBytes)
	}
	left := route.Timeout
	if stated, ok := getMillis(r.Header, e.headers.DeadlineMs); ok {
		left = min(left, stated)
	}
	q, err := e.readBody(w, r, id, cfg, start.Add(left))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, notRun(resultcode.BodyTooLarge, "body in chunks, at most %d bytes are accepted", cfg.Limits.BodyBytes)
	case err != nil:
		return nil, notRun(resultcode.BodyStalled, "body of the request: %w", err)
	}
	q.idempotent = route.Idempotent
	q.deadline = deadlineIn(left-time.Since(start), e.now)
	q.header[http.CanonicalHeaderKey(e.headers.CallerService)] = []string{e.caller()}
	delete(q.header, http.CanonicalHeaderKey(e.headers.ExpectedTarget))
	return q, nil
}

// readBody reads a request whose caller may neither send more than the limit nor
// take longer than the request's own time.
func (e *entry) readBody(w http.ResponseWriter, r *http.Request, id string, cfg *dynamic.Config, until time.Time) (*request, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return readRequest(r, id)
	}
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(until); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return nil, err
	}
	r.Body = http.MaxBytesReader(w, r.Body, cfg.Limits.BodyBytes)
	q, err := readRequest(r, id)
	if err == nil && q.rest == nil {
		// net/http sets the deadline of the next request itself.
		_ = control.SetReadDeadline(time.Time{}) // the connection has ended if this fails
	}
	return q, err
}

// writeFailure answers with a status of this node's own. 503 promises that the
// request was not run; 502 and 504 promise nothing.
func (e *entry) writeFailure(w http.ResponseWriter, r *http.Request, res *resultcode.Error) {
	h := w.Header()
	status := res.Code.Status()
	switch {
	case status >= 400 && status < 500 && res.Ran == resultcode.RanNo && res.Code != resultcode.RateLimited:
	case res.Ran == resultcode.RanNo:
		status = http.StatusServiceUnavailable
		h[http.CanonicalHeaderKey(e.headers.RetryAfter)] = []string{strconv.FormatFloat(retryAfter.Seconds(), 'f', -1, 64)}
	case res.Code == resultcode.Timeout:
		status = http.StatusGatewayTimeout
	default:
		status = http.StatusBadGateway
	}
	h[headerResult] = []string{res.Code.String()}
	h[headerRan] = []string{res.Ran.String()}
	if id := r.Header.Get(e.headers.RequestID); id != "" {
		h[http.CanonicalHeaderKey(e.headers.RequestID)] = []string{id}
	}
	text := fmt.Sprintln(res.Code)
	h["Content-Type"] = []string{"text/plain; charset=utf-8"}
	h["Content-Length"] = []string{strconv.Itoa(len(text))}
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text)) // a caller that left does not need the text
}
