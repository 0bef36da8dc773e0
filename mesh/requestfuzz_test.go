package mesh

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"hyssopbridge/admission"
	"hyssopbridge/internal/clock"
	"hyssopbridge/internal/testutil"
	"hyssopbridge/upstream"
)

// fuzzNode is a node with a target that records what reaches it.
type fuzzNode struct {
	node *Node
	mu   sync.Mutex
	got  []targetRequest
}

// targetRequest is a request as the target received it.
type targetRequest struct {
	method, host, uri, id string
	body                  []byte
}

func startFuzzNode(t testing.TB) *fuzzNode {
	f := &fuzzNode{}
	l := listen(t, "127.0.0.1:0", func(c net.Conn) { go f.serveTarget(c) })
	n := New(Config{
		Zone: "z", CallerAddr: testutil.FreeAddr(t), NodeAddr: testutil.FreeAddr(t), GossipAddr: testutil.FreeAddr(t), Headers: testHeaders,
		Decode: decodeTest, Log: discardEventLog().log, Seed: 1,
	})
	if err := n.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { n.cancel(); n.nodeServer.http.Close(); n.callerServer.listener.Close() })
	n.SetTarget(admission.Target{ID: "t", Service: testService, Slots: 400, Phase: admission.Serving}, l.Addr().String(), false)
	setConfig(t, "1 10000", n)
	f.node = n
	return f
}

func (f *fuzzNode) serveTarget(c net.Conn) {
	serveRequests(c, func(_ *bufio.Reader, r *http.Request) bool {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return false
		}
		f.mu.Lock()
		f.got = append(f.got, targetRequest{r.Method, r.Host, r.RequestURI, r.Header.Get("X-Id"), body})
		f.mu.Unlock()
		writeTestResponse(c, 200, r.Header.Get("X-Id"), "ok")
		return true
	})
}

func (f *fuzzNode) take() []targetRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	got := f.got
	f.got = nil
	return got
}

// quietTime without a byte from the node ends an exchange, since the node waits for
// the rest of an incomplete request.
const quietTime = 25 * time.Millisecond

// exchange sends bytes to addr and reads what comes back, until the node closes the
// connection or, with a limit, sends nothing for that time.
func (f *fuzzNode) exchange(t *testing.T, addr string, raw []byte, limit time.Duration) []byte {
	c, err := net.Dial("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	go func() { _, _ = c.Write(raw) }() // the node may close the connection early
	var out []byte
	buffer := make([]byte, 4096)
	for {
		_ = c.SetReadDeadline(time.Now().Add(limit))
		n, err := c.Read(buffer)
		out = append(out, buffer[:n]...)
		if err != nil {
			return out
		}
	}
}

// requireOrdinary checks that the node serves an ordinary request.
func (f *fuzzNode) requireOrdinary(t *testing.T) {
	t.Helper()
	r := f.exchange(t, f.node.cfg.CallerAddr, []byte("GET /read/1 HTTP/1.1\r\nHost: h.example\r\nX-Id: after\r\nConnection: close\r\n\r\n"), waitLimit)
	if !bytes.HasPrefix(r, []byte("HTTP/1.1 200")) {
		t.Errorf("ordinary request afterwards: %q", r)
	}
}

// expected returns the requests that a strict reader finds in raw.
func expected(raw []byte) []targetRequest {
	var out []targetRequest
	br := bufio.NewReader(bytes.NewReader(raw))
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return out
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return out
		}
		out = append(out, targetRequest{r.Method, r.Host, r.RequestURI, r.Header.Get("X-Id"), body})
		// net/http skips up to four line ends after a POST, as RFC 9112, section 2.2,
		// allows for old clients.
		for range 4 {
			if b, err := br.Peek(1); r.Method != http.MethodPost || err != nil || b[0] != '\r' && b[0] != '\n' {
				break
			}
			_, _ = br.Discard(1) // one byte was peeked
		}
	}
}

// FuzzCallerRequest guards against requests of callers, whatever their bytes, that
// end or block the node, that reach the target changed, or that are smuggled
// inside another request.
func FuzzCallerRequest(f *testing.F) {
	head := "POST /order/1 HTTP/1.1\r\nHost: h.example\r\nX-Id: a\r\n"
	for _, s := range []string{
		"GET /read/1?q=%20 HTTP/1.1\r\nHost: h.example\r\nX-Id: a\r\n\r\n",
		head + "Content-Length: 4\r\n\r\nbodyGET /read/2 HTTP/1.1\r\nHost: h.example\r\nX-Id: b\r\n\r\n",
		head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n1;x=y\r\nz\r\n0\r\nX-T: t\r\n\r\n",
		head + "Transfer-Encoding: chunked\r\nTrailer: X-T\r\nContent-Length: 3\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		head + "Transfer-Encoding: chunked\r\n\r\n00000004\r\nbody\r\n0\r\nX-T: t\r\n",
		head + "Transfer-Encoding: chunked, chunked\r\n\r\n4\nbody\n0\n\n",
		head + "Content-Length: 4\r\nContent-Length: 5\r\nExpect: 100-continue\r\nConnection: X-Id\r\n\r\nbody",
		head + "Content-Length: 99999999999\r\n\r\n",
		"GET http://h.example/read/../read/%2f HTTP/1.0\r\nX-Id: a\r\nUpgrade: h2c\r\nConnection: upgrade\r\n\r\n",
		"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
	} {
		f.Add([]byte(s))
	}
	node := startFuzzNode(f)
	f.Fuzz(func(t *testing.T, raw []byte) {
		node.take()
		node.exchange(t, node.node.cfg.CallerAddr, raw, quietTime)
		want := expected(raw)
		for _, got := range node.take() {
			found := false
			for _, w := range want {
				found = found || w.method == got.method && strings.EqualFold(w.host, got.host) && sameTarget(w.uri, got.uri) && w.id == got.id && bytes.Equal(w.body, got.body)
			}
			if !found {
				t.Errorf("the target got %s %s (id %q, host %q, body %q), which is not among the requests sent: %+v", got.method, got.uri, got.id, got.host, got.body, want)
			}
		}
		node.requireOrdinary(t)
	})
}

// sameTarget compares request targets. An absolute one is sent as its path.
func sameTarget(sent, got string) bool {
	if _, rest, ok := strings.Cut(sent, "://"); ok {
		if i := strings.IndexAny(rest, "/?"); i >= 0 {
			sent = rest[i:]
		}
	}
	return sent == got || sent == strings.TrimSuffix(got, "?")
}

// FuzzNodeRequest guards against bytes at the port for nodes that end or block the
// node or that reach its target without a reservation.
func FuzzNodeRequest(f *testing.F) {
	for _, s := range []string{
		"GET / HTTP/1.1\r\nHost: n\r\n" + headerReserve + ": AAAA\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: n\r\n" + headerReservation + ": 00\r\n" + headerTimeLeft + ": 100\r\nContent-Length: 4\r\n\r\nbody",
		"POST / HTTP/1.1\r\nHost: n\r\n" + headerReservation + ": 00\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: n\r\n" + headerConfig + ": 1\r\n\r\n",
	} {
		f.Add([]byte(s))
	}
	node := startFuzzNode(f)
	f.Fuzz(func(t *testing.T, raw []byte) {
		node.take()
		node.exchange(t, node.node.cfg.NodeAddr, raw, quietTime)
		if got := node.take(); len(got) > 0 {
			t.Errorf("the target got %+v", got)
		}
		node.requireOrdinary(t)
	})
}

// FuzzTargetResponse guards against responses of a target, whatever their bytes,
// that end or block the node, or of which a part reaches the caller as whole.
func FuzzTargetResponse(f *testing.F) {
	head := "HTTP/1.1 200 X\r\nX-Id: a\r\nX-Sig: s\r\n"
	for _, s := range []string{
		head + "Content-Length: 4\r\n\r\nbody",
		head + "Content-Length: 4\r\n\r\nbod",
		head + "Transfer-Encoding: chunked\r\n\r\n4;a=b\r\nbody\r\n0\r\nX-T: t\r\n\r\n",
		head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n",
		head + "\r\nbody", "HTTP/1.1 100 C\r\n\r\n" + head + "Content-Length: 0\r\n\r\n",
		"HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 204 X\r\nX-Id: a\r\nX-Sig: s\r\n\r\n",
		head + "X Y: o\r\nContent-Length: 4\r\n\r\nbody", head + "Content-Length : 2\r\n\r\nbody", head + "Transfer-Encoding: chunked\r\n\r\n0\r\nX-T : t\r\n\r\n",
		"HTTP/1.1 000 X" + head[14:] + "\r\n", "HTTP/1.1 999 X" + head[14:] + "\r\n", "HTTP/2.0" + head[8:] + "\r\n", "HTTP/1.0" + head[8:] + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		head + " X-T: t\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.1 103 X\r\nX : o\r\n\r\n" + head + "Content-Length: 0\r\n\r\n",
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		dial := func(context.Context, string) (net.Conn, error) {
			ours, theirs := net.Pipe()
			go func() {
				defer theirs.Close()
				if _, err := http.ReadRequest(bufio.NewReader(theirs)); err == nil {
					_, _ = theirs.Write(raw) // the node may close the connection early
				}
			}()
			return ours, nil
		}
		m := newMetrics()
		res := newResources(Resources{}, discardEventLog(), m)
		x := exchange{
			client: upstream.NewClient(upstream.Config{Dial: dial}), headers: &testHeaders, metrics: m, refused: newRefusedRequests(), resources: res, addr: "t", targetID: "t",
		}
		ctx, cancel := context.WithTimeout(t.Context(), waitLimit)
		defer cancel()
		r, _ := http.NewRequest(http.MethodGet, "http://h.example/read/1", nil)
		q, err := readRequest(r, "a", res.openAccount())
		if err != nil {
			t.Fatal(err)
		}
		q.deadline = deadlineIn(waitLimit, clock.SinceBoot)
		resp, _, resultErr := x.do(ctx, q, nil)
		if ctx.Err() != nil {
			t.Fatal("the exchange does not end")
		}
		if resultErr != nil {
			return
		}
		body := resp.body
		if resp.rest != nil {
			rest, err := io.ReadAll(resp.rest)
			if body = append(body, rest...); err != nil {
				return
			}
		}
		resp.close()
		if !mayBeWhole(raw, resp.status, body) {
			t.Errorf("%q was taken for a whole response with status %d and body %q", raw, resp.status, body)
		}
		if used := res.memory.Used(); used != 0 {
			t.Errorf("%d bytes of memory in use afterwards", used)
		}
	})
}

// strictHead matches a head of HTTP/1 and captures its minor version. net/http
// accepts other versions, status codes and field names too.
var strictHead = regexp.MustCompile(`^HTTP/1\.([0-9]) +[1-5][0-9][0-9](?: [^\x00-\x08\x0a-\x1f\x7f]*)?\r?\n(?:[!#$%&'*+\-.^_|~0-9A-Za-z` + "`" + `]+:[^\x00-\x08\x0a-\x1f\x7f]*\r?\n)*\r?\n`)

var (
	transferCoding = regexp.MustCompile(`(?i)\ntransfer-encoding:`)
	fieldName      = regexp.MustCompile("^[!#$%&'*+\\-.^_`|~0-9A-Za-z]+$")
)

// mayBeWhole reports whether a strict reader finds a whole response with this
// status and body in raw, after heads that are as valid as its own.
func mayBeWhole(raw []byte, status int, body []byte) bool {
	for range 12 {
		head := strictHead.FindSubmatch(raw)
		if head == nil || string(head[1]) == "0" && transferCoding.Match(head[0]) {
			return false
		}
		br := bufio.NewReader(bytes.NewReader(raw))
		r, err := http.ReadResponse(br, nil)
		if err != nil {
			return false
		}
		got, err := io.ReadAll(r.Body)
		for name := range r.Trailer {
			if !fieldName.MatchString(name) {
				return false
			}
		}
		if err == nil && r.StatusCode == status && bytes.Equal(got, body) {
			return true
		}
		raw, _ = io.ReadAll(br)
	}
	return false
}
