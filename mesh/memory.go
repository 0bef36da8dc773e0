package mesh

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"hyssopbridge/limits"
	"hyssopbridge/resultcode"
	"hyssopbridge/upstream"
)

// Resources is what the process may use. Zero values stand for defaults.
type Resources struct {
	MemoryBytes int64 // default 256 MiB
	Sockets     int   // open sockets; default DefaultSockets
}

// DefaultSockets is how many sockets a process may open if that is not set.
const DefaultSockets = 3900

const (
	defaultMemoryBytes = 256 << 20

	// bodyShare is the fraction of the memory that bodies may hold. The rest is for
	// connections, the state of the fleet and garbage that is not yet collected.
	bodyShare = 0.25
	// connShare is the fraction of the memory that callers' connections may hold.
	connShare = 0.25
	// connBytes is what a caller's connection holds with a request in progress: its
	// buffers and goroutines, those of the connection to the target or host node,
	// and a small body.
	connBytes = 48 << 10
	// smallBody is the size up to which a body is not charged to the budget, since
	// the limit on connections bounds small bodies. Such bodies are never refused
	// for lack of memory.
	smallBody = 16 << 10
	// streamBytes is what a stream holds in the buffers of its connections.
	streamBytes = 64 << 10

	// Fractions of the sockets. The remainder is for the listeners, the store and
	// the ports of the platform.
	callerSockets   = 0.3
	nodeSockets     = 0.25
	outgoingSockets = 0.35
	// perAddress is the fraction of a limit on connections that one remote address
	// may hold.
	perAddress = 0.75

	// targetShare is the fraction of the memory that the request bodies in flight to
	// the target of this host may hold there. The host has little more memory than
	// the node, and the target's own needs come first.
	targetShare = 0.25

	// unreadBodyTimeout is how long the rest of a body is read whose request was
	// answered early.
	unreadBodyTimeout = 3 * time.Second
)

// withDefaults returns r without zero values.
func (r Resources) withDefaults() Resources {
	if r.MemoryBytes <= 0 {
		r.MemoryBytes = defaultMemoryBytes
	}
	if r.Sockets <= 0 {
		r.Sockets = DefaultSockets
	}
	return r
}

// resources bounds the memory and sockets that callers, nodes and targets take.
type resources struct {
	// now is monotonic. A clock that includes suspensions costs a system call, and a
	// suspension says nothing about how far a transfer is behind.
	now      func() time.Duration
	memory   *limits.Memory
	callers  *limits.ConnGuard
	nodes    *limits.ConnGuard
	outgoing *limits.ConnLimiter
	// atTarget bounds the bodies in flight to the target of this host.
	atTarget *limits.Memory
	// closeIdle closes idle outgoing connections.
	closeIdle func()
	log       *eventLog
	metrics   *metrics
}

func newResources(r Resources, log *eventLog, m *metrics) *resources {
	r = r.withDefaults()
	started := time.Now()
	now := func() time.Duration { return time.Since(started) }
	s := &resources{
		now:      now,
		outgoing: limits.NewConnLimiter(int(outgoingSockets * float64(r.Sockets))),
		log:      log, metrics: m,
	}
	budget := func(share float64) *limits.Memory {
		return limits.NewMemory(int64(share*float64(r.MemoryBytes)), now, func(held int64, behind time.Duration) {
			m.count(metricMemoryRevoked)
			log.memoryRevoked(held, behind)
		})
	}
	s.memory, s.atTarget = budget(bodyShare), budget(targetShare)
	guard := func(name string, total int) *limits.ConnGuard {
		return limits.NewConnGuard(total, int(perAddress*float64(total)), 0, now, func(action, ip string) {
			m.count(metricConnLimit + "." + name + "_" + action)
			log.connectionLimit(name, action, ip)
		})
	}
	s.callers = guard("callers", min(int(callerSockets*float64(r.Sockets)), int(connShare*float64(r.MemoryBytes)/connBytes)))
	s.nodes = guard("nodes", int(nodeSockets*float64(r.Sockets)))
	return s
}

// Names of the metrics of limits.
const (
	metricMemoryRevoked = "mesh_memory_revoked_total"
	metricMemoryRefused = "mesh_memory_refused_total"
	metricConnLimit     = "mesh_connection_limit_total"
)

// openAccount returns an account for one body, or nil if nothing bounds memory.
func (s *resources) openAccount() *limits.MemoryAccount {
	if s == nil {
		return nil
	}
	return s.memory.Open()
}

// acquireAtTarget counts the bytes of a request body that is sent to the target,
// until the account is closed. It reports false if the target has enough in
// flight. Small bodies do not count, so that a large one does not keep them out.
func (s *resources) acquireAtTarget(q *request) (*limits.MemoryAccount, bool) {
	size := q.size()
	if s == nil || (q.rest == nil && size <= smallBody) {
		return nil, true
	}
	account := s.atTarget.Open()
	if !account.TakeIfIdle(size) && !account.TryTake(size) {
		return nil, false
	}
	if q.rest == nil {
		return account, true
	}
	if q.restLen < 0 {
		q.rest.onRead = account.Force // the length shows only while the body is sent
	}
	if c := q.rest.conn; c != nil {
		account.SetTransfer(&c.Body, c.CutReads)
	}
	return account, true
}

// refuse counts a request that is refused for lack of memory.
func (s *resources) refuse(err error) *resultcode.Error {
	s.metrics.count(metricMemoryRefused)
	return notRun(resultcode.MemoryLimit, "%w", err)
}

// outgoingFull reports whether no further outgoing connection can be opened.
func (s *resources) outgoingFull() bool {
	if s.outgoing.Full() {
		s.closeIdle()
	}
	return s.outgoing.Full()
}

// limitDial returns a dial function whose connections count as outgoing.
func (s *resources) limitDial(dial upstream.DialFunc) upstream.DialFunc {
	return func(ctx context.Context, addr string) (net.Conn, error) {
		if err := s.outgoing.Acquire(); err != nil {
			s.closeIdle()
			if err := s.outgoing.Acquire(); err != nil {
				s.metrics.count(metricConnLimit + ".outgoing_refused")
				s.log.connectionLimit("outgoing", "refused", addr)
				return nil, err
			}
		}
		c, err := dial(ctx, addr)
		if err != nil {
			s.outgoing.Release()
			return nil, err
		}
		return &countedConn{Conn: c, release: s.outgoing.Release}, nil
	}
}

// countedConn calls release when it is closed.
type countedConn struct {
	net.Conn
	release func()
	once    sync.Once
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.once.Do(c.release)
	return c.Conn.Close()
}

// NetConn returns the underlying connection.
func (c *countedConn) NetConn() net.Conn { return c.Conn }

func dialTarget(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{Control: setReceiveBuffer}
	return d.DialContext(ctx, "tcp", addr)
}

// size returns the bytes of the request's body, as far as they are known.
func (q *request) size() int64 { return int64(len(q.body)) + max(0, q.restLen) }

// monitoredBody is a request body whose progress is measured while it is read.
type monitoredBody struct {
	io.ReadCloser
	lag *limits.Lag
	now func() time.Duration
}

// Read implements io.Reader.
func (b *monitoredBody) Read(p []byte) (int, error) {
	b.lag.Begin(b.now())
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.lag.Reset()
		return n, err
	}
	b.lag.End(b.now(), n)
	return n, err
}

// monitor makes the progress of the body count for the connection of r and for
// the account, which holds the body's memory.
func (s *resources) monitor(r *http.Request, account *limits.MemoryAccount) {
	if c := limits.ConnOf(r.Context()); c != nil && r.Body != nil && r.Body != http.NoBody {
		r.Body = &monitoredBody{r.Body, &c.Body, s.now}
		account.SetTransfer(&c.Body, c.CutReads)
	}
}

// bodyRest is the remainder of a request body, which is read while it is sent.
type bodyRest struct {
	r       io.Reader
	conn    *limits.GuardedConn   // on which the body arrives; may be nil
	reading atomic.Bool           // a read has begun and not ended
	failure atomic.Pointer[error] // of the body; nil if none
	onRead  func(n int64)         // called with the length of each read; may be nil
}

// Read implements io.Reader.
func (b *bodyRest) Read(p []byte) (int, error) {
	b.reading.Store(true)
	n, err := b.r.Read(p)
	b.reading.Store(false)
	if b.onRead != nil {
		b.onRead(int64(n))
	}
	if err != nil && err != io.EOF {
		b.failure.Store(&err)
	}
	return n, err
}

// err returns the failure of the body, such as its limit or that its sender left,
// or nil.
func (b *bodyRest) err() error {
	if b == nil {
		return nil
	}
	if e := b.failure.Load(); e != nil {
		return *e
	}
	return nil
}

// awaited reports whether the sender of the body owes the rest of it, so that
// the failure of an exchange says nothing about the target.
func (b *bodyRest) awaited() bool { return b != nil && (b.err() != nil || b.reading.Load()) }

// onDone is a reader that calls done when r has ended.
type onDone struct {
	r    io.Reader
	done func()
}

// Read implements io.Reader.
func (d *onDone) Read(p []byte) (int, error) {
	n, err := d.r.Read(p)
	if err != nil && d.done != nil {
		d.done()
		d.done = nil
	}
	return n, err
}

// readBuffered reads at most maxBuffered bytes and reports whether that was the
// whole body. Memory is taken as bytes arrive. With the error of take, the bytes
// that were read are returned.
func readBuffered(r io.Reader, length int64, take func(n int64) error) (body []byte, complete bool, err error) {
	size := int64(maxBuffered + 1) // one more shows whether the body is complete
	if length >= 0 && length <= maxBuffered {
		size = length
	}
	body = make([]byte, 0, min(size, firstPiece(length)))
	for {
		if int64(len(body)) == size {
			break
		}
		if len(body) == cap(body) {
			next := min(2*int64(cap(body)), size)
			if next > smallBody {
				if err := take(next - max(smallBody, int64(cap(body)))); err != nil {
					return body, false, err
				}
			}
			grown := make([]byte, len(body), next)
			copy(grown, body)
			body = grown
		}
		n, err := r.Read(body[len(body):min(int64(cap(body)), size)])
		body = body[:len(body)+n]
		if err == io.EOF {
			if length >= 0 && int64(len(body)) < size {
				return nil, false, io.ErrUnexpectedEOF
			}
			return body, len(body) <= maxBuffered, nil
		}
		if err != nil {
			return nil, false, err
		}
	}
	if int64(len(body)) > maxBuffered {
		return body, false, nil
	}
	// The reader reports the end, which makes the connection reusable, only when
	// more is read.
	n, err := r.Read(make([]byte, 1))
	if n > 0 || (err != nil && err != io.EOF) {
		return nil, false, io.ErrUnexpectedEOF
	}
	return body, true, nil
}

// firstPiece returns the size of the first buffer for a body.
func firstPiece(length int64) int64 {
	if length < 0 {
		return unknownPiece
	}
	return smallBody
}

// unknownPiece is the first buffer for a body without a length. Most bodies are
// shorter.
const unknownPiece = 4 << 10

// isMemoryLimit reports whether err is the refusal of a memory budget.
func isMemoryLimit(err error) bool {
	var e *resultcode.Error
	return errors.As(err, &e) && e.Code == resultcode.MemoryLimit
}
