package limits

import (
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"hyssopbridge/fleet"
)

// Guards against a gate that refuses orders before background work, or that
// keeps places of requests it refused.
func TestClassGate(t *testing.T) {
	g := NewClassLimiter(10)
	for _, want := range []struct {
		class fleet.Class
		total int
	}{{fleet.Background, 6}, {fleet.Download, 7}, {fleet.Interactive, 9}, {fleet.Order, 10}} {
		for g.Acquire(want.class) == nil {
		}
		if g.InFlight() != want.total {
			t.Errorf("%v was admitted up to %d requests, want %d", want.class, g.InFlight(), want.total)
		}
	}
	g.Release()
	if g.Acquire(fleet.Order) != nil {
		t.Error("a free place was refused to an order")
	}
}

// Guards against a stalled body that is not seen, against a slow but steady
// body that is taken for stalled, and against a limit over the route's.
func TestProgress(t *testing.T) {
	const stall = 5 * time.Second
	var gaps Gaps
	p := NewStallDetector(&gaps, fleet.Download, stall, 0)
	if p.Deadline() != stall {
		t.Errorf("deadline %v without any gap known, want %v", p.Deadline(), stall)
	}
	now := 3 * time.Second
	p.Record(now, 100)
	if gaps.Average(fleet.Download) != 0 {
		t.Error("the time to the first byte was counted as a gap")
	}
	for range 500 {
		now += 50 * time.Millisecond
		if p.Stalled(now) {
			t.Fatalf("a steady body is stalled at %v", now)
		}
		p.Record(now, 100)
	}
	if got, want := p.Deadline()-now, 20*50*time.Millisecond; got != want {
		t.Errorf("limit %v at a usual gap of 50 ms, want %v", got, want)
	}
	p.Record(now+time.Hour, 0)
	if !p.Stalled(now + time.Second) {
		t.Error("a read without bytes counted as progress")
	}
	p.Resume(now + time.Second)
	if p.Stalled(now + 1999*time.Millisecond) {
		t.Error("the time of a blocked write counted as a stall")
	}
	if got := gaps.Limit(fleet.Download, 700*time.Millisecond); got != 700*time.Millisecond {
		t.Errorf("limit %v, the route's is 700 ms", got)
	}
	gaps.Record(fleet.Interactive, time.Microsecond)
	if got := gaps.Limit(fleet.Interactive, stall); got != gapMinimum {
		t.Errorf("limit %v for tiny gaps, want %v", got, gapMinimum)
	}
	if p.Bytes() != 100*501 {
		t.Errorf("%d bytes counted", p.Bytes())
	}
}

// stubListener hands out connections with given remote addresses.
type stubListener struct {
	net.Listener
	addrs []string
}

type stubConn struct {
	net.Conn
	remote net.Addr
	closed *int
}

func (c stubConn) RemoteAddr() net.Addr { return c.remote }

func (c stubConn) Close() error {
	*c.closed++
	return nil
}

func (l *stubListener) accept(closed *int) (net.Conn, error) {
	if len(l.addrs) == 0 {
		return nil, io.EOF
	}
	addr := netip.MustParseAddrPort(l.addrs[0])
	l.addrs = l.addrs[1:]
	return stubConn{remote: net.TCPAddrFromAddrPort(addr), closed: closed}, nil
}

type countingListener struct {
	stubListener
	closed int
}

func (l *countingListener) Accept() (net.Conn, error) { return l.accept(&l.closed) }

// Guards against one address that takes all connections, and against places
// that are lost or given back twice when a connection closes.
func TestListenerBounds(t *testing.T) {
	inner := &countingListener{stubListener: stubListener{addrs: []string{
		"192.0.2.1:1", "192.0.2.1:2", "[::ffff:192.0.2.1]:3", "192.0.2.2:1", "192.0.2.3:1", "192.0.2.1:4",
	}}}
	l := NewListener(inner, 3, 2)
	var open []net.Conn
	accept := func(want string) {
		t.Helper()
		conn, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		if got := conn.RemoteAddr().String(); got != want {
			t.Errorf("accepted %s, want %s", got, want)
		}
		open = append(open, conn)
	}
	accept("192.0.2.1:1")
	accept("192.0.2.1:2")
	accept("192.0.2.2:1") // the third of 192.0.2.1 is refused
	if l.Refused() != 1 || l.Open() != 3 || inner.closed != 1 {
		t.Errorf("%d refused, %d open, %d closed, want 1, 3, 1", l.Refused(), l.Open(), inner.closed)
	}
	_ = open[0].Close()
	_ = open[0].Close()
	if l.Open() != 2 {
		t.Errorf("%d open after one was closed twice, want 2", l.Open())
	}
	accept("192.0.2.3:1")
	if _, err := l.Accept(); err != io.EOF {
		t.Errorf("accepted over the bound: %v", err)
	}
	if l.Refused() != 2 {
		t.Errorf("%d refused, want 2", l.Refused())
	}
}
