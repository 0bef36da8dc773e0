package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"hyssopbridge/config/static"
)

// sendRaw sends bytes to a node and returns the status of the response, or 0 if
// the connection was closed without one.
func sendRaw(t *testing.T, addr, text string) int {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.WriteString(conn, text); err != nil {
		return 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// Guards against request smuggling, that is requests which two HTTP parsers could
// interpret differently, and against oversized header sections and bodies.
func TestRequestSmugglingIsRefused(t *testing.T) {
	var served atomic.Int64
	f := newTestFleet(t, 1, nil, func(w http.ResponseWriter, r *http.Request) { served.Add(1) })
	const start = "POST /order/1 HTTP/1.1\r\nHost: h\r\n"
	requests := map[string]string{
		"two lengths":         start + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
		"length list":         start + "Content-Length: 3, 4\r\n\r\nabcd",
		"signed length":       start + "Content-Length: +3\r\n\r\nabc",
		"length and chunks":   start + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"unknown encoding":    start + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
		"encoding twice":      start + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"hidden encoding":     start + "Transfer-Encoding: \x0bchunked\r\n\r\n0\r\n\r\n",
		"space before colon":  start + "Content-Length : 3\r\n\r\nabc",
		"folded header":       start + "X: a\r\n b\r\nContent-Length: 0\r\n\r\n",
		"two hosts":           "GET /read/1 HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
		"no host":             "GET /read/1 HTTP/1.1\r\n\r\n",
		"dot segments":        "GET /read/../order/1 HTTP/1.1\r\nHost: h\r\n\r\n",
		"encoded slash":       "GET /read/a%2fb HTTP/1.1\r\nHost: h\r\n\r\n",
		"control byte":        "GET /read/a%00b HTTP/1.1\r\nHost: h\r\n\r\n",
		"header too large":    "GET /read/1 HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("a", 100_000) + "\r\n\r\n",
		"too many headers":    "GET /read/1 HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("X-A: b\r\n", 5000) + "\r\n",
		"body beyond maximum": start + "Content-Length: 300000\r\n\r\n" + strings.Repeat("a", 300_000),
	}
	for name, text := range requests {
		t.Run(name, func(t *testing.T) {
			before := served.Load()
			if status := sendRaw(t, f.nodes[0].Addr(), text); status != 0 && status < 400 {
				t.Errorf("status %d, want a refusal", status)
			}
			if served.Load() != before {
				t.Error("the request reached the target")
			}
		})
	}
}

// Guards against a malformed chunked body that the target takes for a complete one.
func TestMalformedChunkIsNotACompleteBody(t *testing.T) {
	var complete atomic.Int64
	f := newTestFleet(t, 1, nil, func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err == nil {
			complete.Add(1)
		}
	})
	const start = "POST /order/1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, body := range map[string]string{
		"bad size":  "3\r\nabc\r\nzz\r\n",
		"no ending": "3\r\nabcde\r\n0\r\n\r\n",
		"huge size": "fffffffffffffffff\r\nabc\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			if status := sendRaw(t, f.nodes[0].Addr(), start+body); status == http.StatusOK {
				t.Errorf("status %d", status)
			}
		})
	}
	if n := complete.Load(); n > 0 {
		t.Errorf("the target read %d malformed bodies without an error", n)
	}
}

// Guards against callers that send slowly and thereby occupy slots of a target,
// which has two.
func TestSlowCallersHoldNoSlots(t *testing.T) {
	f := newTestFleet(t, 1, func(s *static.Settings) {
		s.HeaderTimeout = static.Duration(2 * time.Second)
		s.BodyIdleTimeout = static.Duration(2 * time.Second)
	}, func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
	var slow []net.Conn
	paths := []string{"/order/1", "/unknown", "/read/1"}
	for i := range 50 {
		conn, err := net.Dial("tcp", f.nodes[0].Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		slow = append(slow, conn)
		if i%2 == 0 {
			fmt.Fprintf(conn, "POST /order/1 HTTP/1.1\r\nHost: h\r\nX-Slow: ")
		} else {
			fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\nabc", paths[i/2%len(paths)])
		}
	}
	for i := range 20 {
		resp, err := http.Get("http://" + f.nodes[0].Addr() + "/read/1")
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("request %d with slow callers connected: response %v, error %v", i, resp, err)
		}
		resp.Body.Close()
	}
	limit := time.Now().Add(10 * time.Second)
	for i, conn := range slow {
		_ = conn.SetReadDeadline(limit)
		if _, err := io.Copy(io.Discard, conn); err != nil && strings.Contains(err.Error(), "timeout") {
			t.Errorf("slow connection %d is still open", i)
		}
	}
}

// Guards against a flood of connections that is not limited, or whose limit
// locks out callers from other addresses.
func TestConnectionFlood(t *testing.T) {
	f := newTestFleet(t, 1, func(s *static.Settings) { s.MaxPerCaller = 20; s.MaxConnections = 40 },
		func(w http.ResponseWriter, r *http.Request) {})
	open := 0
	for range 60 {
		conn, err := net.Dial("tcp", f.nodes[0].Addr())
		if err != nil {
			continue
		}
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(300 * time.Millisecond))
		fmt.Fprintf(conn, "GET /read/1 HTTP/1.1\r\nHost: h\r\n\r\n")
		if _, err := bufio.NewReader(conn).ReadString('\n'); err == nil {
			open++
		}
	}
	if open > 20 {
		t.Errorf("%d connections of one address were served, the limit is 20", open)
	}
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP("127.0.0.99")}}
	conn, err := d.Dial("tcp", f.nodes[0].Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	fmt.Fprintf(conn, "GET /read/1 HTTP/1.1\r\nHost: h\r\n\r\n")
	if line, err := bufio.NewReader(conn).ReadString('\n'); err != nil || !strings.Contains(line, "200") {
		t.Errorf("caller from another address: %q, %v", line, err)
	}
}

// Guards against more concurrent requests at a target than it has slots, with many
// callers at several entry nodes.
func TestSlotsAreNeverExceeded(t *testing.T) {
	var running, most atomic.Int64
	f := newTestFleet(t, 3, nil, func(w http.ResponseWriter, r *http.Request) {
		n := running.Add(1)
		for m := most.Load(); n > m && !most.CompareAndSwap(m, n); m = most.Load() {
		}
		time.Sleep(2 * time.Millisecond)
		running.Add(-1)
	})
	var wait sync.WaitGroup
	for i := range 60 {
		wait.Go(func() {
			for range 10 {
				resp, err := http.Get("http://" + f.nodes[i%3].Addr() + "/read/1")
				if err == nil {
					resp.Body.Close()
				}
			}
		})
	}
	wait.Wait()
	if m := most.Load(); m > 3*2 {
		t.Errorf("%d requests ran concurrently at 3 targets with 2 slots each", m)
	}
}

// Guards against a customer's rate limit that each node grants separately.
func TestRateLimitHoldsAcrossNodes(t *testing.T) {
	f := newTestFleet(t, 3, nil, func(w http.ResponseWriter, r *http.Request) {})
	served := 0
	start := time.Now()
	for i := range 60 {
		req, _ := http.NewRequest(http.MethodGet, "http://"+f.nodes[i%3].Addr()+"/limited/1", nil)
		req.Header.Set("Customer-Id", "c1")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			served++
		}
	}
	// Each node may use a quarter of the burst before the owner of the key grants it.
	allowed := 5 + 1 + int(time.Since(start).Seconds()) + 3*2
	if served > allowed {
		t.Errorf("%d requests served, want at most %d", served, allowed)
	}
	if served < 5 {
		t.Errorf("%d requests served, the burst is 5", served)
	}
}
