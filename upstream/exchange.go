package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// maxInformational bounds the 1xx responses before the final one.
	maxInformational = 8
	// maxErrorText bounds the text of an error that quotes the server's data.
	maxErrorText = 300
)

var (
	errSwitching     = errors.New("server switched protocols")
	errInformational = errors.New("too many 1xx responses")
	errAborted       = errors.New("exchange ended before the request was sent")
)

// Options modifies an exchange.
type Options struct {
	// Stream sends the body while the response is read. Without it, the whole
	// body is sent before the response is read.
	Stream bool
	// ExpectContinue sends the body only after the server has asked for it with a
	// 100 response, so that a refusal leaves the body unread. It implies Stream.
	ExpectContinue bool
	// MaxIdleAge limits reuse to connections idle for at most this long. A short
	// time makes it unlikely that the server closes the connection just as the
	// request is sent. 0 means the client's idle timeout.
	MaxIdleAge time.Duration
	// Fresh opens a connection for the request, so that no earlier request can
	// have caused the response.
	Fresh bool
	// Matches reports whether a response belongs to the request. A faulty server
	// may send a late or duplicate response in place of the expected one. A
	// response that does not match is read to its end and discarded, and the
	// connection is not reused. fresh is set for the first response on a new
	// connection, which no earlier request can have caused. nil accepts every
	// response.
	Matches func(r *http.Response, fresh bool) bool
	// OnInformational is called with the header of each 1xx response. nil ignores
	// them.
	OnInformational func(h http.Header)
	// Trace receives the connection of the exchange. It may be nil.
	Trace *Trace
}

// Trace describes the connection of an exchange, for logs.
type Trace struct {
	LocalAddr net.Addr // nil if no connection was made
	Reused    bool     // the connection carried an earlier exchange
	Written   int64    // bytes of the request that were written, if the exchange failed
}

const (
	// maxMismatched bounds the mismatched responses that an exchange discards.
	maxMismatched = 3
	// maxMismatchedBytes bounds the body of a mismatched response.
	maxMismatchedBytes = 1 << 20
)

var errMismatched = errors.New("received only responses to other requests")

// exchange is a request and its response on one connection.
type exchange struct {
	client     *Client
	conn       *conn
	stop       func() bool   // stops watching the context
	sendDone   chan struct{} // closed when sending the request has ended
	sendErr    error         // valid after sendDone is closed
	gate       *gate         // nil unless ExpectContinue
	reused     bool          // the connection has carried an earlier exchange
	mismatched bool          // a response to another request arrived
	once       sync.Once
}

// Do sends req to addr and returns the response once its header section has
// arrived. The caller must read Body to its end or close it. ctx bounds the whole
// exchange including the body. The error is an *Error.
func (c *Client) Do(ctx context.Context, addr string, req *http.Request, opt Options) (*http.Response, error) {
	trace := opt.Trace
	if trace == nil {
		trace = &Trace{}
	}
	for {
		*trace = Trace{}
		cn, reused, err := c.get(ctx, addr, opt)
		if err != nil {
			return nil, &Error{Stage: NotSent, Addr: addr, Err: cause(ctx, err)}
		}
		trace.LocalAddr, trace.Reused = cn.LocalAddr(), reused
		x := &exchange{client: c, conn: cn, reused: reused}
		resp, err := x.run(ctx, req, opt)
		if err == nil {
			return resp, nil
		}
		x.finish(false)
		trace.Written = cn.endWrites()
		nothingSent := trace.Written == 0
		if nothingSent && reused && ctx.Err() == nil && !opt.bodyMayBeConsumed(req) {
			continue // the server closed the idle connection
		}
		stage := Sent
		if nothingSent {
			stage = NotSent
		}
		return nil, &Error{Stage: stage, Addr: addr, Err: cause(ctx, err)}
	}
}

// bodyMayBeConsumed reports whether a failed attempt may have read the body.
func (o Options) bodyMayBeConsumed(req *http.Request) bool {
	return req.Body != nil && req.Body != http.NoBody
}

// cause returns err, or, if ctx has ended, an error that wraps the cause of its
// end and mentions err.
func cause(ctx context.Context, err error) error {
	if c := context.Cause(ctx); c != nil {
		return fmt.Errorf("%w (%v)", c, err)
	}
	return err
}

func (x *exchange) run(ctx context.Context, req *http.Request, opt Options) (*http.Response, error) {
	x.conn.beginWrites()
	x.stop = context.AfterFunc(ctx, func() { _ = x.conn.SetDeadline(time.Unix(1, 0)) })
	x.sendDone = make(chan struct{})
	if err := ctx.Err(); err != nil {
		// The deadline above may be set only after the first write.
		return nil, err
	}
	hasBody := req.Body != nil && req.Body != http.NoBody
	switch {
	case hasBody && (opt.Stream || opt.ExpectContinue):
		if opt.ExpectContinue {
			x.gate = newGate(req.Body)
			req.Body = x.gate
			req.Header.Set("Expect", "100-continue")
		}
		go x.send(req)
	default:
		x.send(req)
		if x.sendErr != nil {
			return nil, x.sendErr
		}
	}
	resp, err := x.receiveMatching(req, opt)
	if err != nil {
		return nil, x.preferSendError(err)
	}
	x.conn.keepAlive = keepAliveTimeout(resp.Header)
	resp.Body = &body{x: x, resp: resp, rc: resp.Body, empty: resp.Body == http.NoBody, unframed: isUnframed(resp), reuse: !resp.Close && !x.mismatched}
	return resp, nil
}

// send sends the request. If its body fails, the exchange ends, since the server
// may otherwise wait for the rest of the body until the context ends. If a write
// fails, the response is still awaited: the server may have sent it before it
// closed the connection.
func (x *exchange) send(req *http.Request) {
	err := req.Write(x.conn.bw)
	if err == nil {
		err = x.conn.bw.Flush()
	}
	x.sendErr = err
	close(x.sendDone)
	if err != nil && !x.conn.hasFailedWrite() {
		_ = x.conn.SetDeadline(time.Unix(1, 0)) // fails only on a closed connection
	}
}

// isUnframed reports whether only the end of its connection ends a response.
func isUnframed(r *http.Response) bool {
	return r.Body != http.NoBody && r.ContentLength < 0 && len(r.TransferEncoding) == 0
}

// confirmEnd returns an error if a reset may have ended the connection. The system
// reports a reset only once, to a read or a write. After a write of the request got
// the error, reads return io.EOF as after an orderly close. confirmEnd therefore
// waits until the request has been sent, at most until the context ends.
func (x *exchange) confirmEnd() error {
	<-x.sendDone
	if x.sendErr != nil {
		return fmt.Errorf("%w: connection ended while the request was sent: %v", io.ErrUnexpectedEOF, x.sendErr)
	}
	return nil
}

// preferSendError returns the error of sending, if there is one, in place of the
// error of receiving, since it is usually the cause.
func (x *exchange) preferSendError(err error) error {
	select {
	case <-x.sendDone:
		if x.sendErr != nil && !errors.Is(x.sendErr, errAborted) {
			return x.sendErr
		}
	default:
	}
	return err
}

// receiveMatching returns the first response that belongs to the request.
func (x *exchange) receiveMatching(req *http.Request, opt Options) (*http.Response, error) {
	for range maxMismatched {
		resp, err := x.receive(req, opt.OnInformational)
		if err != nil || opt.Matches == nil || opt.Matches(resp, !x.reused && !x.mismatched) {
			return resp, err
		}
		x.mismatched = true
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxMismatchedBytes+1))
		if err != nil {
			return nil, shortened(unexpectedEOF(err))
		}
		if n > maxMismatchedBytes {
			return nil, errMismatched
		}
	}
	return nil, errMismatched
}

// keepAliveTimeout returns the idle timeout that the server announced, or 0.
func keepAliveTimeout(h http.Header) time.Duration {
	_, after, ok := strings.Cut(h.Get("Keep-Alive"), "timeout=")
	if !ok {
		return 0
	}
	seconds, err := strconv.Atoi(strings.TrimSpace(strings.SplitN(after, ",", 2)[0]))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// receive returns the next final response.
func (x *exchange) receive(req *http.Request, onInformational func(http.Header)) (*http.Response, error) {
	for range maxInformational {
		buffered, _ := x.conn.br.Peek(x.conn.br.Buffered()) // never fails for what is buffered
		x.conn.header.begin(buffered)
		resp, err := http.ReadResponse(x.conn.br, req)
		if exceeded := x.conn.header.exceeded; exceeded != nil {
			return nil, exceeded
		}
		if err != nil {
			return nil, shortened(unexpectedEOF(err))
		}
		x.conn.header.end()
		if err := checkHead(resp, &x.conn.header); err != nil {
			return nil, err
		}
		switch {
		case resp.StatusCode == http.StatusSwitchingProtocols:
			return nil, errSwitching
		case resp.StatusCode >= 200:
			return resp, nil
		case resp.StatusCode == http.StatusContinue && x.gate != nil:
			x.gate.open()
		case onInformational != nil:
			onInformational(resp.Header)
		}
	}
	return nil, errInformational
}

// shortened returns err, or an error with the beginning of its text if the text
// is long: net/http quotes a malformed line whole.
func shortened(err error) error {
	text := err.Error()
	if len(text) <= maxErrorText {
		return err
	}
	return fmt.Errorf("%s... (%d bytes)", text[:maxErrorText], len(text))
}

func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// finish ends the exchange. If reuse is set and the request was sent completely,
// it returns the connection to the pool; otherwise it closes the connection.
func (x *exchange) finish(reuse bool) {
	x.once.Do(func() {
		if x.gate != nil {
			x.gate.abort()
		}
		requestSent := false
		select {
		case <-x.sendDone:
			requestSent = x.sendErr == nil
		default:
		}
		if x.stop() && reuse && requestSent {
			x.client.put(x.conn)
			return
		}
		x.conn.Close()
	})
}

// body is a response body that ends the exchange once it is read or closed.
type body struct {
	x        *exchange
	resp     *http.Response // for its trailer, which is complete at the end of rc
	rc       io.ReadCloser
	empty    bool
	unframed bool // the end of the connection ends the body
	reuse    bool // the connection may be reused after a complete response
}

// Read implements io.Reader. A truncated body returns io.ErrUnexpectedEOF.
// Reading the response also releases a request body that waits for a 100
// response: a server that has begun its final response no longer sends one, and
// the rest of the response may depend on the request body.
func (b *body) Read(p []byte) (int, error) {
	if b.x.gate != nil {
		b.x.gate.open()
	}
	n, err := b.rc.Read(p)
	if err == io.EOF {
		err = b.checkEnd()
	}
	if err != nil {
		b.x.finish(err == io.EOF && b.reuse)
	}
	if err != nil && err != io.EOF {
		err = shortened(b.x.preferSendError(err))
	}
	return n, err
}

// checkEnd returns io.EOF if the body is complete.
func (b *body) checkEnd() error {
	if b.unframed {
		if err := b.x.confirmEnd(); err != nil {
			return err
		}
	}
	if err := checkFieldNames(b.resp.Trailer); err != nil {
		return fmt.Errorf("trailer: %w", err)
	}
	return io.EOF
}

// Close implements io.Closer. If the body was not read to its end, Close closes
// the connection, which cancels the request at the server.
func (b *body) Close() error {
	b.x.finish(b.empty && b.reuse)
	return nil
}
