package upstream

import (
	"bufio"
	"errors"
	"io"
	"math"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	bufferBytes = 16 << 10
	// maxHeaderBytes bounds the status line and header section of a response.
	// A node may wait for as many responses as its target has slots and places in
	// its queue, and holds up to this much of each.
	maxHeaderBytes = 128 << 10
)

// errHeaderTooLarge is returned if a response header exceeds maxHeaderBytes.
var errHeaderTooLarge = errors.New("response header section is too large")

// conn is a connection with its buffers. At most one exchange uses it at a time.
type conn struct {
	net.Conn
	addr      string
	br        *bufio.Reader
	bw        *bufio.Writer
	header    headerLimiter
	written   atomic.Int64 // bytes written in the current exchange
	idleSince time.Time
	keepAlive time.Duration // idle timeout announced by the server; 0 if none
}

// reusable reports whether the connection may carry another request. It requires
// an idle time well below the timeout that the server announced, so that the
// server does not close the connection while the request is on its way.
func (c *conn) reusable(maxIdleAge time.Duration) bool {
	age := time.Since(c.idleSince)
	if c.keepAlive > 0 && age > c.keepAlive/2 {
		return false
	}
	return age <= maxIdleAge && c.usable()
}

func newConn(c net.Conn, addr string) *conn {
	cn := &conn{Conn: c, addr: addr}
	cn.header.r = c
	cn.br = bufio.NewReaderSize(&cn.header, bufferBytes)
	cn.bw = bufio.NewWriterSize(countingWriter{cn}, bufferBytes)
	return cn
}

// countingWriter counts the bytes written to its connection.
type countingWriter struct{ c *conn }

func (w countingWriter) Write(p []byte) (int, error) {
	n, err := w.c.Conn.Write(p)
	w.c.written.Add(int64(n))
	return n, err
}

// headerLimiter bounds the bytes read while a header section is parsed.
type headerLimiter struct {
	r    io.Reader
	left int64
}

func (h *headerLimiter) Read(p []byte) (int, error) {
	if h.left <= 0 {
		return 0, errHeaderTooLarge
	}
	n, err := h.r.Read(p)
	h.left -= int64(n)
	return n, err
}

func (h *headerLimiter) limit()   { h.left = maxHeaderBytes }
func (h *headerLimiter) unlimit() { h.left = math.MaxInt64 }

// usable reports whether an idle connection is still open and has no unread
// data. Data that arrives between exchanges belongs to no request; the
// connection must be closed so that the next request does not receive it.
func (c *conn) usable() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	sc, ok := rawConn(c.Conn)
	if !ok {
		return true
	}
	alive := false
	err := sc.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		alive = n <= 0 && (err == syscall.EAGAIN || err == syscall.EWOULDBLOCK)
		return true
	})
	return err == nil && alive
}

func rawConn(c net.Conn) (syscall.RawConn, bool) {
	if t, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = t.NetConn()
	}
	sc, ok := c.(syscall.Conn)
	if !ok {
		return nil, false
	}
	raw, err := sc.SyscallConn()
	return raw, err == nil
}
