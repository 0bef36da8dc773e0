package limits

import (
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// fakeConn is a connection from an address.
type fakeConn struct {
	net.Conn
	ip           string
	closed, past bool
}

func (c *fakeConn) RemoteAddr() net.Addr              { return &net.TCPAddr{IP: net.ParseIP(c.ip), Port: 1} }
func (c *fakeConn) Close() error                      { c.closed = true; return nil }
func (c *fakeConn) SetDeadline(time.Time) error       { c.past = true; return nil }
func (c *fakeConn) SetReadDeadline(t time.Time) error { return c.SetDeadline(t) }

// testConnGuard returns a guard and the server that reports to it.
func testConnGuard(total, perIP int) (*ConnGuard, *http.Server) {
	start := time.Now()
	g := NewConnGuard(total, perIP, 0, func() time.Duration { return time.Since(start) }, func(string, string) {})
	server := &http.Server{}
	g.Install(server)
	return g, server
}

// Guards against connections without a request, or whose transfer does not
// advance, that keep others out, and against cutting requests that advance.
func TestConnGuardClosesLeastUseful(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, server := testConnGuard(8, 6)
		conns := map[string]*fakeConn{}
		open := func(name, ip string, state http.ConnState) *GuardedConn {
			conns[name] = &fakeConn{ip: ip}
			c := g.Admit(conns[name])
			if c != nil && state != http.StateNew {
				server.ConnState(c, state)
			}
			return c
		}
		for _, name := range []string{"head 1", "head 2"} {
			open(name, "10.0.0.1", http.StateNew)
			time.Sleep(time.Millisecond) // connections of the same age are closed in any order
		}
		open("idle", "10.0.0.1", http.StateIdle)
		stalled := open("stalled", "10.0.0.1", http.StateActive)
		stalled.Body.Begin(g.now())
		open("active 1", "10.0.0.1", http.StateActive)
		open("active 2", "10.0.0.2", http.StateActive)
		open("active 3", "10.0.0.2", http.StateActive)
		time.Sleep(2 * time.Second)
		for i, want := range []string{"head 1", "head 2", "idle"} {
			if open("active "+string(rune('4'+i)), "10.0.0.2", http.StateActive) == nil || !conns[want].closed {
				t.Errorf("connection %d: %q was not closed for it", i, want)
			}
		}
		if open("last", "10.0.0.3", http.StateActive) == nil || !conns["stalled"].past || conns["stalled"].closed {
			t.Error("the stalled request was not ended")
		}
		if open("refused", "10.0.0.3", http.StateActive) != nil || !conns["refused"].closed {
			t.Error("a connection beyond the limit was admitted")
		}
		for _, name := range []string{"active 1", "active 2", "active 3", "active 4"} {
			if conns[name].closed || conns[name].past {
				t.Errorf("%q was closed", name)
			}
		}
		stalled.Close()
		stalled.Close()
		if g.Open() != 7 {
			t.Errorf("%d connections open, want 7", g.Open())
		}
	})
}

// Guards against a connection that goes on after it was cut for another, as its
// request ended at that moment: its next response would be lost to the expired
// write deadline, after its request has run.
func TestConnGuardClosesCutConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, server := testConnGuard(1, 1)
		slow := &fakeConn{ip: "10.0.0.1"}
		c := g.Admit(slow)
		server.ConnState(c, http.StateActive)
		c.WriteLag().Begin(g.now())
		time.Sleep(time.Second)
		g.Admit(&fakeConn{ip: "10.0.0.1"})
		if !slow.past {
			t.Fatal("the slow reader was not cut")
		}
		server.ConnState(c, http.StateIdle)
		if !slow.closed || g.Open() != 0 {
			t.Errorf("closed %v, %d connections open after the request ended, want none", slow.closed, g.Open())
		}
	})
}

// Guards against one address that takes the place of all others.
func TestConnGuardPerAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, server := testConnGuard(100, 10)
		for range 200 {
			if c := g.Admit(&fakeConn{ip: "10.0.0.1"}); c != nil {
				server.ConnState(c, http.StateActive)
			}
		}
		if g.Open() != 10 || g.Admit(&fakeConn{ip: "10.0.0.2"}) == nil {
			t.Errorf("%d connections of one address, want 10, and room for another one", g.Open())
		}
	})
}
