package mesh

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"hyssopbridge/admission"
	"hyssopbridge/internal/clock"
	"hyssopbridge/internal/testutil"
)

// Guards against a non-idempotent request that runs twice, or is reported as
// not run, because a late copy of an earlier refusal without a request ID
// arrives on the reused connection just before its response.
func TestLateRefusalOnReusedConnection(t *testing.T) {
	faulty, other := startTarget(t, "faulty"), startTarget(t, "other")
	nf, _ := startPair(t, "1", faulty, other)
	var mu sync.Mutex
	used := map[io.Writer]bool{}
	faulty.setHandler(func(w io.Writer, r *http.Request) bool {
		mu.Lock()
		reused := used[w]
		used[w] = true
		mu.Unlock()
		if r.Method == http.MethodPost && reused {
			fmt.Fprint(w, "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
		}
		return respondOK(w, r)
	})
	reached := 0
	for i := range 12 {
		id := fmt.Sprint("o", i)
		send(t, nf, "/read/1", fmt.Sprint("r", i))
		got := send(t, nf, "/order/1", id)
		runs := faulty.runCount(id) + other.runCount(id)
		reached += faulty.runCount(id)
		if runs > 1 {
			t.Errorf("order %s ran %d times", id, runs)
		}
		if runs > 0 && got.header.Get(headerRan) == "no" {
			t.Errorf("order %s ran and is reported as not run", id)
		}
	}
	if reached == 0 {
		t.Error("no order reached the faulty target, so nothing was tested")
	}
}

// endlessResponses are the beginnings of responses that do not end until the
// peer closes the connection.
var endlessResponses = map[string]string{
	"bytes before a status line":  "x",
	"status line":                 "HTTP/1.1 200 ",
	"header line":                 "HTTP/1.1 200 X\r\nX-Id: %s\r\nX-A: ",
	"header lines":                "HTTP/1.1 200 X\r\nX-Id: %s\r\n",
	"informational responses":     "",
	"body without a length":       "HTTP/1.1 200 X\r\nX-Id: %s\r\nX-Sig: s\r\n\r\n",
	"chunk size":                  "HTTP/1.1 200 X\r\nX-Id: %s\r\nX-Sig: s\r\nTransfer-Encoding: chunked\r\n\r\n",
	"chunk extension":             "HTTP/1.1 200 X\r\nX-Id: %s\r\nX-Sig: s\r\nTransfer-Encoding: chunked\r\n\r\n1;",
	"trailers":                    "HTTP/1.1 200 X\r\nX-Id: %s\r\nX-Sig: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
	"response to another request": "HTTP/1.1 200 X\r\nX-Id: other\r\nX-Sig: s\r\n\r\n",
}

// endlessChunk returns the data that is sent over and over after the beginning.
func endlessChunk(kind string) string {
	switch kind {
	case "header lines", "trailers":
		return strings.Repeat("X-A: b\r\n", 512)
	case "informational responses":
		return strings.Repeat("HTTP/1.1 103 X\r\n\r\n", 256)
	case "chunk size":
		return strings.Repeat("0", 4096)
	}
	return strings.Repeat("y", 4096)
}

// respondEndlessly responds with an endless sequence of chunks, with a pause
// between them. It reports on closed when the node closes the connection.
func respondEndlessly(kind string, pause time.Duration, closed chan<- struct{}) func(io.Writer, *http.Request) bool {
	return func(w io.Writer, r *http.Request) bool {
		head := endlessResponses[kind]
		if strings.Contains(head, "%s") {
			head = fmt.Sprintf(head, r.Header.Get("X-Id"))
		}
		chunk := endlessChunk(kind)
		if pause > 0 {
			chunk = chunk[:1]
		}
		_, err := io.WriteString(w, head)
		for err == nil {
			time.Sleep(pause)
			_, err = io.WriteString(w, chunk)
		}
		closed <- struct{}{}
		return false
	}
}

// Guards against a node that reads an invalid response without end, keeps it in
// memory, or keeps its caller waiting although another target would respond.
func TestEndlessResponses(t *testing.T) {
	for kind := range endlessResponses {
		for _, pause := range []time.Duration{0, 20 * time.Millisecond} {
			t.Run(fmt.Sprint(kind, " ", pause), func(t *testing.T) {
				t.Parallel()
				faulty, good := startTarget(t, "faulty"), startTarget(t, "good")
				nf, _ := startPair(t, "1 4000", faulty, good)
				closed := make(chan struct{}, 100)
				faulty.setHandler(respondEndlessly(kind, pause, closed))
				reached := 0
				for i := 0; i < 8 && reached == 0; i++ {
					id := fmt.Sprint("r", i)
					wantResponse(t, send(t, nf, "/read/1", id), http.StatusOK, "body of "+id)
					reached += faulty.runCount(id)
				}
				if reached == 0 {
					t.Fatal("no read reached the faulty target, so nothing was tested")
				}
				select {
				case <-closed:
				case <-time.After(waitLimit):
					t.Error("the node does not close the connection")
				}
			})
		}
	}
}

// Guards against memory that grows with the length of endless responses.
func TestMemoryOfEndlessResponses(t *testing.T) {
	const perRequest = 8 << 20 // a header and a body at their limits, and their copies
	g := startTarget(t, "t")
	n := startNode(t, g)
	n.SetTarget(admission.Target{ID: g.id, Service: testService, Slots: 50, Phase: admission.Serving}, g.addr, false)
	setConfig(t, "1 1500", n)
	kinds := []string{"header lines", "body without a length", "status line", "chunk extension"}
	closed := make(chan struct{}, 1000)
	var mu sync.Mutex
	next := 0
	g.setHandler(func(w io.Writer, r *http.Request) bool {
		mu.Lock()
		kind := kinds[next%len(kinds)]
		next++
		mu.Unlock()
		return respondEndlessly(kind, 0, closed)(w, r)
	})
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	const requests = 50
	var wait sync.WaitGroup
	for i := range requests {
		wait.Go(func() { sendAndDrop(n, fmt.Sprint("o", i)) })
	}
	var most uint64
	done := make(chan struct{})
	go func() { wait.Wait(); close(done) }()
	for open := true; open; {
		select {
		case <-done:
			open = false
		case <-time.After(20 * time.Millisecond):
			runtime.ReadMemStats(&after)
			most = max(most, after.HeapInuse)
		}
	}
	if grown := int64(most) - int64(before.HeapInuse); grown > requests*perRequest {
		t.Errorf("%d MiB more in use under %d endless responses", grown>>20, requests)
	}
}

// sendAndDrop sends a read and discards the response.
func sendAndDrop(n *Node, id string) {
	c, err := net.Dial("tcp4", n.cfg.CallerAddr)
	if err != nil {
		return
	}
	defer c.Close()
	fmt.Fprintf(c, "GET /read/1 HTTP/1.1\r\nHost: h.example\r\nX-Id: %s\r\nConnection: close\r\n\r\n", id)
	_, _ = io.Copy(io.Discard, c)
}

// Guards against a caller that keeps a request open without finishing its body,
// and against a chunked body beyond the limit.
func TestBodiesWithoutEnd(t *testing.T) {
	g := startTarget(t, "t")
	n := startNode(t, g)
	config := "1 1000"
	_ = n.SetConfig([]byte(config), "test")
	for name, pause := range map[string]time.Duration{"fast": 0, "slow": 20 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := dialCaller(t, n)
			fmt.Fprintf(c, "POST /order/1 HTTP/1.1\r\nHost: h.example\r\nX-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n", name)
			responded := make(chan struct{})
			go func() {
				_, _ = io.ReadAll(c)
				close(responded)
			}()
			chunk := "1000\r\n" + strings.Repeat("z", 0x1000) + "\r\n"
			if pause > 0 {
				chunk = "1\r\nz\r\n"
			}
			for {
				select {
				case <-responded:
					return
				case <-time.After(pause):
				}
				_ = c.SetWriteDeadline(time.Now().Add(waitLimit))
				if _, err := io.WriteString(c, chunk); err != nil {
					<-responded
					return
				}
			}
		})
	}
}

// Guards against dropping requests that were sent on connections which the node
// had not yet accepted when it closed its listener during a planned stop.
func TestStopServesPendingConnections(t *testing.T) {
	host, own := startTarget(t, "t"), startTarget(t, "own")
	_, n := startPair(t, "1", host, own)
	stopped := make(chan struct{})
	var wait sync.WaitGroup
	var mu sync.Mutex
	cut, responded := 0, 0
	for w := range 8 {
		wait.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stopped:
					return
				default:
				}
				c, err := net.Dial("tcp4", n.cfg.CallerAddr)
				if err != nil {
					continue // refused; a real caller would go elsewhere
				}
				fmt.Fprintf(c, "GET /read/1 HTTP/1.1\r\nHost: h.example\r\nX-Id: w%d-%d\r\nConnection: close\r\n\r\n", w, i)
				b, err := io.ReadAll(c)
				c.Close()
				mu.Lock()
				if err != nil || !strings.HasPrefix(string(b), "HTTP/1.1 ") {
					cut++
				} else {
					responded++
				}
				mu.Unlock()
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	if err := n.Stop(ctx, 300*time.Millisecond); err != nil {
		t.Error(err)
	}
	close(stopped)
	wait.Wait()
	if cut > 0 || responded == 0 {
		t.Errorf("%d connections were closed without a response, %d got one", cut, responded)
	}
}

// Guards against a request that is sent after its deadline because the machine
// was suspended while the request waited for a slot, which the monotonic clock
// does not show; and against reporting its outcome as unknown.
func TestDeadlineAfterSuspension(t *testing.T) {
	var suspended atomic.Int64
	g := startTarget(t, "t")
	n := New(Config{
		Zone: "z", CallerAddr: testutil.FreeAddr(t), NodeAddr: testutil.FreeAddr(t), GossipAddr: testutil.FreeAddr(t), Headers: testHeaders,
		Decode: decodeTest, Log: discardEventLog().log, Seed: 1,
		Clock: func() time.Duration { return clock.SinceBoot() + time.Duration(suspended.Load()) },
	})
	if err := n.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { n.cancel(); n.nodeServer.http.Close(); n.callerServer.listener.Close() })
	n.SetTarget(admission.Target{ID: g.id, Service: testService, Slots: 2, Phase: admission.Serving}, g.addr, false)
	setConfig(t, "1", n)
	var held []*admission.Reservation
	for range 2 {
		reserved, reason := n.gate.Reserve(t.Context(), admission.Request{Service: testService, AllowUntested: true})
		if reserved == nil {
			t.Fatal(reason)
		}
		reserved.Claim()
		held = append(held, reserved)
	}
	got := make(chan callerResponse, 1)
	go func() { got <- send(t, n, "/order/1", "o", testHeaders.DeadlineMs, "5000") }()
	testutil.Eventually(t, "the order waits for the slot", func() bool { return n.gate.Status().Waiting > 0 })
	suspended.Store(int64(20 * time.Second))
	for _, reserved := range held {
		reserved.Release(admission.Success)
	}
	r := <-got
	if n := g.runCount("o"); n != 0 {
		t.Errorf("the order ran %d times after its deadline", n)
	}
	if r.header.Get(headerRan) != "no" || r.status != http.StatusServiceUnavailable {
		t.Errorf("status %d, ran %q", r.status, r.header.Get(headerRan))
	}
}
