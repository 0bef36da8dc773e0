package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"hyssopbridge/filters"
	"hyssopbridge/fleet"
)

// deliver passes the response of a to the caller.
func (c *call) deliver(a *attempt) error {
	if c.route.Class == fleet.Download {
		c.timer.Stop()
	}
	_ = http.NewResponseController(c.w).EnableFullDuplex()
	c.result.Status = a.resp.StatusCode
	writeResponseHead(c.w, a.resp, c.id)
	wd := newWatchdog(c.route.StallTimeout, c.cancel)
	defer wd.stop()
	flush := a.resp.ContentLength < 0 || c.route.Class == fleet.Download
	n, err := copyBody(c.w, a.resp.Body, wd, flush)
	c.result.Bytes = n
	if err != nil {
		n, err = c.resume(a, n, err)
		c.result.Bytes = n
	}
	if err != nil {
		return abortError{c.abortCause(err)}
	}
	writeTrailers(c.w.Header(), a.resp.Trailer)
	return nil
}

// abortCause returns the reason for which an interrupted response is aborted: a
// failed write to the caller, else the cause of the context's end, else err.
func (c *call) abortCause(err error) error {
	var failed callerWriteError
	if errors.As(err, &failed) {
		return err
	}
	if cause := context.Cause(c.ctx); cause != nil {
		return cause
	}
	return err
}

func writeResponseHead(w http.ResponseWriter, resp *http.Response, id string) {
	h := w.Header()
	copyHeader(h, resp.Header)
	filters.StripHeader(h)
	announceTrailers(h, resp.Trailer)
	h[RequestIDHeader] = []string{id}
	h[HeaderRequestID] = []string{id}
	h[HeaderResult] = []string{answeredResult}
	w.WriteHeader(resp.StatusCode)
	flushStream(w, resp)
}

// flushStream sends the header section of a response of unknown length at once,
// since the first byte of its body may depend on what the caller sends next.
func flushStream(w http.ResponseWriter, resp *http.Response) {
	if f, ok := w.(http.Flusher); ok && resp.ContentLength < 0 {
		f.Flush()
	}
}

const answeredResult = "1000 answered"

// byteRange is the part of a representation that a response covers.
type byteRange struct {
	etag  string
	first int64 // offset of the first byte of the response
	last  int64 // offset of the last byte of the response
	total int64 // length of the representation
}

// resumable returns the byte range of a response. ok is true if another target
// can continue it: the response to a GET, with a strong ETag and a known length.
func resumable(r *http.Request, resp *http.Response) (byteRange, bool) {
	s := byteRange{etag: resp.Header.Get("Etag")}
	strong := len(s.etag) >= 2 && s.etag[0] == '"'
	if r.Method != http.MethodGet || !strong || resp.ContentLength <= 0 {
		return s, false
	}
	switch resp.StatusCode {
	case http.StatusOK:
		s.last, s.total = resp.ContentLength-1, resp.ContentLength
		return s, true
	case http.StatusPartialContent:
		return s, s.parse(resp.Header.Get("Content-Range"))
	}
	return s, false
}

func (s *byteRange) parse(v string) bool {
	n, err := fmt.Sscanf(v, "bytes %d-%d/%d", &s.first, &s.last, &s.total)
	return err == nil && n == 3 && s.first <= s.last && s.last < s.total
}

// resume continues an interrupted response, of which n bytes were written, with
// the rest from other targets. It returns the total number of bytes written.
func (c *call) resume(a *attempt, n int64, err error) (int64, error) {
	want, ok := resumable(c.r, a.resp)
	for ok {
		cause := c.abortCause(err)
		if !c.mayResume(err) {
			return n, cause
		}
		a.reportFailed(cause)
		var m int64
		m, err = c.continueFrom(want, n)
		n += m
		if err == nil {
			return n, nil
		}
	}
	return n, err
}

// mayResume reports whether another target may continue an interrupted
// response. A caller that disconnected or a passed deadline ends the request.
func (c *call) mayResume(err error) bool {
	var failed callerWriteError
	if errors.As(err, &failed) || !c.route.Idempotent || c.attempts >= maxAttempts || c.r.Context().Err() != nil {
		return false
	}
	cause := context.Cause(c.ctx)
	if cause != nil && !errors.Is(cause, errStalled) {
		return false
	}
	c.restartContext()
	return c.e.cfg.Budget.AllowRetry(c.route.Service.Name)
}

// restartContext replaces the context, which a stall may have cancelled.
func (c *call) restartContext() {
	c.cancel(nil)
	c.ctx, c.cancel = context.WithCancelCause(c.r.Context())
}

// continueFrom requests the rest of the range from another target and copies
// it. The response must be of the same representation and start at the next
// byte.
func (c *call) continueFrom(want byteRange, n int64) (int64, error) {
	next := want.first + n
	saved := c.r.Header
	c.r.Header = saved.Clone()
	c.r.Header.Set("Range", "bytes="+strconv.FormatInt(next, 10)+"-"+strconv.FormatInt(want.last, 10))
	c.r.Header.Set("If-Range", want.etag)
	a, err := c.attempt()
	c.r.Header = saved
	if err != nil {
		return 0, err
	}
	m, err := c.copyRest(a, want, next)
	a.end(err)
	return m, err
}

var errContentChanged = errors.New("target has another version of the content or another range of it")

func (c *call) copyRest(a *attempt, want byteRange, next int64) (int64, error) {
	got, ok := resumable(c.r, a.resp)
	same := got.etag == want.etag && got.first == next && got.last == want.last && got.total == want.total
	if !ok || !same || a.resp.StatusCode != http.StatusPartialContent {
		return 0, errContentChanged
	}
	wd := newWatchdog(c.route.StallTimeout, c.cancel)
	defer wd.stop()
	return copyBody(c.w, io.LimitReader(a.resp.Body, want.last-next+1), wd, true)
}
