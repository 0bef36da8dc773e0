package proxy

import (
	"net/http"

	"hyssopbridge/once"
)

// answerBuffer holds the answer to a keyed order until it is whole, so that a
// stored answer is never a part of one. An answer that is too large to keep is
// passed on as it arrives.
type answerBuffer struct {
	w       http.ResponseWriter
	header  http.Header
	status  int
	body    []byte
	passing bool // the answer goes straight to w
	failed  error
}

// Header implements http.ResponseWriter.
func (b *answerBuffer) Header() http.Header {
	if b.passing {
		return b.w.Header()
	}
	if b.header == nil {
		b.header = http.Header{}
	}
	return b.header
}

// WriteHeader implements http.ResponseWriter.
func (b *answerBuffer) WriteHeader(status int) { b.status = status }

// Write implements http.ResponseWriter.
func (b *answerBuffer) Write(p []byte) (int, error) {
	if !b.passing && len(b.body)+len(p) <= once.DefaultMaxAnswer {
		b.body = append(b.body, p...)
		return len(p), nil
	}
	if !b.passing {
		b.flush()
		b.passing = true
	}
	if b.failed == nil {
		_, b.failed = b.w.Write(p)
	}
	// The order goes on for its record even when the caller has left.
	return len(p), nil
}

// answer returns what the record keeps; nil for an answer that was passed on.
func (b *answerBuffer) answer() *once.Answer {
	if b.passing {
		return nil
	}
	kept := b.header.Clone()
	for _, name := range []string{RequestIDHeader, HeaderRequestID, HeaderResult} {
		delete(kept, name)
	}
	return &once.Answer{Status: b.status, Header: kept, Body: b.body}
}

// flush sends what is held.
func (b *answerBuffer) flush() {
	if b.passing {
		return
	}
	copyHeader(b.w.Header(), b.header)
	b.w.WriteHeader(b.status)
	_, b.failed = b.w.Write(b.body)
}
