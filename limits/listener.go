package limits

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
)

// Listener limits the open connections of a net.Listener, in total and per
// remote IP address. A connection over a limit is closed as soon as it is
// accepted, so that one caller cannot keep others from being accepted.
type Listener struct {
	net.Listener
	total   int
	perIP   int
	mu      sync.Mutex
	open    int
	byIP    map[netip.Addr]int
	refused atomic.Int64
}

// NewListener wraps ln with a total limit and a limit per remote IP address.
// Zero means no limit.
func NewListener(ln net.Listener, total, perIP int) *Listener {
	return &Listener{Listener: ln, total: total, perIP: perIP, byIP: make(map[netip.Addr]int)}
}

// Accept returns the next connection that is within the limits and closes those
// that are not.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		ip := remoteIP(conn)
		if l.acquire(ip) {
			return &limitedConn{Conn: conn, listener: l, ip: ip}, nil
		}
		l.refused.Add(1)
		_ = conn.Close()
	}
}

// Open returns the number of open connections.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

// Refused returns the number of connections closed because of a limit.
func (l *Listener) Refused() int64 { return l.refused.Load() }

func remoteIP(conn net.Conn) netip.Addr {
	addr, ok := conn.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return netip.Addr{}
	}
	return addr.AddrPort().Addr().Unmap()
}

func (l *Listener) acquire(ip netip.Addr) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.total > 0 && l.open >= l.total {
		return false
	}
	if l.perIP > 0 && l.byIP[ip] >= l.perIP {
		return false
	}
	l.open++
	l.byIP[ip]++
	return true
}

func (l *Listener) release(ip netip.Addr) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
	if l.byIP[ip]--; l.byIP[ip] == 0 {
		delete(l.byIP, ip)
	}
}

// limitedConn stops counting against the limits of its Listener when it is
// closed.
type limitedConn struct {
	net.Conn
	listener *Listener
	ip       netip.Addr
	once     sync.Once
}

// Close closes the connection. Only the first call updates the Listener's count.
func (c *limitedConn) Close() error {
	c.once.Do(func() { c.listener.release(c.ip) })
	return c.Conn.Close()
}
