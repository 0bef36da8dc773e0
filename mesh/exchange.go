package mesh

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"hyssopbridge/admission"
	"hyssopbridge/filters"
	"hyssopbridge/resultcode"
	"hyssopbridge/upstream"
)

// targetIdleAge is the longest idle time of a connection to a target that
// carries another request, unless the target states a shorter idle timeout.
const targetIdleAge = 4 * time.Second

// streamAbove is the body size from which a request is sent while the answer is
// read, since a target may answer before it has read a long body.
const streamAbove = 16 << 10

func newReader(b []byte) io.Reader { return bytes.NewReader(b) }

// exchange sends a request to the target beside this node and reads its answer.
type exchange struct {
	client  *upstream.Client
	headers *Headers
	addr    string
	target  string // ID that must run the request
	caller  string // service of the host at which the request began
}

// do returns the answer, or an error whose Ran value holds for this request,
// and what the outcome says about the target.
func (x *exchange) do(ctx context.Context, q *request) (*answer, admission.Outcome, *resultcode.Error) {
	out := q.outgoing()
	x.setFields(out.Header, q)
	opt := upstream.Options{
		Stream:     q.rest != nil || len(q.body) > streamAbove,
		MaxIdleAge: targetIdleAge,
		Matches:    x.matcher(q.id),
	}
	resp, err := x.client.Do(ctx, x.addr, out, opt)
	if err != nil {
		return nil, evidenceOf(ctx, err), failure(ctx, err)
	}
	if e := x.refused(resp); e != nil {
		resp.Body.Close()
		return nil, admission.Neutral, e
	}
	if e := x.checkAnswer(resp); e != nil {
		resp.Body.Close()
		return nil, admission.TransportError, e
	}
	a, err := readAnswer(resp)
	if err != nil {
		return nil, evidenceOf(ctx, err), resultcode.New(resultcode.Truncated, "answer of the target ended early: %w", err)
	}
	return a, evidenceOfStatus(a.status), nil
}

func (x *exchange) setFields(h http.Header, q *request) {
	set := func(name, value string) { h[http.CanonicalHeaderKey(name)] = []string{value} }
	set(x.headers.RequestID, q.id)
	set(x.headers.ExpectedTarget, x.target)
	set(x.headers.CallerService, x.caller)
	setMillis(h, x.headers.DeadlineMs, q.deadline.left())
}

// matcher accepts answers that carry the ID of the request. A refusal may lack
// it. On a connection that was used before, such a refusal may be a late copy of
// an earlier one, so it proves nothing there.
func (x *exchange) matcher(id string) func(*http.Response, bool) bool {
	return func(r *http.Response, fresh bool) bool {
		got := r.Header.Get(x.headers.RequestID)
		return got == id || (got == "" && fresh && x.saysNotRun(r))
	}
}

func (x *exchange) saysNotRun(r *http.Response) bool {
	return r.StatusCode == http.StatusMisdirectedRequest || r.Header.Get(x.headers.NotRun) != ""
}

// refused returns an error for an answer by which the target proves that it did
// not run the request.
func (x *exchange) refused(r *http.Response) *resultcode.Error {
	switch {
	case !x.saysNotRun(r):
		return nil
	case r.StatusCode == http.StatusMisdirectedRequest:
		return notRun(resultcode.NoTarget, "another target answers at the address")
	default:
		return notRun(resultcode.ShedByTarget, "the target refused the request with status %d", r.StatusCode)
	}
}

func (x *exchange) checkAnswer(r *http.Response) *resultcode.Error {
	switch {
	case r.Header.Get(x.headers.Signature) == "":
		return resultcode.New(resultcode.AnswerMismatch, "answer with status %d lacks the target's signature", r.StatusCode)
	case r.Header.Get("Content-Encoding") != "":
		return resultcode.New(resultcode.AnswerMismatch, "answer has a content encoding that was not asked for")
	}
	return nil
}

// errUnframed is returned for an answer that ends with its connection and does
// not fit in memory. Nothing tells such an answer from bytes without end.
var errUnframed = fmt.Errorf("answer without a length exceeds %d bytes", maxBuffered)

// readAnswer takes the body as far as it is buffered.
func readAnswer(r *http.Response) (*answer, error) {
	h := r.Header
	filters.StripHeader(h)
	delete(h, "Content-Length")
	a := &answer{status: r.StatusCode, header: h}
	if r.Body == http.NoBody {
		r.Body.Close()
		return a, nil
	}
	body, whole, err := readUpTo(r.Body, r.ContentLength)
	if err != nil {
		r.Body.Close()
		return nil, err
	}
	a.body = body
	if whole {
		r.Body.Close()
		return a, nil
	}
	a.rest, a.restLen = r.Body, restLength(r.ContentLength, len(body))
	if r.ContentLength < 0 && len(r.TransferEncoding) == 0 {
		r.Body.Close()
		return nil, errUnframed
	}
	return a, nil
}

// failure turns a failed exchange into a result. It proves "not run" only if no
// byte was written.
func failure(ctx context.Context, err error) *resultcode.Error {
	var ue *upstream.Error
	if errors.As(err, &ue) && ue.Stage == upstream.NotSent {
		return notRun(resultcode.NoTarget, "%w", err)
	}
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, context.DeadlineExceeded):
		return resultcode.New(resultcode.Timeout, "%w", err)
	case cause != nil:
		return resultcode.New(resultcode.CallerGone, "%w", err)
	}
	return resultcode.New(resultcode.TargetError, "%w", err)
}

func evidenceOf(ctx context.Context, err error) admission.Outcome {
	switch cause := context.Cause(ctx); {
	case cause == nil:
		return admission.TransportError
	case errors.Is(cause, context.DeadlineExceeded):
		return admission.Timeout
	}
	return admission.Neutral
}

func evidenceOfStatus(status int) admission.Outcome {
	switch {
	case status == http.StatusGatewayTimeout:
		return admission.Timeout
	case status >= 500:
		return admission.ServerError
	}
	return admission.Success
}
