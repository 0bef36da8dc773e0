package mesh

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	gometrics "github.com/rcrowley/go-metrics"

	"hyssopbridge/admission"
	"hyssopbridge/internal/testutil"
	"hyssopbridge/limits"
)

// Guards against bodies that are cut, lengthened or wrongly taken for whole at
// the boundaries of the buffers, however the bytes arrive.
func TestReadBuffered(t *testing.T) {
	noMemory := errors.New("no memory")
	for _, size := range []int{0, 1, unknownPiece, unknownPiece + 1, smallBody, smallBody + 1, maxBuffered - 1, maxBuffered, maxBuffered + 1, maxBuffered + 2} {
		text := strings.Repeat("0123456789", size/10+1)[:size]
		for name, wrap := range map[string]func(io.Reader) io.Reader{"at once": func(r io.Reader) io.Reader { return r }, "half": iotest.HalfReader, "with the end": iotest.DataErrReader} {
			for _, length := range []int64{-1, int64(size)} {
				var taken int64
				r := wrap(strings.NewReader(text))
				body, complete, err := readBuffered(r, length, func(n int64) error { taken += n; return nil })
				rest, _ := io.ReadAll(r)
				if err != nil || string(body)+string(rest) != text || complete != (size <= maxBuffered) {
					t.Errorf("%s, %d bytes, length %d: %d bytes and %d more, complete %v, error %v", name, size, length, len(body), len(rest), complete, err)
				}
				if taken+smallBody < int64(cap(body)) {
					t.Errorf("%s, %d bytes, length %d: took %d bytes for a buffer of %d", name, size, length, taken, cap(body))
				}
			}
			for _, length := range []int64{int64(size) + 1, maxBuffered} {
				if length <= int64(size) || length > maxBuffered {
					continue
				}
				if _, _, err := readBuffered(wrap(strings.NewReader(text)), length, func(int64) error { return nil }); !errors.Is(err, io.ErrUnexpectedEOF) {
					t.Errorf("%s: %d bytes of %d announced: error %v", name, size, length, err)
				}
			}
		}
	}
	text := strings.Repeat("z", 100<<10)
	r := strings.NewReader(text)
	body, complete, err := readBuffered(r, int64(len(text)), func(int64) error { return noMemory })
	if rest, _ := io.ReadAll(r); err != noMemory || complete || string(body)+string(rest) != text {
		t.Errorf("without memory: %d bytes and %d more, complete %v, error %v", len(body), len(rest), complete, err)
	}
}

// sendOrder sends an order with a body of the given size.
func sendOrder(t *testing.T, n *Node, id string, size int) callerResponse {
	t.Helper()
	return do(newCallerRequest(t, n, "/order/1", id, strings.NewReader(strings.Repeat("q", size))))
}

// Guards against memory that is never given back, which would shrink the budget
// until every larger body is refused.
func TestMemoryIsGivenBack(t *testing.T) {
	g := startTarget(t, "t")
	host, entry := startPair(t, "1 600", g, nil)
	markTested(t, host, "first")
	large := strings.Repeat("b", 300<<10)
	handlers := map[string]func(w io.Writer, r *http.Request) bool{
		"large": func(w io.Writer, r *http.Request) bool {
			writeTestResponse(w, 200, r.Header.Get("X-Id"), large)
			return true
		},
		"large failure": func(w io.Writer, r *http.Request) bool {
			writeTestResponse(w, 500, r.Header.Get("X-Id"), large)
			return true
		},
		"long":      longResponse(true, true),
		"truncated": longResponse(false, true),
		"reset":     resetConnection,
		"refused": func(w io.Writer, r *http.Request) bool {
			writeTestRefusal(w, r.Header.Get("X-Id"))
			return true
		},
	}
	for name, handler := range handlers {
		g.setHandler(handler)
		for i, n := range []*Node{host, entry} {
			_ = send(t, n, "/read/1", fmt.Sprint(name, " read ", i))
			_ = sendOrder(t, n, fmt.Sprint(name, " order ", i), 200<<10)
			_ = sendOrder(t, n, fmt.Sprint(name, " long order ", i), longBody)
			c := dialCaller(t, n)
			fmt.Fprintf(c, "GET /file/1 HTTP/1.1\r\nHost: h.example\r\nX-Id: %s left %d\r\n\r\n", name, i)
			c.Close()
		}
	}
	for name, n := range map[string]*Node{"host": host, "entry": entry} {
		testutil.Eventually(t, "the memory of the "+name+" node is free", func() bool {
			return n.resources.memory.Used() == 0 && n.resources.atTarget.Used() == 0
		})
	}
}

// Guards against a refusal for lack of memory that is sent for a request which
// runs, against refusing small requests, and against failing a request that ran
// because its response finds no memory.
func TestRefusedForMemoryIsNotRun(t *testing.T) {
	g := startTarget(t, "t")
	host, entry := startPair(t, "1", g, nil)
	markTested(t, host, "first")
	for name, full := range map[string]*Node{"host": host, "entry": entry} {
		account := full.resources.memory.Open()
		account.Force(full.cfg.Resources.withDefaults().MemoryBytes)
		got := sendOrder(t, entry, name, 200<<10)
		if got.status != http.StatusServiceUnavailable || got.header.Get(headerRan) != "no" || got.header.Get("Retry-After") == "" || g.runCount(name) != 0 {
			t.Errorf("memory of the %s node is short: status %d, ran %q, Retry-After %q, %d runs", name, got.status, got.header.Get(headerRan), got.header.Get("Retry-After"), g.runCount(name))
		}
		wantResponse(t, sendOrder(t, entry, name+" small", 10<<10), http.StatusOK, "")
		g.setHandler(longResponse(true, true))
		if got := send(t, entry, "/file/1", name+" response"); got.status != http.StatusOK || len(got.body) != longBody {
			t.Errorf("memory of the %s node is short: response with status %d, %d bytes, %v", name, got.status, len(got.body), got.err)
		}
		g.setHandler(respondOK)
		account.Close()
		wantResponse(t, sendOrder(t, entry, name+" again", 200<<10), http.StatusOK, "")
	}
}

// startBoundedTarget starts a target and its node, whose bodies in flight to the
// target may hold the given number of bytes.
func startBoundedTarget(t *testing.T, config string, bytesAtTarget int64) (*stubTarget, *Node) {
	t.Helper()
	g := startTarget(t, "t")
	n := startNode(t, g)
	setConfig(t, config, n)
	markTested(t, n, "first")
	n.resources.atTarget = limits.NewMemory(bytesAtTarget, n.resources.now, nil)
	return g, n
}

// Guards against a target that is handed more bytes at once than its host can
// bear, and against refusing a single large request.
func TestBytesAtTarget(t *testing.T) {
	g, n := startBoundedTarget(t, "1", 100<<10)
	wantResponse(t, sendOrder(t, n, "alone", 200<<10), http.StatusOK, "")
	began, finish := make(chan struct{}), make(chan struct{})
	g.setHandler(func(w io.Writer, r *http.Request) bool {
		close(began)
		<-finish
		return respondOK(w, r)
	})
	first := make(chan callerResponse)
	go func() { first <- sendOrder(t, n, "first", 90<<10) }()
	<-began
	refusedBefore := gometrics.GetOrRegisterCounter(metricMemoryRefused, n.metrics.registry).Count()
	got := sendOrder(t, n, "second", 20<<10)
	if refused := gometrics.GetOrRegisterCounter(metricMemoryRefused, n.metrics.registry).Count() - refusedBefore; refused > maxMemoryRefusals {
		t.Errorf("the request was sent to a target without room %d times, want at most %d", refused, maxMemoryRefusals)
	}
	if got.status != http.StatusServiceUnavailable || got.header.Get(headerRan) != "no" || g.runCount("second") != 0 {
		t.Errorf("status %d, ran %q, %d runs beside 90 KiB in flight", got.status, got.header.Get(headerRan), g.runCount("second"))
	}
	close(finish)
	wantResponse(t, <-first, http.StatusOK, "")
}

// Guards against a target whose requests without a body, or with a small one, are
// refused while one large body is in flight to it, and against a chunked body of
// which only the buffered part counts.
func TestBytesAtTargetOfStreams(t *testing.T) {
	g, n := startBoundedTarget(t, "1", 4<<20)
	for name, body := range map[string]string{
		"announced": fmt.Sprintf("Content-Length: %d\r\n\r\n%s", 5<<20, strings.Repeat("z", 5<<20)),
		"chunked":   fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", 5<<20, strings.Repeat("z", 5<<20)),
	} {
		began, finish := make(chan struct{}), make(chan struct{})
		g.setHandler(func(w io.Writer, r *http.Request) bool {
			if r.Header.Get("X-Id") == name {
				close(began)
				<-finish
			}
			return respondOK(w, r)
		})
		c := dialCaller(t, n)
		fmt.Fprintf(c, "POST /order/1 HTTP/1.1\r\nHost: h.example\r\nX-Id: %s\r\n%s", name, body)
		<-began
		wantResponse(t, send(t, n, "/read/1", name+" no body"), http.StatusOK, "")
		wantResponse(t, sendOrder(t, n, name+" small body", 10<<10), http.StatusOK, "")
		wantResponse(t, sendOrder(t, n, name+" large body", 200<<10), http.StatusServiceUnavailable, "")
		close(finish)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Errorf("%s: response %v, error %v", name, resp, err)
		}
		if used := n.resources.atTarget.Used(); used != 0 {
			t.Errorf("%s: %d bytes in flight after the request, want 0", name, used)
		}
	}
}

// Guards against one caller that announces a large body and sends it slowly, and
// so makes a target refuse all other large bodies until its deadline.
func TestSlowBodyGivesWayAtTarget(t *testing.T) {
	_, n := startBoundedTarget(t, "1 600000", 4<<20)
	c := dialCaller(t, n)
	fmt.Fprintf(c, "POST /order/1 HTTP/1.1\r\nHost: h.example\r\nX-Id: slow\r\nContent-Length: %d\r\n\r\n%s", 5<<20, strings.Repeat("z", 2<<20))
	testutil.Eventually(t, "the slow body is in flight", func() bool { return n.resources.atTarget.Used() > 0 })
	testutil.Eventually(t, "another body is served", func() bool { return sendOrder(t, n, "other", 200<<10).status == http.StatusOK })
	testutil.Eventually(t, "nothing is in flight", func() bool { return n.resources.atTarget.Used() == 0 })
}

// Guards against a host node without free descriptors that takes its sound target
// for broken or absent.
func TestConnectionLimitIsNoEvidence(t *testing.T) {
	g := startTarget(t, "t")
	host, entry := startPair(t, "1", g, nil)
	markTested(t, host, "first")
	failed := counterOf(host, "mesh_target_answers_total."+admission.TransportError.String())
	host.resources.outgoing.SetLimit(0)
	host.resources.closeIdle()
	got := send(t, entry, "/read/1", "limited", "X-Left", "500")
	if got.status != http.StatusServiceUnavailable || got.header.Get(headerRan) != "no" {
		t.Errorf("status %d, ran %q, want 503 and no", got.status, got.header.Get(headerRan))
	}
	if after := counterOf(host, "mesh_target_answers_total."+admission.TransportError.String()); after != failed {
		t.Errorf("%d failures of the target were recorded", after-failed)
	}
	host.resources.outgoing.SetLimit(100)
	wantResponse(t, send(t, entry, "/read/1", "again"), http.StatusOK, "")
}

// Guards against callers that stop in the middle of a streamed body and so make a
// sound target count as stalled or broken.
func TestStalledCallerIsNoEvidence(t *testing.T) {
	g := startTarget(t, "t")
	host, entry := startPair(t, "1 1000", g, nil)
	markTested(t, host, "first")
	for i, n := range []*Node{host, entry, host, entry} {
		c := dialCaller(t, n)
		fmt.Fprintf(c, "POST /order/1 HTTP/1.1\r\nHost: h.example\r\nX-Id: stalled%d\r\nContent-Length: %d\r\n\r\n%s", i, longBody, strings.Repeat("z", 2*maxBuffered))
		_, _ = io.ReadAll(c) // until the node gives the request up
	}
	// The entry node closes its caller's connection before the host node has
	// noticed the end of the hop.
	testutil.Eventually(t, "slots are free after bodies that stopped", func() bool { return host.gate.Status().Running == 0 })
	if s := host.gate.Status(); s.Ejected || s.Risk > 0.3 {
		t.Errorf("ejected %v, risk %.3f after bodies that stopped", s.Ejected, s.Risk)
	}
	wantResponse(t, sendOrder(t, entry, "ordinary", 10), http.StatusOK, "")
}
