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
	// maxHeadBytes bounds the status line and header section of an answer.
	maxHeadBytes = 1 << 20
)

// errHeadTooLarge is returned when an answer's header section exceeds maxHeadBytes.
var errHeadTooLarge = errors.New("header section of the answer is too large")

// conn is one connection with its buffers. One exchange uses it at a time.
type conn struct {
	net.Conn
	addr      string
	br        *bufio.Reader
	bw        *bufio.Writer
	head      headLimiter
	written   atomic.Int64 // bytes written in the current exchange
	idleSince time.Time
	keepAlive time.Duration // idle timeout that the server stated; 0 if none
}

// reusable reports whether the connection may carry another request. It stays
// well below the server's stated idle timeout, so that the request does not
// cross the server's close.
func (c *conn) reusable(maxIdleAge time.Duration) bool {
	age := time.Since(c.idleSince)
	if c.keepAlive > 0 && age > c.keepAlive/2 {
		return false
	}
	return age <= maxIdleAge && c.usable()
}

func newConn(c net.Conn, addr string) *conn {
	cn := &conn{Conn: c, addr: addr}
	cn.head.r = c
	cn.br = bufio.NewReaderSize(&cn.head, bufferBytes)
	cn.bw = bufio.NewWriterSize(countingWriter{cn}, bufferBytes)
	return cn
}

type countingWriter struct{ c *conn }

func (w countingWriter) Write(p []byte) (int, error) {
	n, err := w.c.Conn.Write(p)
	w.c.written.Add(int64(n))
	return n, err
}

// headLimiter bounds what is read while the header section is parsed.
type headLimiter struct {
	r    io.Reader
	left int64
}

func (h *headLimiter) Read(p []byte) (int, error) {
	if h.left <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := h.r.Read(p)
	h.left -= int64(n)
	return n, err
}

func (h *headLimiter) limit()   { h.left = maxHeadBytes }
func (h *headLimiter) unlimit() { h.left = math.MaxInt64 }

// usable reports whether an idle connection is still open and silent. Bytes
// that arrive between exchanges belong to no request, so the connection is
// closed instead of giving them to the next one.
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
