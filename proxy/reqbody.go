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

// maxBufferedBodyBytes is the size of the largest request body that is read into
// memory before a target is selected. Such a body can be sent again on a retry,
// and a caller that sends it slowly occupies no slot.
const maxBufferedBodyBytes = 64 << 10

// requestBody is a caller's request body, either in memory or a stream.
type requestBody struct {
	data     []byte        // the whole body unless stream is set
	stream   io.ReadCloser // a body that is too large for memory or of unknown length
	length   int64         // -1 when unknown
	consumed atomic.Bool   // an attempt has read from the stream
	trailer  http.Header
}

// readBody reads the body of r into memory if it has at most bufferLimit bytes.
// A longer body becomes a stream, as does one of unknown length if bufferLimit
// is less than limit, the largest permitted size. Every read must return data
// within idle.
func readBody(w http.ResponseWriter, r *http.Request, bufferLimit, limit int64, idle time.Duration) (*requestBody, error) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return &requestBody{}, nil
	}
	if r.ContentLength > limit {
		return nil, resultcode.New(resultcode.BodyTooLarge, "body of %d bytes exceeds the limit of %d", r.ContentLength, limit).NotRun()
	}
	src := &idleReader{rc: http.MaxBytesReader(w, r.Body, limit), ctl: http.NewResponseController(w), idle: idle}
	if r.ContentLength > bufferLimit {
		return &requestBody{stream: src, length: r.ContentLength, trailer: r.Trailer}, nil
	}
	if r.ContentLength < 0 && bufferLimit < limit {
		return &requestBody{stream: src, length: -1, trailer: r.Trailer}, nil
	}
	data, err := io.ReadAll(src)
	if err != nil {
		return nil, bodyError(err)
	}
	return &requestBody{data: data, length: int64(len(data)), trailer: r.Trailer}, nil
}

// bodyError maps an error of reading a body of which nothing was sent to a target.
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

// replayable reports whether another attempt can send the body.
func (b *requestBody) replayable() bool { return b.stream == nil || !b.consumed.Load() }

// reader returns the body for one attempt.
func (b *requestBody) reader() io.ReadCloser {
	switch {
	case b.stream != nil:
		return &trackingReader{rc: b.stream, consumed: &b.consumed}
	case len(b.data) > 0:
		return io.NopCloser(bytes.NewReader(b.data))
	default:
		return http.NoBody
	}
}

// trackingReader records whether anything was read from a stream.
type trackingReader struct {
	rc       io.ReadCloser
	consumed *atomic.Bool
}

func (t *trackingReader) Read(p []byte) (int, error) {
	t.consumed.Store(true)
	return t.rc.Read(p)
}

// Close leaves the stream open: the server closes it, and a later attempt may
// still need it.
func (t *trackingReader) Close() error { return nil }

var errBodyIdle = errors.New("caller stopped sending the body")

// idleReader limits how long a read of a caller's body may wait for data.
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
