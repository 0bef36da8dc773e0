package proxy

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"hyssopbridge/filters"
	"hyssopbridge/fleet"
	"hyssopbridge/resultcode"
	"hyssopbridge/upstream"
)

// reuseAgeAtMostOnce is the longest idle time of a connection that carries work
// which must not repeat. A target that closes an older one at the wrong moment
// would leave the outcome unknown.
const reuseAgeAtMostOnce = 500 * time.Millisecond

// Target is an instance beside this node.
type Target struct {
	fleet.Instance
	Addr string // IP:port, normally loopback
}

// Targets finds the instances beside this node.
type Targets interface {
	// Lookup returns the instance with the given ID.
	Lookup(id string) (Target, bool)
}

// Admission gives requests a slot of an instance.
type Admission interface {
	// Acquire waits for a slot. It returns a *resultcode.Error that states
	// "not run" when it refuses. release must be called once.
	Acquire(ctx context.Context, t Target, class fleet.Class, deadline time.Time) (release func(), err error)
}

// Admitted remembers the IDs of requests that may have reached a target.
type Admitted interface {
	// Admit records an attempt that is about to be sent. An error refuses it.
	Admit(id string) error
	// Withdraw states that nothing of an admitted attempt was sent.
	Withdraw(id string)
}

// Fence refuses keyed orders whose lease is no longer valid.
type Fence interface {
	// Check returns an error unless an order of the given epoch may start now.
	// left is what remains of the home's lease.
	Check(service string, epoch int64, attempt string, left time.Duration) error
}

// HostConfig configures a Host.
type HostConfig struct {
	Targets   Targets
	Admission Admission
	Admitted  Admitted
	Fence     Fence
	Client    *upstream.Client
	Leaving   func() bool // whether this node refuses new work; may be nil
	// Allowed returns an error when the configuration no longer lets the
	// service serve, as after a withdrawal that the entry node does not know.
	Allowed func(service string) error
}

// Host serves requests that other nodes send for targets beside this node.
type Host struct {
	cfg HostConfig
}

// NewHost returns a Host.
func NewHost(cfg HostConfig) *Host { return &Host{cfg: cfg} }

// hop is what the entry node attached to a request.
type hop struct {
	id          string
	target      string
	incarnation int64
	class       fleet.Class
	attempt     string // empty on idempotent routes
	download    bool
	deadline    time.Duration
	stall       time.Duration
	epoch       int64
	lease       time.Duration // remaining validity of the home's lease; 0 for orders without a key
	received    time.Time
}

func parseHop(h http.Header, now time.Time) (hop, error) {
	p := hop{id: h.Get(HeaderRequestID), received: now}
	target, incarnation, _ := strings.Cut(h.Get(HeaderTarget), ";")
	p.target = target
	var err error
	if p.incarnation, err = strconv.ParseInt(incarnation, 10, 64); err != nil || p.id == "" || target == "" {
		return p, resultcode.New(resultcode.BadRequest, "request lacks the headers between nodes")
	}
	if p.class, err = fleet.ParseClass(h.Get(HeaderClass)); err != nil {
		return p, resultcode.New(resultcode.BadRequest, "%w", err)
	}
	p.download = p.class == fleet.Download
	p.attempt = h.Get(HeaderAttempt)
	p.deadline = millis(h, HeaderDeadline)
	p.stall = millis(h, HeaderStall)
	if p.deadline <= 0 {
		return p, resultcode.New(resultcode.DeadlineTooShort, "no time left")
	}
	if epoch := h.Get(HeaderEpoch); epoch != "" {
		p.lease = millis(h, HeaderLease)
		if p.epoch, err = strconv.ParseInt(epoch, 10, 64); err != nil || p.lease <= 0 {
			return p, resultcode.New(resultcode.NoLease, "bad epoch or lease")
		}
	}
	return p, nil
}

// ServeHTTP implements http.Handler.
func (s *Host) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p, err := parseHop(r.Header, time.Now())
	if err == nil {
		err = s.serve(w, r, p)
	}
	if err == nil {
		return
	}
	var aborted abortError
	if errors.As(err, &aborted) {
		abort(w)
	}
	writeError(w, p.id, err)
}

// abortError is a failure after the answer's header section was passed on.
type abortError struct{ err error }

func (e abortError) Error() string { return "answer aborted: " + e.err.Error() }
func (e abortError) Unwrap() error { return e.err }

func (s *Host) serve(w http.ResponseWriter, r *http.Request, p hop) error {
	target, err := s.find(p)
	if err != nil {
		return err
	}
	deadline := p.received.Add(p.deadline)
	waitCtx, stopWait := context.WithDeadline(r.Context(), deadline)
	release, err := s.cfg.Admission.Acquire(waitCtx, target, p.class, deadline)
	stopWait()
	if err != nil {
		return err
	}
	defer release()
	if err := s.mayStart(p, target); err != nil {
		return err
	}
	return s.forward(w, r, p, target, deadline)
}

func (s *Host) find(p hop) (Target, error) {
	target, ok := s.cfg.Targets.Lookup(p.target)
	if !ok || target.Incarnation != p.incarnation || target.State == fleet.Down {
		return target, resultcode.New(resultcode.NoTarget, "instance %s is not announced here", p.target)
	}
	if target.State == fleet.Draining {
		return target, resultcode.New(resultcode.TargetDraining, "instance %s is leaving", p.target)
	}
	if s.cfg.Allowed != nil {
		if err := s.cfg.Allowed(target.Service); err != nil {
			return target, err
		}
	}
	if s.cfg.Leaving != nil && s.cfg.Leaving() {
		return target, resultcode.New(resultcode.NodeDraining, "node is leaving")
	}
	return target, nil
}

// mayStart makes the last checks before the request is sent to the target: the
// instance may have begun to leave while the request waited for its slot, the
// lease of a keyed order may have lapsed, and the ID may have been barred.
func (s *Host) mayStart(p hop, target Target) error {
	if _, err := s.find(p); err != nil {
		return err
	}
	if p.epoch != 0 {
		if time.Since(p.received) >= p.lease {
			return resultcode.New(resultcode.NoLease, "lease of the home node has lapsed")
		}
		if err := s.cfg.Fence.Check(target.Service, p.epoch, p.attempt, p.lease-time.Since(p.received)); err != nil {
			return resultcode.New(resultcode.NoLease, "%w", err)
		}
	}
	if p.attempt == "" {
		return nil
	}
	return s.cfg.Admitted.Admit(p.attempt)
}

// forward sends the request to the target and copies the answer back.
func (s *Host) forward(w http.ResponseWriter, r *http.Request, p hop, target Target, deadline time.Time) error {
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	timer := time.AfterFunc(time.Until(deadline), func() { cancel(context.DeadlineExceeded) })
	defer timer.Stop()
	_ = http.NewResponseController(w).EnableFullDuplex()
	out, opt := s.outgoing(r, p, deadline)
	resp, err := s.cfg.Client.Do(ctx, target.Addr, out, opt)
	if err != nil {
		return s.notAnswered(p, exchangeError(ctx, err, resultcode.NoTarget, resultcode.TargetError))
	}
	defer resp.Body.Close()
	if err := checkAnswer(resp, p.id); err != nil {
		return err
	}
	if p.download {
		timer.Stop()
	}
	s.writeHead(w, resp, p)
	dog := newWatchdog(p.stall, cancel)
	defer dog.pause()
	if _, err := copyBody(w, resp.Body, dog, true); err != nil {
		return abortError{err}
	}
	writeTrailers(w.Header(), resp.Trailer)
	return nil
}

// notAnswered withdraws the admission of a request of which nothing was sent.
func (s *Host) notAnswered(p hop, err error) error {
	if p.attempt != "" && asResult(err).Ran == resultcode.RanNo {
		s.cfg.Admitted.Withdraw(p.attempt)
	}
	return err
}

func (s *Host) outgoing(r *http.Request, p hop, deadline time.Time) (*http.Request, upstream.Options) {
	out := outgoingRequest(r)
	out.Body, out.ContentLength = r.Body, r.ContentLength
	if r.ContentLength == 0 {
		out.Body = http.NoBody
	}
	if r.ContentLength < 0 {
		out.TransferEncoding = []string{"chunked"}
	}
	out.Trailer = r.Trailer
	out.Header = r.Header
	filters.StripHeader(out.Header)
	delete(out.Header, "Expect")
	out.Header[RequestIDHeader] = []string{p.id}
	left := time.Until(deadline)
	if p.lease > 0 {
		left = min(left, p.lease-time.Since(p.received))
	}
	setMillis(out.Header, TimeoutHeader, left)
	opt := upstream.Options{Stream: true}
	if p.attempt != "" {
		opt.MaxIdleAge = reuseAgeAtMostOnce
	}
	return out, opt
}

// outgoingRequest returns a request with the method, URL and host of r.
func outgoingRequest(r *http.Request) *http.Request {
	u := *r.URL
	u.Scheme, u.Host = "http", r.Host
	return &http.Request{
		Method: r.Method, URL: &u, Host: r.Host,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
}

// checkAnswer drops answers that belong to another request and answers whose
// end cannot be told from a broken connection.
func checkAnswer(resp *http.Response, id string) error {
	if echoed := resp.Header.Get(RequestIDHeader); echoed != "" && echoed != id {
		return resultcode.New(resultcode.AnswerMismatch, "answer carries request ID %q, want %q", echoed, id)
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody {
		return resultcode.New(resultcode.Truncated, "answer has neither a length nor chunks, so its end is not known")
	}
	return nil
}

func (s *Host) writeHead(w http.ResponseWriter, resp *http.Response, p hop) {
	h := w.Header()
	copyHeader(h, resp.Header)
	filters.StripHeader(h)
	announceTrailers(h, resp.Trailer)
	h[HeaderRequestID] = []string{p.id}
	h[HeaderTarget] = []string{p.target}
	if resp.ContentLength >= 0 && h.Get("Content-Length") == "" && resp.Request != nil && resp.Request.Method != http.MethodHead {
		h["Content-Length"] = []string{strconv.FormatInt(resp.ContentLength, 10)}
	}
	w.WriteHeader(resp.StatusCode)
	flushStream(w, resp)
}

func announceTrailers(h, trailer http.Header) {
	for name := range trailer {
		h.Add("Trailer", name)
	}
}

// exchangeError turns a failed exchange into a result: notSent when no byte was
// written, else sent, or the timeout or cancellation that ended it.
func exchangeError(ctx context.Context, err error, notSent, sent resultcode.Code) error {
	var ue *upstream.Error
	if errors.As(err, &ue) && ue.Stage == upstream.NotSent {
		return resultcode.New(notSent, "%w", err).NotRun()
	}
	switch cause := context.Cause(ctx); {
	case errors.Is(err, errBodyIdle):
		return resultcode.New(resultcode.BodyStalled, "%w", err)
	case errors.Is(cause, context.DeadlineExceeded):
		return resultcode.New(resultcode.Timeout, "%w", err)
	case errors.Is(cause, errStalled):
		return resultcode.New(resultcode.Stalled, "%w", err)
	case errors.Is(cause, context.Canceled):
		return resultcode.New(resultcode.CallerGone, "%w", err)
	}
	return resultcode.New(sent, "%w", err)
}
