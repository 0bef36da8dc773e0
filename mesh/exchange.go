package mesh

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"hyssopbridge/admission"
	"hyssopbridge/filters"
	"hyssopbridge/limits"
	"hyssopbridge/resultcode"
	"hyssopbridge/upstream"
)

// maxTargetIdle is how long a connection to a target may have been idle to be
// reused, unless the target states a shorter idle timeout.
const maxTargetIdle = 4 * time.Second

// metricForeignAnswers counts responses of the target that were discarded
// because they belong to no request that was waiting for one.
const metricForeignAnswers = "mesh_foreign_answers_total"

// streamThreshold is the body size above which the request is sent while the
// response is read, since a target may respond before it has read a long body.
const streamThreshold = 16 << 10

func newReader(b []byte) io.Reader { return bytes.NewReader(b) }

// exchange sends a request to the target beside this node and reads its
// response.
type exchange struct {
	client        *upstream.Client
	headers       *Headers
	metrics       *metrics
	refused       *refusedRequests
	resources     *resources
	addr          string
	targetID      string // ID of the target that must run the request
	callerService string // service of the host at which the request originated
}

// do returns the response, or an error whose Ran value tells whether this
// attempt ran the request, and the outcome for the failure detector.
func (x *exchange) do(ctx context.Context, q *request, trace *upstream.Trace) (*response, admission.Outcome, *resultcode.Error) {
	out := q.outgoing()
	x.setFields(out.Header, q)
	opt := upstream.Options{
		Stream:     q.rest != nil || len(q.body) > streamThreshold,
		MaxIdleAge: maxTargetIdle,
		Fresh:      x.refused.has(q.id),
		Matches:    x.matcher(q.id),
		Trace:      trace,
	}
	httpResp, err := x.client.Do(ctx, x.addr, out, opt)
	if err != nil {
		outcome := outcomeOfError(ctx, err)
		if q.rest.awaited() {
			outcome = admission.Neutral
		}
		result := q.resultOfBody(ctx, err)
		if result == nil {
			result = resultOfError(ctx, err)
		}
		return nil, outcome, result
	}
	if e := x.refusalError(httpResp); e != nil {
		httpResp.Body.Close()
		x.refused.add(q.id, q.deadline.left())
		x.refused.add(refusalKey(x.targetID, q.id), q.deadline.left())
		return nil, outcomeOfRefusal(e), e
	}
	if e := x.validateResponse(httpResp); e != nil {
		httpResp.Body.Close()
		return nil, admission.TransportError, e
	}
	if promisesNotRun(httpResp.StatusCode) {
		httpResp.Body.Close()
		return nil, outcomeOfStatus(httpResp.StatusCode), errOwnStatus(httpResp.StatusCode)
	}
	resp, err := readResponse(httpResp, x.resources.openAccount())
	if err != nil {
		outcome := outcomeOfError(ctx, err)
		if q.rest.awaited() {
			outcome = admission.Neutral
		}
		return nil, outcome, resultcode.New(resultcode.Truncated, "answer of the target ended early: %w", err)
	}
	return resp, outcomeOfStatus(resp.status), nil
}

func (x *exchange) setFields(h http.Header, q *request) {
	set := func(name, value string) { h[http.CanonicalHeaderKey(name)] = []string{value} }
	set(x.headers.RequestID, q.id)
	set(x.headers.ExpectedTarget, x.targetID)
	set(x.headers.CallerService, x.callerService)
	setMillis(h, x.headers.DeadlineMs, q.deadline.left())
}

// matcher accepts responses that carry the ID of the request. A refusal may
// lack the ID. On a reused connection such a refusal may be a late copy of an
// earlier one, so it proves nothing there. A refusal with the ID may be a late
// copy only if the target refused the same request before; such an order is not
// sent again, and such a read is sent over a connection of its own.
func (x *exchange) matcher(id string) func(*http.Response, bool) bool {
	return func(r *http.Response, fresh bool) bool {
		got := r.Header.Get(x.headers.RequestID)
		matches := got == id || (got == "" && fresh && x.isRefusal(r))
		if !matches {
			x.metrics.count(metricForeignAnswers)
		}
		return matches
	}
}

func (x *exchange) isRefusal(r *http.Response) bool {
	return r.StatusCode == http.StatusMisdirectedRequest || r.Header.Get(x.headers.NotRun) != ""
}

// refusalError returns an error for a response that proves that the target did
// not run the request.
func (x *exchange) refusalError(r *http.Response) *resultcode.Error {
	switch {
	case !x.isRefusal(r):
		return nil
	case r.StatusCode == http.StatusMisdirectedRequest:
		return notRun(resultcode.NoTarget, "another target responds at the address")
	default:
		return notRun(resultcode.ShedByTarget, "the target refused the request with status %d", r.StatusCode)
	}
}

// outcomeOfRefusal returns what a refusal shows about the target. Another target
// at its address shows nothing.
func outcomeOfRefusal(e *resultcode.Error) admission.Outcome {
	if e.Code == resultcode.ShedByTarget {
		return admission.Rejected
	}
	return admission.Neutral
}

// promisesNotRun reports whether a status states to a caller that its request
// was not run. A target states that by a field of its own or by status 421.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

func errOwnStatus(status int) *resultcode.Error {
	return resultcode.New(resultcode.TargetError, "the target responded with status %d without stating that it did not run the request", status)
}

func (x *exchange) validateResponse(r *http.Response) *resultcode.Error {
	switch {
	case r.Header.Get(x.headers.Signature) == "":
		return resultcode.New(resultcode.AnswerMismatch, "response with status %d lacks the target's signature", r.StatusCode)
	case r.Header.Get("Content-Encoding") != "":
		return resultcode.New(resultcode.AnswerMismatch, "response has a content encoding that was not requested")
	}
	return nil
}

// errUnframed is returned for a response that is delimited only by the end of
// its connection and exceeds the buffer. Such a response cannot be
// distinguished from an endless one.
var errUnframed = fmt.Errorf("response without a length exceeds %d bytes", maxBuffered)

// readResponse reads the response and buffers up to maxBuffered bytes of its
// body, whose memory is charged to account. If memory is short it buffers less.
func readResponse(r *http.Response, account *limits.MemoryAccount) (*response, error) {
	h := r.Header
	filters.StripHeader(h)
	delete(h, "Content-Length")
	resp := &response{status: r.StatusCode, header: h, account: account}
	if r.Request != nil && r.Request.Method == http.MethodHead {
		// The response announces the length of a body that it does not have.
		if r.ContentLength >= 0 {
			h["Content-Length"] = []string{strconv.FormatInt(r.ContentLength, 10)}
		}
		r.Body.Close()
		return resp, nil
	}
	body, complete, err := readBuffered(r.Body, r.ContentLength, account.Take)
	if err != nil && !isMemoryLimit(err) {
		r.Body.Close()
		account.Close()
		return nil, err
	}
	resp.body = body
	if complete {
		r.Body.Close()
		return resp, nil
	}
	resp.rest, resp.restLen = r.Body, restLength(r.ContentLength, len(body))
	if r.ContentLength < 0 && len(r.TransferEncoding) == 0 {
		r.Body.Close()
		account.Close()
		return nil, errUnframed
	}
	account.Force(streamBytes)
	return resp, nil
}

// resultOfError converts the error of an exchange to a result. It states "not
// run" only if no byte of the request was written. The deadline of the request
// and a caller that left say nothing about the target.
func resultOfError(ctx context.Context, err error) *resultcode.Error {
	notSent := isNotSent(err)
	cause := context.Cause(ctx)
	timedOut := errors.Is(cause, context.DeadlineExceeded)
	switch {
	case notSent && timedOut:
		return notRun(resultcode.DeadlineTooShort, "%w", err)
	case notSent && cause != nil:
		return notRun(resultcode.CallerGone, "%w", err)
	case notSent:
		return notRun(resultcode.NoTarget, "%w", err)
	case timedOut:
		return resultcode.New(resultcode.Timeout, "%w", err)
	case cause != nil:
		return resultcode.New(resultcode.CallerGone, "%w", err)
	}
	return resultcode.New(resultcode.TargetError, "%w", err)
}

// isNotSent reports whether err states that no byte of a request was written.
func isNotSent(err error) bool {
	var ue *upstream.Error
	return errors.As(err, &ue) && ue.Stage == upstream.NotSent
}

// resultOfBody converts the error of an exchange that ended because the body of
// the request failed after a part of the request was sent. It returns nil if the
// exchange ended for another reason.
func (q *request) resultOfBody(ctx context.Context, err error) *resultcode.Error {
	failure := q.rest.err() // net/http hides it in err
	if failure == nil || isNotSent(err) || ctx.Err() != nil {
		return nil
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(failure, &tooLarge):
		return resultcode.New(resultcode.BodyTooLarge, "%w", err)
	case errors.Is(failure, os.ErrDeadlineExceeded):
		return resultcode.New(resultcode.Timeout, "%w", err) // the body has the deadline of the request
	}
	return resultcode.New(resultcode.BodyStalled, "%w", err)
}

func outcomeOfError(ctx context.Context, err error) admission.Outcome {
	var limited *resultcode.Error
	if errors.As(err, &limited) && limited.Code == resultcode.ConnectionLimit {
		return admission.Neutral // this node has no free descriptors
	}
	switch cause := context.Cause(ctx); {
	case cause == nil:
		return admission.TransportError
	case isNotSent(err):
		return admission.Neutral // the target got nothing that it could respond to
	case errors.Is(cause, context.DeadlineExceeded):
		return admission.Timeout
	}
	return admission.Neutral
}

func outcomeOfStatus(status int) admission.Outcome {
	switch {
	case status == http.StatusGatewayTimeout:
		return admission.Timeout
	case status >= 500:
		return admission.ServerError
	}
	return admission.Success
}
