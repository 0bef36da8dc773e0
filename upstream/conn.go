package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"time"
)

const bufferBytes = 16 << 10

var (
	errHeaderTooLarge = errors.New("response header section is too large")
	errHeaderLines    = errors.New("response header section has too many lines")
)

// conn is a connection with its buffers. At most one exchange uses it at a time.
type conn struct {
	net.Conn
	addr      string
	br        *bufio.Reader
	bw        *bufio.Writer
	header    headerLimiter
	idleSince time.Time
	keepAlive time.Duration // idle timeout announced by the server; 0 if none

	// writing holds a value during a write. It is no sync.Mutex because a wait
	// for one does not let the time of testing/synctest pass.
	writing     chan struct{}
	written     int64 // bytes written in the current exchange; guarded by writing
	writeFailed bool  // a write of the connection returned an error; guarded by writing
	writesEnded bool  // guarded by writing
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

func newConn(c net.Conn, addr string, limits HeaderLimits) *conn {
	cn := &conn{Conn: c, addr: addr, writing: make(chan struct{}, 1)}
	cn.header.r, cn.header.limits = c, limits
	cn.br = bufio.NewReaderSize(&cn.header, bufferBytes)
	cn.bw = bufio.NewWriterSize(countingWriter{cn}, bufferBytes)
	return cn
}

func (c *conn) lockWrites()   { c.writing <- struct{}{} }
func (c *conn) unlockWrites() { <-c.writing }

// beginWrites starts the count of bytes written for an exchange.
func (c *conn) beginWrites() {
	c.lockWrites()
	defer c.unlockWrites()
	c.written = 0
}

// endWrites forbids further writes and returns the number of bytes that the
// current exchange has written. The connection must be closed, which ends a write in progress.
// The server may have received the bytes of that write long before it returns.
func (c *conn) endWrites() (written int64) {
	c.lockWrites()
	defer c.unlockWrites()
	c.writesEnded = true
	return c.written
}

// countingWriter counts the bytes written to its connection.
type countingWriter struct{ c *conn }

func (w countingWriter) Write(p []byte) (int, error) {
	w.c.lockWrites()
	defer w.c.unlockWrites()
	if w.c.writesEnded {
		return 0, errAborted
	}
	n, err := w.c.Conn.Write(p)
	w.c.written += int64(n)
	w.c.writeFailed = w.c.writeFailed || err != nil
	return n, err
}

// hasFailedWrite reports whether a write failed or was forbidden. Otherwise an
// error of sending is one of the request's body.
func (c *conn) hasFailedWrite() bool {
	c.lockWrites()
	defer c.unlockWrites()
	return c.writeFailed || c.writesEnded
}

// codingField is the start of a line that states a transfer coding.
const codingField = "Transfer-Encoding:"

// headerLimiter bounds the bytes and lines of a header section while it is read,
// and tells what http.ReadResponse leaves out.
type headerLimiter struct {
	r         io.Reader
	limits    HeaderLimits
	parsing   bool // a header section is being parsed
	complete  bool // the empty line at its end has been read
	lineEmpty bool // the current line has no byte yet except for carriage returns
	lineStart [len(codingField)]byte
	lineBytes int  // of the current line
	coded     bool // a field states a transfer coding
	folded    bool // a line begins with a blank, so that it continues the one before
	lines     int
	bytes     int
	exceeded  error // the limit that the header section exceeds; nil if none
}

// Read implements io.Reader.
func (h *headerLimiter) Read(p []byte) (int, error) {
	if h.parsing && h.complete {
		h.exceeded = errHeaderTooLarge // the parser did not take the empty line for the end
	}
	if h.exceeded != nil {
		return 0, h.exceeded
	}
	n, err := h.r.Read(p)
	if h.count(p[:n]); h.exceeded != nil {
		return 0, h.exceeded
	}
	return n, err
}

// begin starts a header section, of which buffered has been read before.
func (h *headerLimiter) begin(buffered []byte) {
	h.parsing, h.complete, h.lineEmpty, h.lines, h.bytes = true, false, true, 0, 0
	h.lineBytes, h.coded, h.folded = 0, false, false
	h.count(buffered)
}

// end states that the header section has been parsed.
func (h *headerLimiter) end() { h.parsing = false }

// count counts the bytes and lines of the header section in b. What follows the
// empty line at its end does not count.
func (h *headerLimiter) count(b []byte) {
	for h.parsing && !h.complete && len(b) > 0 {
		line, rest, lineComplete := bytes.Cut(b, []byte{'\n'})
		h.bytes += len(b) - len(rest)
		if h.bytes > h.limits.Bytes {
			h.exceeded = errHeaderTooLarge
			return
		}
		h.lineEmpty = h.lineEmpty && len(bytes.Trim(line, "\r")) == 0
		if h.lines > 0 && h.lineBytes == 0 && len(line) > 0 && (line[0] == ' ' || line[0] == '\t') {
			h.folded = true
		}
		if h.lineBytes < len(codingField) {
			copy(h.lineStart[h.lineBytes:], line)
		}
		if h.lineBytes += len(line); h.lineBytes >= len(codingField) {
			h.coded = h.coded || strings.EqualFold(string(h.lineStart[:]), codingField)
		}
		if !lineComplete {
			return
		}
		if h.lines++; h.lines > h.limits.Lines {
			h.exceeded = errHeaderLines
			return
		}
		h.complete = h.lineEmpty
		b, h.lineEmpty, h.lineBytes = rest, true, 0
	}
}

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
