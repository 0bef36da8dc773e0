package mesh

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"hyssopbridge/admission"
	"hyssopbridge/resultcode"
	"hyssopbridge/upstream"
)

const (
	// reserveTimeout is how long a host node may take to respond to a
	// reservation, or to state that the request waits in line. It exceeds a round
	// trip between zones plus a pause of a throttled process, which is up to
	// 100 ms. A request that tries a host which is down loses this much of its
	// time.
	reserveTimeout = 120 * time.Millisecond
	// responseGrace is how long after the deadline of a request its host node
	// may still respond.
	responseGrace = 50 * time.Millisecond
	// maxErrorText bounds the error text that is kept for the log.
	maxErrorText = 300
)

var errNoAnswer = errors.New("the host node did not answer the reservation")

// nodeClient sends requests to other nodes.
type nodeClient struct {
	client  *upstream.Client
	headers *Headers
	// resources bounds the memory of responses.
	resources *resources
	metrics   *metrics
	// onStatus is called with each status that a host node sends.
	onStatus func(addr string, s admission.Status)
}

// remoteReservation is a reservation at another node.
type remoteReservation struct {
	nodes         *nodeClient
	addr          string
	reservationID string
	trace         upstream.Trace // valid once run has returned
}

// reserve asks the host node at addr for a slot. The error is a refusal if the
// host node refused, and another one if it sent no valid response.
func (c *nodeClient) reserve(ctx context.Context, addr string, r admission.Request) (reservation, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	noAnswer := time.AfterFunc(reserveTimeout, func() { cancel(errNoAnswer) })
	defer noAnswer.Stop()
	onQueued := func(h http.Header) {
		noAnswer.Stop()
		c.updateStatus(addr, h)
	}
	req := &http.Request{
		Method: http.MethodGet, URL: &url.URL{Scheme: "http", Host: addr, Path: "/"}, Host: addr,
		Header: http.Header{"User-Agent": nil, headerReserve: {encodeField(encodeReservation(r))}}, Body: http.NoBody,
	}
	httpResp, err := c.client.Do(ctx, addr, req, upstream.Options{OnInformational: onQueued})
	if err != nil {
		return nil, err
	}
	httpResp.Body.Close()
	c.updateStatus(addr, httpResp.Header)
	if httpResp.StatusCode == http.StatusOK {
		if id := httpResp.Header.Get(headerReservation); id != "" {
			return &remoteReservation{nodes: c, addr: addr, reservationID: id}, nil
		}
	}
	if reason, ok := admission.ParseReason(httpResp.Header.Get(headerRefused)); ok {
		return nil, refusal{reason}
	}
	return nil, fmt.Errorf("node at %s responded to a reservation with status %d", addr, httpResp.StatusCode)
}

func (c *nodeClient) updateStatus(addr string, h http.Header) {
	var wire wireStatus
	if err := decodeField(h.Get(headerStatus), &wire); err != nil {
		return // ignore a response without a status
	}
	if s, err := decodeStatus(wire); err == nil {
		c.onStatus(addr, s)
	}
}

func (r *remoteReservation) cancel() {
	// The host node frees the slot when the reservation expires.
}

func (r *remoteReservation) run(ctx context.Context, q *request) (*response, error) {
	if q.deadline.left() <= 0 {
		return nil, notRun(resultcode.DeadlineTooShort, "deadline passed before the request was sent")
	}
	out := q.outgoing()
	out.Header[headerReservation] = []string{r.reservationID}
	out.Header[http.CanonicalHeaderKey(r.nodes.headers.RequestID)] = []string{q.id}
	setMillis(out.Header, headerTimeLeft, q.deadline.left())
	ctx, cancel := q.deadline.context(ctx, responseGrace)
	httpResp, err := r.nodes.client.Do(ctx, r.addr, out, upstream.Options{Stream: q.rest != nil, Trace: &r.trace})
	if err != nil {
		defer cancel()
		if e := q.resultOfBody(ctx, err); e != nil {
			return nil, e
		}
		return nil, hopError(ctx, err)
	}
	r.nodes.updateStatus(r.addr, httpResp.Header)
	resp, err := r.readResponse(httpResp)
	if err != nil || resp.rest == nil {
		cancel()
		return resp, err
	}
	resp.rest = &cancelingBody{resp.rest, cancel}
	return resp, nil
}

// cancelingBody cancels the context of the exchange when a streamed response
// is closed.
type cancelingBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (b *cancelingBody) Close() error {
	b.cancel()
	return b.ReadCloser.Close()
}

func (r *remoteReservation) readResponse(httpResp *http.Response) (*response, error) {
	if httpResp.Header.Get(headerFromTarget) == "" {
		defer httpResp.Body.Close()
		return nil, hopResult(httpResp)
	}
	if promisesNotRun(httpResp.StatusCode) { // relayed by a node of an earlier version
		httpResp.Body.Close()
		return nil, errOwnStatus(httpResp.StatusCode)
	}
	resp, err := readResponse(httpResp, r.nodes.resources.openAccount())
	if err != nil {
		return nil, resultcode.New(resultcode.Truncated, "response of the host node ended early: %w", err)
	}
	return resp, nil
}

// hopError converts the error of an exchange with a host node to a result.
func hopError(ctx context.Context, err error) *resultcode.Error {
	e := resultOfError(ctx, err)
	switch e.Code {
	case resultcode.NoTarget:
		e.Code = resultcode.PeerUnreachable
	case resultcode.TargetError:
		e.Code = resultcode.PeerLost
	}
	return e
}

// hopResult returns the failure that a host node reported.
func hopResult(httpResp *http.Response) *resultcode.Error {
	text, _ := io.ReadAll(io.LimitReader(httpResp.Body, maxErrorText)) // the text is for the log only
	number, _, _ := strings.Cut(httpResp.Header.Get(headerResult), " ")
	n, err := strconv.Atoi(number)
	code := resultcode.Code(n)
	if _, known := resultcode.Lookup(code); err != nil || !known {
		return resultcode.New(resultcode.PeerLost, "host node responded with status %d and no valid result code", httpResp.StatusCode)
	}
	e := resultcode.New(code, "host node: %s", text)
	e.Ran = resultcode.RanUnknown
	switch httpResp.Header.Get(headerRan) {
	case resultcode.RanNo.String():
		e.Ran = resultcode.RanNo
	case resultcode.RanYes.String():
		e.Ran = resultcode.RanYes
	}
	return e
}
