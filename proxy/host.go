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

// maxIdleAgeNonIdempotent is the longest idle time of a connection that is
// reused for a non-idempotent request. A target may close a connection that was
// idle for longer just as the request is sent, which leaves the outcome unknown.
const maxIdleAgeNonIdempotent = 500 * time.Millisecond

// Target is a target on this node's host.
type Target struct {
	fleet.Instance
	Addr string // IP:port, normally loopback
}

// Targets finds the targets on this node's host.
type Targets interface {
	// Lookup returns the target with the given ID.
	Lookup(id string) (Target, bool)
}

// SlotPool hands out the slots of targets.
type SlotPool interface {
	// Acquire waits for a slot of t. On refusal it returns a *resultcode.Error
	// that states "not run"; otherwise release must be called exactly once.
	Acquire(ctx context.Context, t Target, class fleet.Class, deadline time.Time) (release func(), err error)
}

// AdmissionTable records the IDs of attempts that may have reached a target.
type AdmissionTable interface {
	// Admit records an attempt before it is sent. On an error it must not be sent.
	Admit(id string) error
	// Withdraw reports that no byte of an admitted attempt was sent.
	Withdraw(id string)
}

// Fence refuses keyed requests whose home node no longer holds the lease.
type Fence interface {
	// Check returns an error unless a request from the home node of the given
	// epoch may start now. left is the remaining time of that node's lease.
	Check(service string, epoch int64, attempt string, left time.Duration) error
}

// HostConfig configures a Host.
type HostConfig struct {
	Targets        Targets
	SlotPool       SlotPool
	AdmissionTable AdmissionTable
	Fence          Fence
	Client         *upstream.Client
	Draining       func() bool // whether this node is draining; may be nil
	// CheckService returns an error if the configuration no longer allows the
	// service, for example after a withdrawal that the entry node does not know
	// of yet. It may be nil.
	CheckService func(service string) error
}

// Host handles requests that entry nodes send to targets on this node's host.
type Host struct {
	cfg HostConfig
}

// NewHost returns a Host with the given configuration.
func NewHost(cfg HostConfig) *Host { return &Host{cfg: cfg} }

// peerHeaders holds the headers that the entry node added to a request.
type peerHeaders struct {
	id           string
	target       string
	incarnation  int64
	class        fleet.Class
	attemptID    string // empty on idempotent routes
	download     bool
	timeout      time.Duration
	stallTimeout time.Duration
	epoch        int64
	lease        time.Duration // remaining time of the home node's lease; 0 without an idempotency key
	received     time.Time
}

func parsePeerHeaders(h http.Header, now time.Time) (peerHeaders, error) {
	p := peerHeaders{id: h.Get(HeaderRequestID), received: now}
	target, incarnation, _ := strings.Cut(h.Get(HeaderTarget), ";")
	p.target = target
	var err error
	if p.incarnation, err = strconv.ParseInt(incarnation, 10, 64); err != nil || p.id == "" || target == "" {
		return p, resultcode.New(resultcode.BadRequest, "missing or malformed %s or %s header", HeaderRequestID, HeaderTarget)
	}
	if p.class, err = fleet.ParseClass(h.Get(HeaderClass)); err != nil {
		return p, resultcode.New(resultcode.BadRequest, "%w", err)
	}
	p.download = p.class == fleet.Download
	p.attemptID = h.Get(HeaderAttempt)
	p.timeout = millis(h, HeaderDeadline)
	p.stallTimeout = millis(h, HeaderStall)
	if p.timeout <= 0 {
		return p, resultcode.New(resultcode.DeadlineTooShort, "no positive %s header: no time is left", HeaderDeadline)
	}
	if epoch := h.Get(HeaderEpoch); epoch != "" {
		p.lease = millis(h, HeaderLease)
		if p.epoch, err = strconv.ParseInt(epoch, 10, 64); err != nil || p.lease <= 0 {
			return p, resultcode.New(resultcode.NoLease, "malformed epoch %q or lease %q", epoch, h.Get(HeaderLease))
		}
	}
	return p, nil
}

// ServeHTTP implements http.Handler.
func (s *Host) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p, err := parsePeerHeaders(r.Header, time.Now())
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

// abortError is a failure after the header section of the response was passed on.
type abortError struct{ err error }

func (e abortError) Error() string { return "response aborted: " + e.err.Error() }
func (e abortError) Unwrap() error { return e.err }

func (s *Host) serve(w http.ResponseWriter, r *http.Request, p peerHeaders) error {
	target, err := s.findTarget(p)
	if err != nil {
		return err
	}
	deadline := p.received.Add(p.timeout)
	waitCtx, stopWait := context.WithDeadline(r.Context(), deadline)
	release, err := s.cfg.SlotPool.Acquire(waitCtx, target, p.class, deadline)
	stopWait()
	if err != nil {
		return err
	}
	defer release()
	if err := s.checkStart(p, target); err != nil {
		return err
	}
	return s.forward(w, r, p, target, deadline)
}

func (s *Host) findTarget(p peerHeaders) (Target, error) {
	target, ok := s.cfg.Targets.Lookup(p.target)
	if !ok || target.Incarnation != p.incarnation || target.State == fleet.Down {
		return target, resultcode.New(resultcode.NoTarget, "target %s is down or not announced here, or has another incarnation", p.target)
	}
	if target.State == fleet.Draining {
		return target, resultcode.New(resultcode.TargetDraining, "target %s is draining", p.target)
	}
	if s.cfg.CheckService != nil {
		if err := s.cfg.CheckService(target.Service); err != nil {
			return target, err
		}
	}
	if s.cfg.Draining != nil && s.cfg.Draining() {
		return target, resultcode.New(resultcode.NodeDraining, "the host node is draining")
	}
	return target, nil
}

// checkStart makes the last checks before the request is sent to the target.
// While the request waited for its slot, the target may have begun to drain, the
// lease of a keyed request may have expired, and its ID may have been barred.
func (s *Host) checkStart(p peerHeaders, target Target) error {
	if _, err := s.findTarget(p); err != nil {
		return err
	}
	if p.epoch != 0 {
		if time.Since(p.received) >= p.lease {
			return resultcode.New(resultcode.NoLease, "the lease of the home node has expired")
		}
		if err := s.cfg.Fence.Check(target.Service, p.epoch, p.attemptID, p.lease-time.Since(p.received)); err != nil {
			return resultcode.New(resultcode.NoLease, "%w", err)
		}
	}
	if p.attemptID == "" {
		return nil
	}
	return s.cfg.AdmissionTable.Admit(p.attemptID)
}

// forward sends the request to the target and copies the response back.
func (s *Host) forward(w http.ResponseWriter, r *http.Request, p peerHeaders, target Target, deadline time.Time) error {
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	timer := time.AfterFunc(time.Until(deadline), func() { cancel(context.DeadlineExceeded) })
	defer timer.Stop()
	_ = http.NewResponseController(w).EnableFullDuplex()
	out, opt := s.outgoing(r, p, deadline)
	resp, err := s.cfg.Client.Do(ctx, target.Addr, out, opt)
	if err != nil {
		return s.withdrawIfNotSent(p, exchangeError(ctx, err, resultcode.NoTarget, resultcode.TargetError))
	}
	defer resp.Body.Close()
	if err := checkResponse(resp, p.id); err != nil {
		return err
	}
	if p.download {
		timer.Stop()
	}
	s.writeHead(w, resp, p)
	wd := newWatchdog(p.stallTimeout, cancel)
	defer wd.stop()
	if _, err := copyBody(w, resp.Body, wd, true); err != nil {
		return abortError{err}
	}
	writeTrailers(w.Header(), resp.Trailer)
	return nil
}

// withdrawIfNotSent withdraws the admission of an attempt if err states that it
// did not run, and returns err.
func (s *Host) withdrawIfNotSent(p peerHeaders, err error) error {
	if p.attemptID != "" && asResultError(err).Ran == resultcode.RanNo {
		s.cfg.AdmissionTable.Withdraw(p.attemptID)
	}
	return err
}

func (s *Host) outgoing(r *http.Request, p peerHeaders, deadline time.Time) (*http.Request, upstream.Options) {
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
	if p.attemptID != "" {
		opt.MaxIdleAge = maxIdleAgeNonIdempotent
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

// checkResponse refuses a response that belongs to another request, and one
// whose end cannot be distinguished from a broken connection.
func checkResponse(resp *http.Response, id string) error {
	if echoed := resp.Header.Get(RequestIDHeader); echoed != "" && echoed != id {
		return resultcode.New(resultcode.AnswerMismatch, "response carries request ID %q, want %q", echoed, id)
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody {
		return resultcode.New(resultcode.Truncated, "response has neither a Content-Length nor chunked encoding, so its end is unknown")
	}
	return nil
}

func (s *Host) writeHead(w http.ResponseWriter, resp *http.Response, p peerHeaders) {
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

// exchangeError maps a failed exchange to a result code: notSent if no byte was
// sent, else that of the timeout or cancellation that ended it, else sent.
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
