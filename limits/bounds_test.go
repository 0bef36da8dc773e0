package limits

import (
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"hyssopbridge/fleet"
)

// Guards against refusing orders before background requests, and against a refused
// request that stays counted as in flight.
func TestClassLimiter(t *testing.T) {
	l := NewClassLimiter(10)
	for _, want := range []struct {
		class fleet.Class
		total int
	}{{fleet.Background, 6}, {fleet.Download, 7}, {fleet.Interactive, 9}, {fleet.Order, 10}} {
		for l.Acquire(want.class) == nil {
		}
		if l.InFlight() != want.total {
			t.Errorf("class %v was admitted up to %d requests in flight, want %d", want.class, l.InFlight(), want.total)
		}
	}
	l.Release()
	if l.Acquire(fleet.Order) != nil {
		t.Error("an order was refused after a request had ended")
	}
}

// Guards against a stalled body that is not detected, a slow but steady body
// that is taken for stalled, and a limit above that of the route.
func TestStallDetector(t *testing.T) {
	const stall = 5 * time.Second
	var gaps Gaps
	d := NewStallDetector(&gaps, fleet.Download, stall, 0)
	if d.Deadline() != stall {
		t.Errorf("deadline %v without a recorded gap, want %v", d.Deadline(), stall)
	}
	now := 3 * time.Second
	d.Record(now, 100)
	if gaps.Average(fleet.Download) != 0 {
		t.Error("the time to the first byte was counted as a gap")
	}
	for range 500 {
		now += 50 * time.Millisecond
		if d.Stalled(now) {
			t.Fatalf("a steady body was reported as stalled at %v", now)
		}
		d.Record(now, 100)
	}
	if got, want := d.Deadline()-now, 20*50*time.Millisecond; got != want {
		t.Errorf("limit %v with an average gap of 50 ms, want %v", got, want)
	}
	d.Record(now+time.Hour, 0)
	if !d.Stalled(now + time.Second) {
		t.Error("a read without bytes counted as progress")
	}
	d.Resume(now + time.Second)
	if d.Stalled(now + 1999*time.Millisecond) {
		t.Error("the time of a blocked write counted as a stall")
	}
	if got := gaps.Limit(fleet.Download, 700*time.Millisecond); got != 700*time.Millisecond {
		t.Errorf("limit %v, want the 700 ms of the route", got)
	}
	gaps.Record(fleet.Interactive, time.Microsecond)
	if got := gaps.Limit(fleet.Interactive, stall); got != minStallGap {
		t.Errorf("limit %v for gaps of 1 µs, want %v", got, minStallGap)
	}
	if d.Bytes() != 100*501 {
		t.Errorf("%d bytes counted", d.Bytes())
	}
}

// stubListener returns connections with the given remote addresses.
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

// Guards against one address that takes all connections, and against a count
// that a closed connection leaves unchanged or lowers twice.
func TestListenerLimits(t *testing.T) {
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
	accept("192.0.2.2:1") // the third connection from 192.0.2.1 is refused
	if l.Refused() != 1 || l.Open() != 3 || inner.closed != 1 {
		t.Errorf("%d refused, %d open, %d closed, want 1, 3, 1", l.Refused(), l.Open(), inner.closed)
	}
	_ = open[0].Close()
	_ = open[0].Close()
	if l.Open() != 2 {
		t.Errorf("%d open after one of 3 was closed twice, want 2", l.Open())
	}
	accept("192.0.2.3:1")
	if _, err := l.Accept(); err != io.EOF {
		t.Errorf("error of Accept over the limit is %v, want EOF", err)
	}
	if l.Refused() != 2 {
		t.Errorf("%d refused, want 2", l.Refused())
	}
}
