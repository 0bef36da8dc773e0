package mesh

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"hyssopbridge/admission"
	"hyssopbridge/limits"
	"hyssopbridge/resultcode"
	"hyssopbridge/upstream"
)

// reservationTTL is how long the ID of a reservation is remembered, and how much
// longer than until the deadline of the request that used it. It must exceed the
// time for which a reservation can be used.
const reservationTTL = 2 * time.Second

// hostNode runs requests at the target beside this node.
type hostNode struct {
	gate          *admission.Gate
	shutdown      *shutdown
	client        *upstream.Client
	headers       *Headers
	refused       *refusedRequests
	log           *eventLog
	metrics       *metrics
	outboundCalls *outboundCalls
	budget        *budget
	resources     *resources
	now           func() time.Duration // includes suspensions of the machine

	// target is locked for reading from the check of a reservation until the
	// address has been read, so that a request is not sent to the address of
	// another target than the one that granted the reservation.
	target     sync.RWMutex
	targetAddr string // guarded by target

	mu           sync.Mutex
	reservations map[string]heldReservation
}

type heldReservation struct {
	reservation *admission.Reservation
	req         admission.Request
	used        bool // a request has used the reservation
	// neededUntil is when the ID of a used reservation may be forgotten: a copy of
	// the request that arrives later would be reported as not run.
	neededUntil time.Duration
}

// reserve reserves a slot for a request of this or another node. onQueued is as
// for Gate.ReserveInLine.
func (h *hostNode) reserve(ctx context.Context, r admission.Request, onQueued func()) (*admission.Reservation, admission.Reason) {
	reserved, reason := h.budget.reserveInLine(ctx, h.gate, r, onQueued)
	h.metrics.reservation(reason)
	return reserved, reason
}

// status returns the status that is sent to other nodes.
func (h *hostNode) status() admission.Status {
	s := h.gate.Status()
	h.budget.describe(&s)
	return s
}

// setTarget updates the target beside this node.
func (h *hostNode) setTarget(t admission.Target, addr string, restarted bool) {
	h.target.Lock()
	defer h.target.Unlock()
	h.targetAddr = addr
	if restarted {
		h.gate.Restart()
	}
	h.gate.SetTarget(t)
}

// claim uses the reservation and returns the address of the target that granted
// it.
func (h *hostNode) claim(r *admission.Reservation) (admission.Reason, string) {
	h.target.RLock()
	defer h.target.RUnlock()
	return r.Claim(), h.targetAddr
}

// run sends a request under a reservation.
func (h *hostNode) run(ctx context.Context, reserved *admission.Reservation, r admission.Request, q *request) (*response, *resultcode.Error) {
	if !r.Idempotent && h.refused.has(refusalKey(r.Target, q.id)) {
		// A late copy of the refusal may arrive in place of the response.
		reserved.Release(admission.Neutral)
		return nil, notRun(resultcode.ShedByTarget, "the target refused the request before")
	}
	reason, addr := h.claim(reserved)
	if reason != admission.None {
		return nil, notRun(resultcode.TargetDraining, "reservation can no longer be used: %s", reason)
	}
	if q.deadline.left() <= 0 {
		reserved.Release(admission.Neutral)
		return nil, notRun(resultcode.DeadlineTooShort, "deadline passed before the request was sent")
	}
	atTarget, ok := h.resources.acquireAtTarget(q)
	if !ok {
		reserved.Release(admission.Neutral)
		return nil, h.resources.refuse(errTargetMemory)
	}
	ctx, cancel := q.deadline.context(ctx, 0)
	x := exchange{
		client: h.client, headers: h.headers, metrics: h.metrics, refused: h.refused, resources: h.resources,
		addr: addr, targetID: r.Target, callerService: q.header.Get(h.headers.CallerService),
	}
	resent := h.refused.has(q.id)
	var trace upstream.Trace
	start := time.Now()
	run := h.outboundCalls.beginRun(runSource(r.Idempotent), r.Retry, r.OverdueAfter)
	resp, outcome, err := x.do(ctx, q, &trace)
	atTarget.Close()
	if isErrorResponse(resp) && h.outboundCalls.explainFailure() {
		outcome = admission.CallFailed
	}
	h.outboundCalls.endRun(run, outcome)
	h.metrics.target(outcome, time.Since(start))
	if err != nil {
		h.log.targetFailed(q.id, r, targetFailure{outcome, err, time.Since(start), reserved.Trial(), resent, sending{q.reservationID, trace}})
	}
	if resp == nil || resp.rest == nil {
		reserved.Release(outcome)
		cancel()
		return resp, err
	}
	reserved.ResponseStarted()
	resp.rest = &releasingBody{ReadCloser: resp.rest, ctx: ctx, request: q.rest, release: func(e admission.Outcome) { reserved.Release(e); cancel() }}
	return resp, err
}

// errTargetMemory is why a request is not sent to a target that has enough bytes
// in flight.
var errTargetMemory = errors.New("the bodies in flight to the target fill its share of the host's memory")

// isErrorResponse reports whether the target responded with a server error.
func isErrorResponse(resp *response) bool {
	return resp != nil && resp.status >= http.StatusInternalServerError
}

// releasingBody releases the slot when a streamed response ends.
type releasingBody struct {
	io.ReadCloser
	ctx     context.Context
	request *bodyRest // remainder of the request's body, which may still be sent
	release func(admission.Outcome)
	ended   bool
}

// Read implements io.Reader.
func (b *releasingBody) Read(p []byte) (int, error) {
	// A request that ended before this read was ended by a slow reader of the
	// response, or by the caller.
	tooLate := b.ctx.Err() != nil
	n, err := b.ReadCloser.Read(p)
	switch {
	case err != nil && (tooLate || b.request.err() != nil):
		b.end(admission.Neutral)
	case err != nil:
		b.end(outcomeOfStreamEnd(err))
	}
	return n, err
}

// Close implements io.Closer.
func (b *releasingBody) Close() error {
	b.end(admission.Neutral)
	return b.ReadCloser.Close()
}

func (b *releasingBody) end(outcome admission.Outcome) {
	if !b.ended {
		b.ended = true
		b.release(outcome)
	}
}

// localReservation is a reservation at this node.
type localReservation struct {
	host     *hostNode
	reserved *admission.Reservation
	req      admission.Request
}

func (r *localReservation) run(ctx context.Context, q *request) (*response, error) {
	resp, err := r.host.run(ctx, r.reserved, r.req, q)
	if err != nil {
		return nil, err
	}
	return resp, nil
}

func (r *localReservation) cancel() { r.reserved.Release(admission.Neutral) }

// ServeHTTP serves other nodes: reservations, and requests under a reservation.
func (h *hostNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Header.Get(headerReserve) != "":
		h.serveReserve(w, r)
	case r.Header.Get(headerReservation) != "":
		h.serveRun(w, r)
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

func (h *hostNode) serveReserve(w http.ResponseWriter, r *http.Request) {
	var wire wireReservation
	if err := decodeField(r.Header.Get(headerReserve), &wire); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	req := decodeReservation(wire)
	out := w.Header()
	out["Date"] = nil
	reserved, reason := h.reserve(r.Context(), req, func() {
		// Tell the entry node at once that the request has arrived and waits, and
		// how long the queue is now.
		out[headerStatus] = []string{encodeField(encodeStatus(h.status()))}
		w.WriteHeader(http.StatusProcessing)
	})
	out[headerStatus] = []string{encodeField(encodeStatus(h.status()))}
	if reserved == nil {
		out[headerRefused] = []string{reason.String()}
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	out[headerReservation] = []string{h.store(reserved, req)}
	w.WriteHeader(http.StatusOK)
}

func (h *hostNode) store(reserved *admission.Reservation, req admission.Request) string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read does not fail
	id := hex.EncodeToString(b[:])
	h.mu.Lock()
	h.reservations[id] = heldReservation{reservation: reserved, req: req}
	h.mu.Unlock()
	time.AfterFunc(reservationTTL, func() { h.forget(id) })
	return id
}

// take returns a reservation as it was, and marks it as used.
func (h *hostNode) take(id string) (heldReservation, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	held, ok := h.reservations[id]
	if ok {
		used := held
		used.used = true
		h.reservations[id] = used
	}
	return held, ok
}

// keepUntil keeps the ID of a used reservation for the time that its request has
// left.
func (h *hostNode) keepUntil(id string, left time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if held, ok := h.reservations[id]; ok {
		held.neededUntil = h.now() + left + reservationTTL
		h.reservations[id] = held
	}
}

func (h *hostNode) forget(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if left := h.reservations[id].neededUntil - h.now(); left > 0 {
		time.AfterFunc(left, func() { h.forget(id) })
		return
	}
	delete(h.reservations, id)
}

func (h *hostNode) serveRun(w http.ResponseWriter, r *http.Request) {
	account := h.resources.openAccount()
	defer account.Close()
	resp, err := h.runReserved(w, r, account)
	out := w.Header()
	out["Date"] = nil
	out[headerStatus] = []string{encodeField(encodeStatus(h.status()))}
	if err != nil {
		out[headerResult] = []string{err.Code.String()}
		out[headerRan] = []string{err.Ran.String()}
		w.WriteHeader(http.StatusBadGateway)
		_, _ = w.Write([]byte(err.Error())) // the text is only logged by the entry node
		return
	}
	defer resp.close()
	out[headerFromTarget] = []string{"1"}
	if err := writeResponse(w, r, resp); err != nil {
		panic(http.ErrAbortHandler)
	}
}

func (h *hostNode) runReserved(w http.ResponseWriter, r *http.Request, account *limits.MemoryAccount) (*response, *resultcode.Error) {
	held, ok := h.take(r.Header.Get(headerReservation))
	if !ok {
		return nil, notRun(resultcode.TargetDraining, "reservation is unknown or has expired")
	}
	if held.used {
		// The request that used it may have been a copy of this one.
		return nil, resultcode.New(resultcode.UnknownOutcome, "reservation has been used")
	}
	if !held.reservation.Keep() {
		return nil, notRun(resultcode.TargetDraining, "reservation has expired")
	}
	left, ok := getMillis(r.Header, headerTimeLeft)
	if !ok || left <= 0 {
		held.reservation.Release(admission.Neutral)
		return nil, notRun(resultcode.DeadlineTooShort, "no time left before the deadline")
	}
	h.keepUntil(r.Header.Get(headerReservation), left)
	until := deadlineIn(left, h.now)
	control := http.NewResponseController(w)
	hasBody := r.Body != nil && r.Body != http.NoBody
	stopBound := func() {}
	if hasBody {
		if stop, err := h.shutdown.boundRead(control, time.Now().Add(left)); err == nil {
			stopBound = stop // the bound of unread bodies applies otherwise
		}
	}
	h.resources.monitor(r, account)
	q, err := readRequest(r, r.Header.Get(h.headers.RequestID), account)
	stopBound()
	if isMemoryLimit(err) || err != nil && account.Revoked() {
		held.reservation.Release(admission.Neutral)
		return nil, h.resources.refuse(err)
	}
	if err != nil {
		held.reservation.Release(admission.Neutral)
		if cut := h.shutdown.errBodyCut(err); cut != nil {
			return nil, cut
		}
		return nil, notRun(resultcode.CallerGone, "read the request body: %w", err)
	}
	if hasBody && q.rest == nil {
		_ = control.SetReadDeadline(time.Time{}) // the connection is closed if this fails
	}
	q.deadline, q.reservationID = until, r.Header.Get(headerReservation)
	return h.run(r.Context(), held.reservation, held.req, q)
}

func outcomeOfStreamEnd(err error) admission.Outcome {
	switch {
	case errors.Is(err, io.EOF):
		return admission.Success
	case errors.Is(err, context.Canceled):
		return admission.Neutral
	}
	return admission.TransportError
}
