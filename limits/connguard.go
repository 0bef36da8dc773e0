package limits

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

const (
	// headAge is the age from which a connection without a complete request header
	// may be closed for others.
	headAge = 500 * time.Millisecond
	// idleAge is the idle time from which a connection is closed before a transfer
	// that is behind.
	idleAge = time.Second
	// guardShare is the fraction of a limit from which connections are closed for
	// new ones, so that there is room while a closed one still ends.
	guardShare = 15.0 / 16
)

// ConnGuard bounds the open connections of an HTTP server, in total and per
// remote IP address. Near a limit it closes the connection that serves its caller
// least: one without a complete header, an idle one, or one whose transfer is
// behind. If there is none, a new connection is closed at once.
type ConnGuard struct {
	total, perIP int
	maxActive    time.Duration // a request may be cut after this time; 0 for never
	now          func() time.Duration
	onLimit      func(action, ip string)

	mu    sync.Mutex
	conns map[*GuardedConn]struct{}
	byIP  map[netip.Addr]int
}

// NewConnGuard returns a guard with a total limit and a limit per remote IP
// address. With maxActive above 0, a request that takes longer may be cut near a
// limit. onLimit is called with what was done: "closed" or "refused".
func NewConnGuard(total, perIP int, maxActive time.Duration, now func() time.Duration, onLimit func(action, ip string)) *ConnGuard {
	return &ConnGuard{total: total, perIP: perIP, maxActive: maxActive, now: now, onLimit: onLimit, conns: map[*GuardedConn]struct{}{}, byIP: map[netip.Addr]int{}}
}

// GuardedConn is a connection that a ConnGuard counts.
type GuardedConn struct {
	net.Conn
	guard *ConnGuard
	ip    netip.Addr
	once  sync.Once
	Body  Lag // of the request body that is being read
	write Lag

	// The following are guarded by guard.mu.
	state   http.ConnState
	since   time.Duration // time of the last change of state
	evicted bool
}

// Admit counts a new connection. It returns nil if it closed the connection.
func (g *ConnGuard) Admit(conn net.Conn) *GuardedConn {
	c := &GuardedConn{Conn: conn, guard: g, ip: remoteIP(conn), state: http.StateNew, since: g.now()}
	g.mu.Lock()
	var victim *GuardedConn
	if overShare(g.byIP[c.ip], g.perIP) {
		victim = g.worst(func(o *GuardedConn) bool { return o.ip == c.ip })
	} else if overShare(len(g.conns), g.total) {
		victim = g.worst(func(*GuardedConn) bool { return true })
	}
	endNow := false
	if victim != nil {
		victim.evicted = true
		// A request in progress ends by itself, with a response if none was begun.
		endNow = victim.state != http.StateActive
		if endNow {
			g.remove(victim)
		}
	}
	admitted := len(g.conns) < g.total && g.byIP[c.ip] < g.perIP
	if admitted {
		g.conns[c] = struct{}{}
		g.byIP[c.ip]++
	}
	g.mu.Unlock()
	if victim != nil {
		g.onLimit("closed", victim.ip.String())
		switch {
		case endNow:
			victim.Close()
		case victim.Body.At(g.now()) >= minLag:
			victim.CutReads()
		default:
			victim.Cut()
		}
	}
	if !admitted {
		g.onLimit("refused", c.ip.String())
		conn.Close()
		return nil
	}
	return c
}

func overShare(n, limit int) bool { return float64(n+1) > guardShare*float64(limit) }

// worst returns the connection to close for others, or nil.
func (g *ConnGuard) worst(eligible func(*GuardedConn) bool) *GuardedConn {
	now := g.now()
	var worst *GuardedConn
	worstClass, worstAge := 0, time.Duration(0)
	for c := range g.conns {
		if c.evicted || !eligible(c) {
			continue
		}
		class, age := c.rank(now)
		if class > worstClass || class == worstClass && class > 0 && age > worstAge {
			worst, worstClass, worstAge = c, class, age
		}
	}
	return worst
}

// rank returns how soon the connection is closed for others, 0 for never, and the
// time by which connections of the same class are compared.
func (c *GuardedConn) rank(now time.Duration) (int, time.Duration) {
	age := now - c.since
	switch c.state {
	case http.StateNew:
		if age >= headAge {
			return 5, age
		}
	case http.StateIdle:
		if age >= idleAge {
			return 4, age
		}
		return 1, age
	case http.StateActive:
		if lag := max(c.Body.At(now), c.write.At(now)); lag >= minLag {
			return 3, lag
		}
		if c.guard.maxActive > 0 && age >= c.guard.maxActive {
			return 2, age
		}
	}
	return 0, 0
}

// Open returns the number of open connections.
func (g *ConnGuard) Open() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns)
}

// remove stops counting a connection. Only its first call has an effect.
func (g *ConnGuard) remove(c *GuardedConn) {
	if _, ok := g.conns[c]; !ok {
		return
	}
	delete(g.conns, c)
	if g.byIP[c.ip]--; g.byIP[c.ip] == 0 {
		delete(g.byIP, c.ip)
	}
}

// connKey is the key of a connection in the context of its requests.
type connKey struct{}

// Install makes s report its connections, which must come from Admit. It keeps
// the hooks that s has.
func (g *ConnGuard) Install(s *http.Server) {
	state := s.ConnState
	s.ConnState = func(conn net.Conn, to http.ConnState) {
		if c, ok := conn.(*GuardedConn); ok {
			g.mu.Lock()
			c.state, c.since = to, g.now()
			cut := c.evicted
			g.mu.Unlock()
			if cut && to == http.StateIdle {
				// The request ended before it was cut. The expired write deadline
				// would make the connection lose its next response.
				c.Close()
			}
			c.Body.Reset()
			c.write.Reset()
		}
		if state != nil {
			state(conn, to)
		}
	}
	s.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
	}
}

// ConnOf returns the connection of a request, or nil if no guard counts it.
func ConnOf(ctx context.Context) *GuardedConn {
	c, _ := ctx.Value(connKey{}).(*GuardedConn)
	return c
}

// Listener returns a listener that admits the connections of l.
func (g *ConnGuard) Listener(l net.Listener) net.Listener { return guardedListener{l, g} }

type guardedListener struct {
	net.Listener
	guard *ConnGuard
}

// Accept implements net.Listener.
func (l guardedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.guard.Admit(conn); c != nil {
			return c, nil
		}
	}
}

// Write implements net.Conn and measures how far the reader is behind.
func (c *GuardedConn) Write(p []byte) (int, error) {
	c.write.Begin(c.guard.now())
	n, err := c.Conn.Write(p)
	c.write.End(c.guard.now(), n)
	return n, err
}

// WriteLag returns how far the reader of the connection is behind.
func (c *GuardedConn) WriteLag() *Lag { return &c.write }

// past is a deadline that ends each read or write at once.
var past = time.Unix(1, 0)

// Cut ends the reads and writes of the connection, so that its request ends.
func (c *GuardedConn) Cut() { _ = c.SetDeadline(past) } // fails if the connection is closed

// CutReads ends the reads of the connection, so that a request whose body is
// being read ends and may be answered.
func (c *GuardedConn) CutReads() { _ = c.SetReadDeadline(past) } // fails if the connection is closed

// CloseWrite closes the sending side. net/http calls it before it closes a
// connection with unread bytes, so that the response is not lost to a reset.
func (c *GuardedConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// ResetOnClose makes Close reset the connection, so that its end does not look like
// an orderly one. Bytes that the peer has not read yet are lost.
func (c *GuardedConn) ResetOnClose() {
	if l, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = l.SetLinger(0) // fails if the connection is closed
	}
}

// Close closes the connection.
func (c *GuardedConn) Close() error {
	c.once.Do(func() {
		c.guard.mu.Lock()
		c.guard.remove(c)
		c.guard.mu.Unlock()
	})
	return c.Conn.Close()
}
