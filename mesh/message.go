package mesh

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"hyssopbridge/admission"
	"hyssopbridge/config/dynamic"
	"hyssopbridge/filters"
	"hyssopbridge/limits"
	"hyssopbridge/resultcode"
)

// maxBuffered is how many bytes of a body a node buffers. A request whose body
// fits can be resent, and a response whose body fits is known to be complete
// before its first byte is forwarded. Longer bodies are streamed.
const maxBuffered = 1 << 20

// request is a caller's request, detached from its connection.
type request struct {
	id      string
	method  string
	host    string
	url     *url.URL
	header  http.Header // end-to-end fields
	body    []byte
	rest    *bodyRest // remainder after body; nil if body is complete
	restLen int64     // length of rest; -1 if unknown
	// firstPartTime is how long body took to arrive at the entry node.
	firstPartTime time.Duration
	account       *limits.MemoryAccount
	idempotent    bool
	// reservationID is that of the reservation under which another node sent the
	// request; empty at the entry node.
	reservationID string
	deadline      deadline
	customer      *dynamic.Customer // nil if the request carries no known key
	// authorize returns an error if the configuration in force no longer holds
	// the request's key. It may be nil.
	authorize func() *resultcode.Error
	// fromRunProb is the probability that the target beside the entry node made
	// the request as part of a run, which fails if this request does.
	fromRunProb float64
	// fromRetryProb is the probability that the request was made by a run that
	// was itself a retry.
	fromRetryProb float64
}

// response is a target's response.
type response struct {
	status  int
	header  http.Header // end-to-end fields
	body    []byte
	rest    io.ReadCloser // remainder after body; nil if body is complete
	restLen int64         // length of rest; -1 if unknown
	account *limits.MemoryAccount
}

// close closes a response that is not read to its end.
func (resp *response) close() {
	if resp.rest != nil {
		resp.rest.Close()
	}
	resp.account.Close()
}

// readRequest reads the request and buffers up to maxBuffered bytes of its
// body, whose memory is charged to account. Unless the body has a remainder,
// account cannot be revoked afterwards.
func readRequest(r *http.Request, id string, account *limits.MemoryAccount) (*request, error) {
	h := r.Header.Clone()
	filters.StripHeader(h)
	delete(h, "Expect")
	delete(h, "Content-Length")
	req := &request{id: id, method: r.Method, host: r.Host, url: r.URL, header: h, account: account}
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		account.SetTransfer(nil, nil)
		return req, nil
	}
	body, complete, err := readBuffered(r.Body, r.ContentLength, account.Take)
	if err != nil {
		return nil, err
	}
	req.body = body
	if complete {
		account.SetTransfer(nil, nil)
		return req, nil
	}
	if err := account.Take(streamBytes); err != nil {
		return nil, err
	}
	req.rest, req.restLen = &bodyRest{r: r.Body, conn: limits.ConnOf(r.Context())}, restLength(r.ContentLength, len(body))
	return req, nil
}

func restLength(length int64, have int) int64 {
	if length < 0 {
		return -1
	}
	return length - int64(have)
}

// outgoing returns the request to send. It may be called for each attempt,
// unless the body has a remainder, which can be read only once.
func (q *request) outgoing() *http.Request {
	u := *q.url
	u.Scheme, u.Host = "http", q.host
	out := &http.Request{
		Method: q.method, URL: &u, Host: q.host, Header: q.header.Clone(),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Body: http.NoBody,
	}
	if _, ok := out.Header["User-Agent"]; !ok {
		out.Header["User-Agent"] = nil // keeps Request.Write from adding its default
	}
	switch {
	case q.rest != nil:
		out.ContentLength = int64(len(q.body)) + q.restLen
		if q.restLen < 0 {
			out.ContentLength, out.TransferEncoding = -1, []string{"chunked"}
		}
		// The body is not sent again, so its first part is given up once it is sent.
		account := q.account
		first := &onDone{newReader(q.body), func() { account.Shrink(streamBytes) }}
		out.Body = io.NopCloser(io.MultiReader(first, q.rest))
		q.body = nil
	case len(q.body) > 0:
		out.Body, out.ContentLength = io.NopCloser(newReader(q.body)), int64(len(q.body))
	}
	return out
}

// reservation is a slot held at a host node for one request.
type reservation interface {
	// run sends the request. The error is a *resultcode.Error whose Ran value
	// tells whether this attempt ran the request.
	run(ctx context.Context, q *request) (*response, error)
	// cancel gives up the reservation.
	cancel()
}

// refusal is the error for a reservation that was refused.
type refusal struct{ reason admission.Reason }

// Error implements error.
func (r refusal) Error() string { return "host node refused: " + r.reason.String() }

// notRun returns an error which states that a request was not run.
func notRun(code resultcode.Code, format string, args ...any) *resultcode.Error {
	return resultcode.New(code, format, args...).NotRun()
}

func setMillis(h http.Header, name string, d time.Duration) {
	h[http.CanonicalHeaderKey(name)] = []string{strconv.FormatInt(max(1, d.Milliseconds()), 10)}
}

// getMillis returns the milliseconds that a field states, which may have a
// fraction. It reports false if the field holds no number up to maxDeadline.
func getMillis(h http.Header, name string) (time.Duration, bool) {
	n, err := strconv.ParseFloat(h.Get(name), 64)
	if err != nil || !(n >= 0 && n <= float64(maxDeadline/time.Millisecond)) { // also refuses NaN
		return 0, false
	}
	return time.Duration(n * float64(time.Millisecond)), true
}

// maxDeadline bounds the deadlines that callers may request.
const maxDeadline = 24 * time.Hour
