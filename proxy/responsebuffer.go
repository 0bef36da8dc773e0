package proxy

import (
	"net/http"

	"hyssopbridge/once"
)

// responseBuffer buffers the response to a keyed request until it is complete,
// so that a partial response is never stored. A response that is too large to
// store is passed on as it arrives.
type responseBuffer struct {
	w           http.ResponseWriter
	header      http.Header
	status      int
	body        []byte
	passThrough bool // writes go directly to w
	writeErr    error
}

// Header implements http.ResponseWriter.
func (b *responseBuffer) Header() http.Header {
	if b.passThrough {
		return b.w.Header()
	}
	if b.header == nil {
		b.header = http.Header{}
	}
	return b.header
}

// WriteHeader implements http.ResponseWriter.
func (b *responseBuffer) WriteHeader(status int) { b.status = status }

// Write implements http.ResponseWriter.
func (b *responseBuffer) Write(p []byte) (int, error) {
	if !b.passThrough && len(b.body)+len(p) <= once.DefaultMaxResponse {
		b.body = append(b.body, p...)
		return len(p), nil
	}
	if !b.passThrough {
		b.flush()
		b.passThrough = true
	}
	if b.writeErr == nil {
		_, b.writeErr = b.w.Write(p)
	}
	// The request continues for its record even if the caller disconnected.
	return len(p), nil
}

// answer returns the response to store, or nil if it was passed on unbuffered.
func (b *responseBuffer) answer() *once.Response {
	if b.passThrough {
		return nil
	}
	kept := b.header.Clone()
	for _, name := range []string{RequestIDHeader, HeaderRequestID, HeaderResult} {
		delete(kept, name)
	}
	return &once.Response{Status: b.status, Header: kept, Body: b.body}
}

// flush sends the buffered response to w.
func (b *responseBuffer) flush() {
	if b.passThrough {
		return
	}
	copyHeader(b.w.Header(), b.header)
	b.w.WriteHeader(b.status)
	_, b.writeErr = b.w.Write(b.body)
}
