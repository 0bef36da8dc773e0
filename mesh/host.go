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
	"hyssopbridge/resultcode"
	"hyssopbridge/upstream"
)

// ticketMemory is how long the ID of a reservation stays known, which must
// exceed the time for which a reservation can be used.
const ticketMemory = 2 * time.Second

// host runs requests at the target beside this node.
type host struct {
	gate    *admission.Gate
	client  *upstream.Client
	headers *Headers
	log     *journal
	metrics *metrics
	calls   *calls
	budget  *budget
	now     func() time.Duration // counts suspensions

	targetAddr func() string // address of the target, which may change while the node runs

	mu      sync.Mutex
	tickets map[string]heldTicket
}

type heldTicket struct {
	ticket *admission.Reservation
	req    admission.Request
}

// reserve takes a slot for a request of this or another node.
func (h *host) reserve(ctx context.Context, r admission.Request) (*admission.Reservation, admission.Reason) {
	t, why := h.budget.reserve(ctx, h.gate, r)
	h.metrics.reservation(why)
	return t, why
}

// status returns the status that other nodes see.
func (h *host) status() admission.Status {
	s := h.gate.Status()
	s.AdmitsRetries, s.AdmitsRetryCalls = h.budget.room()
	return s
}

// run sends a request under a ticket.
func (h *host) run(ctx context.Context, t *admission.Reservation, r admission.Request, q *request) (*answer, *resultcode.Error) {
	if why := t.Claim(); why != admission.None {
		return nil, notRun(resultcode.TargetDraining, "reservation is not valid: %s", why)
	}
	if q.deadline.left() <= 0 {
		t.Release(admission.Neutral)
		return nil, notRun(resultcode.DeadlineTooShort, "deadline passed before the request was sent")
	}
	ctx, cancel := q.deadline.context(ctx, 0)
	x := exchange{client: h.client, headers: h.headers, addr: h.targetAddr(), target: r.Target, caller: q.header.Get(h.headers.CallerService)}
	start := time.Now()
	run := h.calls.begin(sourceOf(r.Idempotent), r.Retry)
	a, evidence, err := x.do(ctx, q)
	h.calls.end(run, evidence == admission.Success)
	h.metrics.target(evidence, time.Since(start))
	if err != nil {
		h.log.targetFailed(q.id, r, t.Trial(), evidence, err, time.Since(start))
	}
	if a == nil || a.rest == nil {
		t.Release(evidence)
		cancel()
		return a, err
	}
	a.rest = &releasingBody{ReadCloser: a.rest, release: func(e admission.Outcome) { t.Release(e); cancel() }}
	return a, err
}

// releasingBody returns the slot when a streamed answer ends.
type releasingBody struct {
	io.ReadCloser
	release func(admission.Outcome)
	ended   bool
}

// Read implements io.Reader.
func (b *releasingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.end(evidenceOfEnd(err))
	}
	return n, err
}

// Close implements io.Closer.
func (b *releasingBody) Close() error {
	b.end(admission.Neutral)
	return b.ReadCloser.Close()
}

func (b *releasingBody) end(e admission.Outcome) {
	if !b.ended {
		b.ended = true
		b.release(e)
	}
}

// localSlot is a reservation at this node.
type localSlot struct {
	host   *host
	ticket *admission.Reservation
	req    admission.Request
}

func (s *localSlot) run(ctx context.Context, q *request) (*answer, error) {
	a, err := s.host.run(ctx, s.ticket, s.req, q)
	if err != nil {
		return nil, err
	}
	return a, nil
}

func (s *localSlot) cancel() { s.ticket.Release(admission.Neutral) }

// ServeHTTP answers other nodes: reservations, and requests under one.
func (h *host) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Header.Get(headerReserve) != "":
		h.serveReserve(w, r)
	case r.Header.Get(headerTicket) != "":
		h.serveRun(w, r)
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

func (h *host) serveReserve(w http.ResponseWriter, r *http.Request) {
	var wire wireReserve
	if err := fromField(r.Header.Get(headerReserve), &wire); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	req := decodeReserve(wire)
	t, why := h.reserve(r.Context(), req)
	out := w.Header()
	out["Date"] = nil
	out[headerStatus] = []string{toField(encodeStatus(h.status()))}
	if t == nil {
		out[headerRefused] = []string{why.String()}
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	out[headerTicket] = []string{h.keep(t, req)}
	w.WriteHeader(http.StatusOK)
}

func (h *host) keep(t *admission.Reservation, req admission.Request) string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read does not fail
	id := hex.EncodeToString(b[:])
	h.mu.Lock()
	h.tickets[id] = heldTicket{t, req}
	h.mu.Unlock()
	time.AfterFunc(ticketMemory, func() { h.take(id) })
	return id
}

// take removes a ticket. Each ticket can be taken once.
func (h *host) take(id string) (heldTicket, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	t, ok := h.tickets[id]
	delete(h.tickets, id)
	return t, ok
}

func (h *host) serveRun(w http.ResponseWriter, r *http.Request) {
	a, err := h.runHeld(r)
	out := w.Header()
	out["Date"] = nil
	out[headerStatus] = []string{toField(encodeStatus(h.status()))}
	if err != nil {
		out[headerResult] = []string{err.Code.String()}
		out[headerRan] = []string{err.Ran.String()}
		w.WriteHeader(http.StatusBadGateway)
		_, _ = w.Write([]byte(err.Error())) // the entry node only logs the text
		return
	}
	defer a.close()
	out[headerAnswer] = []string{"1"}
	if err := writeAnswer(w, r.Method, a); err != nil {
		panic(http.ErrAbortHandler)
	}
}

func (h *host) runHeld(r *http.Request) (*answer, *resultcode.Error) {
	held, ok := h.take(r.Header.Get(headerTicket))
	if !ok {
		return nil, notRun(resultcode.TargetDraining, "reservation is not known")
	}
	left, ok := getMillis(r.Header, headerLeft)
	if !ok || left <= 0 {
		held.ticket.Release(admission.Neutral)
		return nil, notRun(resultcode.DeadlineTooShort, "no time left")
	}
	q, err := readRequest(r, r.Header.Get(h.headers.RequestID))
	if err != nil {
		held.ticket.Release(admission.Neutral)
		return nil, notRun(resultcode.CallerGone, "body of the request: %w", err)
	}
	q.deadline = deadlineIn(left, h.now)
	return h.run(r.Context(), held.ticket, held.req, q)
}

func evidenceOfEnd(err error) admission.Outcome {
	switch {
	case errors.Is(err, io.EOF):
		return admission.Success
	case errors.Is(err, context.Canceled):
		return admission.Neutral
	}
	return admission.TransportError
}
