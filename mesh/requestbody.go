package mesh

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// maxDiscardedBody and discardTimeout bound the body that is read and thrown
	// away so that the connection of a refused request can be kept: a body of that
	// size has usually arrived with its head.
	maxDiscardedBody = 16 << 10
	discardTimeout   = 20 * time.Millisecond
)

// requestBody notes how far the body of a request has been read.
type requestBody struct {
	io.ReadCloser
	begun, ended atomic.Bool
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	b.begun.Store(true)
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.ended.Store(true)
	}
	return n, err
}

// earlyAnswerWriter closes the connection after an answer that is written before
// the request's body has ended. net/http would otherwise hold the answer back
// until it has read up to 256 KiB of the rest. Concurrent reading and writing
// (EnableFullDuplex) is no alternative: with it, net/http takes what arrives of
// the body later for the next request.
type earlyAnswerWriter struct {
	http.ResponseWriter
	body        *requestBody
	mayDiscard  bool // reading the body does not ask the caller to send it
	wroteHeader bool
}

// answerEarly returns a writer whose answer does not wait for the end of the
// request's body, and bounds the time for which the body is read until its reader
// sets a deadline of its own. restore must be called when the request has been
// served: net/http has to find its own body to close the connection in order.
func answerEarly(w http.ResponseWriter, r *http.Request) (answer http.ResponseWriter, restore func()) {
	if r.Body == nil || r.Body == http.NoBody {
		return w, func() {}
	}
	// The connection is closed if this fails.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTimeout))
	original := r.Body
	body := &requestBody{ReadCloser: original}
	r.Body = body
	mayDiscard := r.Header.Get("Expect") == ""
	return &earlyAnswerWriter{ResponseWriter: w, body: body, mayDiscard: mayDiscard}, func() { r.Body = original }
}

// WriteHeader implements http.ResponseWriter.
func (w *earlyAnswerWriter) WriteHeader(status int) {
	if final := status >= 200; final && !w.wroteHeader {
		w.wroteHeader = true
		w.discardSmallBody()
		if !w.body.ended.Load() {
			w.Header().Set("Connection", "close")
		}
	}
	w.ResponseWriter.WriteHeader(status)
}

// discardSmallBody reads a small body that nobody reads. One that is being read
// by another goroutine is left to it.
func (w *earlyAnswerWriter) discardSmallBody() {
	if !w.mayDiscard || w.body.begun.Load() {
		return
	}
	control := http.NewResponseController(w.ResponseWriter)
	if control.SetReadDeadline(time.Now().Add(discardTimeout)) != nil {
		return // the connection is closed
	}
	_, _ = io.CopyN(io.Discard, w.body, maxDiscardedBody+1) // the connection is closed unless this reaches the end
	if !w.body.ended.Load() {
		// net/http reads on after the answer, so that the caller gets it before the
		// connection is reset.
		_ = control.SetReadDeadline(time.Now().Add(unreadBodyTimeout))
	}
}

// Write implements io.Writer.
func (w *earlyAnswerWriter) Write(p []byte) (int, error) {
	if !w.wroteHeader {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(p)
}

// ReadFrom implements io.ReaderFrom, so that a copy uses the buffers of net/http.
func (w *earlyAnswerWriter) ReadFrom(r io.Reader) (int64, error) {
	if !w.wroteHeader {
		w.WriteHeader(http.StatusOK)
	}
	return io.Copy(w.ResponseWriter, r)
}

// Unwrap returns the writer for http.ResponseController.
func (w *earlyAnswerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
