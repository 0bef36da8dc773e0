package peer

import (
	"net"
	"sync"
)

// boundedListener limits the number of open connections by closing further ones
// on accept. It also closes connections by remote address.
type boundedListener struct {
	net.Listener
	max int

	mu    sync.Mutex
	conns map[string]*trackedConn // by remote address
}

func newBoundedListener(l net.Listener, max int) *boundedListener {
	return &boundedListener{Listener: l, max: max, conns: make(map[string]*trackedConn)}
}

// Accept implements net.Listener.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if t, ok := l.track(conn); ok {
			return t, nil
		}
		conn.Close()
	}
}

func (l *boundedListener) track(conn net.Conn) (*trackedConn, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) >= l.max {
		return nil, false
	}
	t := &trackedConn{Conn: conn, listener: l, key: conn.RemoteAddr().String()}
	l.conns[t.key] = t
	return t, true
}

// disconnect closes the connection from the remote address, if there is one.
func (l *boundedListener) disconnect(remote string) {
	l.mu.Lock()
	t := l.conns[remote]
	l.mu.Unlock()
	if t != nil {
		t.Close()
	}
}

func (l *boundedListener) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// trackedConn removes itself from its listener when it is closed.
type trackedConn struct {
	net.Conn
	listener *boundedListener
	key      string
}

// Close implements net.Conn.
func (t *trackedConn) Close() error {
	t.listener.mu.Lock()
	if t.listener.conns[t.key] == t {
		delete(t.listener.conns, t.key)
	}
	t.listener.mu.Unlock()
	return t.Conn.Close()
}
