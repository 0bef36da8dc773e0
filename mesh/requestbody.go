package mesh

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// requestBody notes when the body of a request has been read to its end.
type requestBody struct {
	io.ReadCloser
	ended atomic.Bool
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
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
	return &earlyAnswerWriter{ResponseWriter: w, body: body}, func() { r.Body = original }
}

// WriteHeader implements http.ResponseWriter.
func (w *earlyAnswerWriter) WriteHeader(status int) {
	if final := status >= 200; final && !w.wroteHeader {
		w.wroteHeader = true
		if !w.body.ended.Load() {
			w.Header().Set("Connection", "close")
		}
	}
	w.ResponseWriter.WriteHeader(status)
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
