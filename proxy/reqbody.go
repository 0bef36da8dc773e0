package proxy

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"hyssopbridge/resultcode"
)

// replayBytes is the largest request body that is read before a target is
// selected. A body in memory can be sent again on a retry, and a caller that
// sends slowly holds no slot.
const replayBytes = 64 << 10

// requestBody is a caller's request body: in memory, or a stream.
type requestBody struct {
	data     []byte        // the whole body unless stream is set
	stream   io.ReadCloser // rest of a body that is too large to hold
	length   int64         // -1 when unknown
	consumed atomic.Bool   // an attempt has read from the stream
	trailer  http.Header
}

// readBody reads the body of r up to hold bytes. A longer body, or one of
// unknown length that may go on for long, stays a stream behind what was read.
// Every read must make progress within idle.
func readBody(w http.ResponseWriter, r *http.Request, hold, limit int64, idle time.Duration) (*requestBody, error) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return &requestBody{}, nil
	}
	if r.ContentLength > limit {
		return nil, resultcode.New(resultcode.BodyTooLarge, "body of %d bytes exceeds %d", r.ContentLength, limit).NotRun()
	}
	src := &idleReader{rc: http.MaxBytesReader(w, r.Body, limit), ctl: http.NewResponseController(w), idle: idle}
	if r.ContentLength > hold {
		return &requestBody{stream: src, length: r.ContentLength, trailer: r.Trailer}, nil
	}
	if r.ContentLength < 0 && hold < limit {
		return &requestBody{stream: src, length: -1, trailer: r.Trailer}, nil
	}
	data, err := io.ReadAll(src)
	if err != nil {
		return nil, bodyError(err)
	}
	return &requestBody{data: data, length: int64(len(data)), trailer: r.Trailer}, nil
}

// bodyError maps a failed read of a body that no target has seen.
func bodyError(err error) error {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return resultcode.New(resultcode.BodyTooLarge, "%w", err).NotRun()
	case errors.Is(err, errBodyIdle):
		return resultcode.New(resultcode.BodyStalled, "%w", err).NotRun()
	default:
		return resultcode.New(resultcode.CallerGone, "read body: %w", err).NotRun()
	}
}

// replayable reports whether the body can be given to another attempt.
func (b *requestBody) replayable() bool { return b.stream == nil || !b.consumed.Load() }

// reader returns the body for one attempt.
func (b *requestBody) reader() io.ReadCloser {
	switch {
	case b.stream != nil:
		return &onFirstRead{rc: b.stream, mark: &b.consumed}
	case len(b.data) > 0:
		return io.NopCloser(bytes.NewReader(b.data))
	default:
		return http.NoBody
	}
}

// onFirstRead records that a stream has been touched.
type onFirstRead struct {
	rc   io.ReadCloser
	mark *atomic.Bool
}

func (o *onFirstRead) Read(p []byte) (int, error) {
	o.mark.Store(true)
	return o.rc.Read(p)
}

// Close leaves the stream open: the server closes it, and a later attempt may
// still need it.
func (o *onFirstRead) Close() error { return nil }

var errBodyIdle = errors.New("caller stopped sending the body")

// idleReader bounds the gap between reads of a caller's body.
type idleReader struct {
	rc   io.ReadCloser
	ctl  *http.ResponseController
	idle time.Duration
}

func (i *idleReader) Read(p []byte) (int, error) {
	deadlineErr := i.ctl.SetReadDeadline(time.Now().Add(i.idle))
	n, err := i.rc.Read(p)
	if deadlineErr == nil {
		_ = i.ctl.SetReadDeadline(time.Time{})
	}
	if err != nil && err != io.EOF && isTimeout(err) {
		return n, errBodyIdle
	}
	return n, err
}

func (i *idleReader) Close() error { return i.rc.Close() }

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}
