package mesh

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"hyssopbridge/admission"
	"hyssopbridge/internal/testutil"
)

// markTested sends a read so that the target counts as tested.
func markTested(t *testing.T, n *Node, id string) {
	t.Helper()
	wantResponse(t, send(t, n, "/read/first", id), 200, "body of "+id)
}

// Guards against responses that lose their status, body or signature over one
// or two hops, and against requests that reach the target with wrong fields.
func TestDataPathOverOneAndTwoHops(t *testing.T) {
	g := startTarget(t, "t1")
	host, entry := startNode(t, g), startNode(t, nil)
	connectNodes(t, host, entry)
	for _, n := range []*Node{host, entry} {
		if err := n.SetConfig([]byte("1"), "test"); err != nil {
			t.Fatal(err)
		}
	}
	var mu sync.Mutex
	var seen *http.Request
	g.setHandler(func(w io.Writer, r *http.Request) bool {
		mu.Lock()
		seen = r
		mu.Unlock()
		writeTestResponse(w, 207, r.Header.Get("X-Id"), "whole")
		return true
	})
	for i, n := range []*Node{host, entry} {
		got := send(t, n, "/order/%2Fa?q=1&r", fmt.Sprint("id-", i), "X-Caller", "forged", "X-Expect", "forged", "Hb-Ticket", "forged", "X-Other", "kept", "X-Left", "3000")
		wantResponse(t, got, 207, "whole")
		if got.header.Get("X-Sig") != "sig" || got.header.Get("X-Id") != fmt.Sprint("id-", i) || got.header.Get(headerStatus) != "" {
			t.Errorf("response header: %v", got.header)
		}
		mu.Lock()
		r := seen
		mu.Unlock()
		h := r.Header
		if r.Method != http.MethodPost || r.RequestURI != "/order/%2Fa?q=1&r" || r.Host != "h.example" {
			t.Errorf("request line %s %s of host %s", r.Method, r.RequestURI, r.Host)
		}
		if h.Get("X-Caller") != "caller-service" || h.Get("X-Expect") != "t1" || h.Get("X-Other") != "kept" || h.Get(headerReservation) != "" {
			t.Errorf("request header: %v", h)
		}
		if left, ok := getMillis(h, "X-Left"); !ok || left > 3*time.Second {
			t.Errorf("deadline %v at the target exceeds the caller's", left)
		}
	}
}

// Guards against a non-idempotent request that is sent to a second target after
// the first may have run it, and against an error that wrongly claims that it
// was not run.
func TestOrderIsNotResent(t *testing.T) {
	a, b := startTarget(t, "a"), startTarget(t, "b")
	na, nb := startNode(t, a), startNode(t, b)
	connectNodes(t, na, nb)
	for _, n := range []*Node{na, nb} {
		_ = n.SetConfig([]byte("1"), "test")
	}
	a.setHandler(resetConnection)
	b.setHandler(resetConnection)
	got := send(t, na, "/order/1", "x")
	wantResponse(t, got, http.StatusBadGateway, "")
	if runs := a.runCount("x") + b.runCount("x"); runs != 1 {
		t.Errorf("order reached %d targets", runs)
	}
	if got.header.Get(headerRan) != "unknown" {
		t.Errorf("response says ran %q", got.header.Get(headerRan))
	}
}

// Guards against reads that fail although another target is healthy, and
// against non-idempotent requests that are lost when a target proves that it
// did not run them.
func TestRetryWhereSafe(t *testing.T) {
	refuse := func(w io.Writer, r *http.Request) bool {
		writeTestRefusal(w, r.Header.Get("X-Id"))
		return true
	}
	for name, c := range map[string]struct {
		path    string
		handler func(io.Writer, *http.Request) bool
	}{
		"read after reset":          {"/read/1", resetConnection},
		"read after truncated body": {"/read/1", respondTruncated},
		"read after error": {"/read/1", func(w io.Writer, r *http.Request) bool {
			writeTestResponse(w, 500, r.Header.Get("X-Id"), "no")
			return true
		}},
		"order after refusal": {"/order/1", refuse},
	} {
		bad, good := startTarget(t, "bad"), startTarget(t, "good")
		nb, ng := startNode(t, bad), startNode(t, good)
		connectNodes(t, nb, ng)
		for _, n := range []*Node{nb, ng} {
			_ = n.SetConfig([]byte("1"), "test")
			markTested(t, n, "first")
		}
		bad.setHandler(c.handler)
		for i := range 6 {
			id := fmt.Sprint("r", i)
			got := send(t, nb, c.path, id)
			if got.status != 200 || got.body != "body of "+id {
				t.Errorf("%s: status %d, body %q", name, got.status, got.body)
			}
		}
	}
}

// Guards against a refusal that claims "not run" after an earlier attempt may
// have run: one target resets the read and the other refuses it.
func TestRefusalAfterAttempt(t *testing.T) {
	a, b := startTarget(t, "a"), startTarget(t, "b")
	na, nb := startNode(t, a), startNode(t, b)
	connectNodes(t, na, nb)
	for _, n := range []*Node{na, nb} {
		_ = n.SetConfig([]byte("1 400"), "test")
		markTested(t, n, "first")
	}
	var mu sync.Mutex
	ran := false
	handler := func(w io.Writer, r *http.Request) bool {
		mu.Lock()
		defer mu.Unlock()
		if !ran {
			ran = true
			return false
		}
		writeTestRefusal(w, r.Header.Get("X-Id"))
		return true
	}
	a.setHandler(handler)
	b.setHandler(handler)
	got := send(t, na, "/read/1", "x")
	if got.status == http.StatusServiceUnavailable || got.header.Get(headerRan) == "no" {
		t.Errorf("status %d, ran %q after an attempt that may have run", got.status, got.header.Get(headerRan))
	}
}

// respondTruncated announces more bytes than it sends.
func respondTruncated(w io.Writer, r *http.Request) bool {
	fmt.Fprintf(w, "HTTP/1.1 200 X\r\nX-Id: %s\r\nX-Sig: s\r\nContent-Length: 100\r\n\r\nshort", r.Header.Get("X-Id"))
	return false
}

// Guards against a caller that gets a response which is incomplete, unsigned,
// or meant for another caller.
func TestInvalidResponses(t *testing.T) {
	for name, c := range map[string]struct {
		handler func(w io.Writer, r *http.Request) bool
		status  int
	}{
		"truncated": {respondTruncated, http.StatusBadGateway},
		"no length and reset": {func(w io.Writer, r *http.Request) bool {
			fmt.Fprintf(w, "HTTP/1.1 200 X\r\nX-Id: %s\r\nX-Sig: s\r\n\r\npart", r.Header.Get("X-Id"))
			time.Sleep(20 * time.Millisecond)
			return false
		}, http.StatusBadGateway},
		"no signature": {func(w io.Writer, r *http.Request) bool {
			fmt.Fprintf(w, "HTTP/1.1 200 X\r\nX-Id: %s\r\nContent-Length: 1\r\n\r\nx", r.Header.Get("X-Id"))
			return true
		}, http.StatusBadGateway},
		"not HTTP": {func(w io.Writer, r *http.Request) bool {
			_, _ = io.WriteString(w, "garbage\r\n\r\n")
			return false
		}, http.StatusBadGateway},
		"another request's response first": {func(w io.Writer, r *http.Request) bool {
			writeTestResponse(w, 200, "other", "not yours")
			return respondOK(w, r)
		}, 200},
		"encoded": {func(w io.Writer, r *http.Request) bool {
			fmt.Fprintf(w, "HTTP/1.1 200 X\r\nX-Id: %s\r\nX-Sig: s\r\nContent-Encoding: gzip\r\nContent-Length: 1\r\n\r\nx", r.Header.Get("X-Id"))
			return true
		}, http.StatusBadGateway},
	} {
		g := startTarget(t, "t")
		n := startNode(t, g)
		_ = n.SetConfig([]byte("1"), "test")
		g.setHandler(c.handler)
		got := send(t, n, "/order/1", "x")
		if got.status != c.status || strings.Contains(got.body, "not yours") || (c.status == 200 && got.body != "body of x") {
			t.Errorf("%s: status %d, body %q, error %v", name, got.status, got.body, got.err)
		}
	}
}

// Guards against a second response on a reused connection that reaches the next
// caller.
func TestLateSecondResponse(t *testing.T) {
	g := startTarget(t, "t")
	n := startNode(t, g)
	_ = n.SetConfig([]byte("1"), "test")
	g.setHandler(func(w io.Writer, r *http.Request) bool {
		respondOK(w, r)
		writeTestResponse(w, 200, r.Header.Get("X-Id"), "second response")
		return true
	})
	for i := range 20 {
		id := fmt.Sprint("r", i)
		wantResponse(t, send(t, n, "/order/1", id), 200, "body of "+id)
	}
}

// Guards against a request that keeps running at the target after its caller
// has disconnected, over two hops.
func TestCallerDisconnects(t *testing.T) {
	g := startTarget(t, "t")
	host, entry := startNode(t, g), startNode(t, nil)
	connectNodes(t, host, entry)
	for _, n := range []*Node{host, entry} {
		_ = n.SetConfig([]byte("1"), "test")
	}
	started, ended := make(chan struct{}), make(chan struct{})
	g.setHandler(func(w io.Writer, r *http.Request) bool {
		close(started)
		conn := w.(io.ReadWriter)
		_, _ = conn.Read(make([]byte, 1)) // returns when the node closes the connection
		close(ended)
		return false
	})
	ctx, cancel := context.WithCancel(context.Background())
	req := httptest.NewRequest(http.MethodGet, "http://"+entry.cfg.CallerAddr+"/read/1", nil).WithContext(ctx)
	req.RequestURI, req.Host = "", "h.example"
	req.Header.Set("X-Id", "x")
	go func() {
		if httpResp, err := http.DefaultClient.Do(req); err == nil {
			httpResp.Body.Close()
		}
	}()
	<-started
	cancel()
	select {
	case <-ended:
	case <-time.After(waitLimit):
		t.Error("the request still runs at the target after the caller has disconnected")
	}
}

// Guards against callers that wait longer than the route's timeout, and against
// a timeout that claims that the request was not run.
func TestRouteTimeout(t *testing.T) {
	g := startTarget(t, "t")
	n := startNode(t, g)
	_ = n.SetConfig([]byte("1 150"), "test")
	g.setHandler(func(w io.Writer, r *http.Request) bool {
		_, _ = w.(io.ReadWriter).Read(make([]byte, 1))
		return false
	})
	wantResponse(t, send(t, n, "/order/1", "x", "X-Left", "60000"), http.StatusGatewayTimeout, "")
}

// Guards against refusals without a retry time, a 404 before any configuration
// is known, and a 404 for a route that exists.
func TestRefusals(t *testing.T) {
	n := startNode(t, nil)
	wantResponse(t, send(t, n, "/read/1", "x"), http.StatusServiceUnavailable, "")
	if n.Ready() {
		t.Error("ready without a configuration")
	}
	_ = n.SetConfig([]byte("1 200"), "test")
	got := send(t, n, "/order/1", "x")
	wantResponse(t, got, http.StatusServiceUnavailable, "")
	if got.header.Get("Retry-After") == "" || got.header.Get(headerRan) != "no" {
		t.Errorf("refusal lacks a retry time or the statement that the request was not run: %v", got.header)
	}
	wantResponse(t, send(t, n, "/none/1", "x"), http.StatusNotFound, "")
	wantResponse(t, send(t, n, "/read/1", ""), http.StatusBadRequest, "")
}

// Guards against requests that are aborted by a planned stop, new requests for
// the target of a stopping node, and a stop that does not end.
func TestStopWaitsForRequestsInFlight(t *testing.T) {
	g := startTarget(t, "t")
	n := startNode(t, g)
	_ = n.SetConfig([]byte("1"), "test")
	started, finish := make(chan struct{}), make(chan struct{})
	g.setHandler(func(w io.Writer, r *http.Request) bool {
		close(started)
		<-finish
		return respondOK(w, r)
	})
	got := make(chan callerResponse)
	go func() { got <- send(t, n, "/order/1", "x") }()
	<-started
	stopped := make(chan error)
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	go func() { stopped <- n.Stop(ctx, 10*time.Millisecond) }()
	testutil.Eventually(t, "the gate refuses new requests", func() bool { return n.gate.Status().Stopping })
	if _, reason := n.gate.Reserve(ctx, admission.Request{Service: testService, Idempotent: true}); reason != admission.NodeStopping {
		t.Errorf("reservation at a stopping node: reason %s", reason)
	}
	close(finish)
	wantResponse(t, <-got, 200, "body of x")
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}
