package mesh

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/text"
	gometrics "github.com/rcrowley/go-metrics"

	"hyssopbridge/admission"
	"hyssopbridge/config/dynamic"
	"hyssopbridge/internal/clock"
	"hyssopbridge/internal/testutil"
)

// decodeCustomers reads a version number, the requests per second of a
// customer's quota, which is also its burst, and the keys of customer "c". A
// version number alone stands for an empty list of customers.
func decodeCustomers(raw []byte) (*dynamic.Config, error) {
	fields := strings.Fields(string(raw))
	version, err := strconv.ParseInt(fields[0], 10, 64)
	if err != nil {
		return nil, err
	}
	route := func(name string, public bool) dynamic.Route {
		return dynamic.Route{
			Name: name, Host: "h.example", Prefix: "/" + name + "/", Idempotent: true, Public: public, Timeout: 5 * time.Second,
			Objective: 5 * time.Second, Attempts: 2, Shares: []dynamic.Share{{Service: testService, Weight: 1}},
		}
	}
	customers := dynamic.Customers{KeysRequired: true}
	if len(fields) > 1 {
		perSecond, err := strconv.ParseFloat(fields[1], 64)
		if err != nil {
			return nil, err
		}
		customers.Accounts = []dynamic.Customer{
			{Name: "c", Keys: fields[2:], Quota: dynamic.Quota{PerSecond: perSecond, Burst: perSecond}},
			{Name: "other", Keys: []string{"key of another"}},
		}
	}
	return dynamic.New(version, []dynamic.Service{{Name: testService}}, defaultLimits, customers, []dynamic.Route{route("read", false), route("public", true)})
}

// startCustomerNode starts a node whose configurations decodeCustomers reads.
func startCustomerNode(t *testing.T, g *stubTarget) *Node {
	t.Helper()
	return startNodeWith(t, g, func(c *Config) { c.Decode = decodeCustomers })
}

// Guards against a key that reaches a target or the log, a customer's name that
// the caller chose, and a key that still works once a version has withdrawn it,
// also on a connection that was in use before, and if it was the last customer's:
// the empty list then let every key in, and callers without one.
func TestKeys(t *testing.T) {
	g := startTarget(t, "t")
	var customer, key atomic.Pointer[string]
	g.setHandler(func(w io.Writer, r *http.Request) bool {
		name, leaked := r.Header.Get("X-Customer"), strings.Join(r.Header["X-Key"], ",")
		customer.Store(&name)
		key.Store(&leaked)
		return respondOK(w, r)
	})
	var logged lockedBuffer
	n := startNodeWith(t, g, func(c *Config) {
		c.Decode, c.Log = decodeCustomers, &log.Logger{Handler: text.New(&logged), Level: log.InfoLevel}
	})
	setConfig(t, "1 0 secret", n)
	c := dialCaller(t, n)
	br := bufio.NewReader(c)
	request := func(path, key string) int {
		fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h.example\r\nX-Id: 1\r\nX-Key: %s\r\nX-Customer: forged\r\n\r\n", path, key)
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		return resp.StatusCode
	}
	expect := func(what string, status, want int, name string) {
		t.Helper()
		if status != want {
			t.Errorf("%s: status %d, want %d", what, status, want)
		}
		if want == 200 && (*customer.Load() != name || *key.Load() != "") {
			t.Errorf("%s: the target got customer %q and key %q, want %q", what, *customer.Load(), *key.Load(), name)
		}
	}
	expect("known key", request("/read/1", "secret"), 200, "c")
	expect("public route, no key", request("/public/1", ""), 200, "")
	expect("public route, known key", request("/public/1", "secret"), 200, "c")
	expect("unknown key", request("/read/1", "guess"), 401, "")
	expect("no key", request("/read/1", ""), 401, "")
	setConfig(t, "2 0 another", n)
	expect("withdrawn key", request("/read/1", "secret"), 401, "")
	expect("new key", request("/read/1", "another"), 200, "c")
	setConfig(t, "3", n)
	for _, key := range []string{"another", "guess", ""} {
		expect("no customer is left, key "+key, request("/read/1", key), 401, "")
	}
	expect("public route, no customer is left", request("/public/1", "another"), 200, "")
	for _, s := range []string{"secret", "guess", "another"} {
		if strings.Contains(logged.String(), s) {
			t.Errorf("the log contains key %q", s)
		}
	}
}

// lockedBuffer is a buffer for concurrent writers.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// startSuspendableNode starts a node whose configurations decodeCustomers reads
// and whose clock is ahead by the returned time, as after a suspension.
func startSuspendableNode(t *testing.T, g *stubTarget) (n *Node, suspended *atomic.Int64) {
	t.Helper()
	suspended = &atomic.Int64{}
	n = startNodeWith(t, g, func(c *Config) {
		c.Decode, c.Clock = decodeCustomers, func() time.Duration { return clock.SinceBoot() + time.Duration(suspended.Load()) }
	})
	return n, suspended
}

// Guards against a request that runs with a key that was withdrawn while the
// request waited for a slot, by the version from before a suspension as well, and
// against status 401 on a public route, where the request runs without a
// customer, like one that arrives with that key now.
func TestKeyWithdrawnInQueue(t *testing.T) {
	for name, test := range map[string]struct {
		path      string
		next      string // configuration that withdraws the key
		suspended bool
		statuses  []int // that the waiting request may get
		runs      bool
	}{
		"route with keys":     {"/read/1", "2 0 another", false, []int{401}, false},
		"no customer is left": {"/read/1", "2", false, []int{401}, false},
		"public route":        {"/public/1", "2 0 another", false, []int{200}, true},
		"during a suspension": {"/read/1", "2 0 another", true, []int{503, 401}, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := startTarget(t, "t")
			release := make(chan struct{})
			var customers sync.Map // by request ID
			g.setHandler(func(w io.Writer, r *http.Request) bool {
				<-release
				customers.Store(r.Header.Get("X-Id"), r.Header.Get("X-Customer"))
				return respondOK(w, r)
			})
			n, suspended := startSuspendableNode(t, g)
			n.SetTarget(admission.Target{ID: g.id, Service: testService, Slots: 1, Phase: admission.Serving}, g.addr, false)
			withdraws := n
			if test.suspended {
				withdraws = startCustomerNode(t, nil)
				connectNodes(t, n, withdraws)
			}
			setConfig(t, "1 0 secret", n)
			var wait sync.WaitGroup
			defer wait.Wait()
			wait.Go(func() { wantResponse(t, send(t, n, "/read/1", "first", "X-Key", "secret"), 200, "") })
			testutil.Eventually(t, "the slot is in use", func() bool { return g.runCount("first") == 1 })
			wait.Go(func() {
				if got := send(t, n, test.path, "waiting", "X-Key", "secret"); !slices.Contains(test.statuses, got.status) || got.err != nil {
					t.Errorf("status %d, error %v for the request that waited, want one of %d", got.status, got.err, test.statuses)
				}
			})
			testutil.Eventually(t, "a request waits", func() bool { return n.gate.Status().Waiting == 1 })
			if test.suspended {
				suspended.Store(int64(suspensionGap + 500*time.Millisecond))
			}
			setConfig(t, test.next, withdraws)
			close(release)
			wait.Wait()
			if ran := g.runCount("waiting") != 0; ran != test.runs {
				t.Errorf("the request that waited ran: %v, want %v", ran, test.runs)
			}
			if name, ran := customers.Load("waiting"); ran && name != "" {
				t.Errorf("ran with customer %q, want no customer", name)
			}
		})
	}
}

// Guards against a request that a target refused and that is sent to another one
// although its key was withdrawn meanwhile.
func TestKeyWithdrawnAfterRefusal(t *testing.T) {
	targets := []*stubTarget{startTarget(t, "a"), startTarget(t, "b")}
	nodes := []*Node{startCustomerNode(t, targets[0]), startCustomerNode(t, targets[1])}
	connectNodes(t, nodes...)
	for i, n := range nodes {
		setConfig(t, "1 0 secret", n)
		wantResponse(t, send(t, nodes[i], "/read/1", "warm", "X-Key", "secret"), 200, "")
	}
	var arrivals atomic.Int64
	for _, g := range targets {
		g.setHandler(func(w io.Writer, r *http.Request) bool {
			if arrivals.Add(1) == 1 {
				for _, n := range nodes {
					_ = n.SetConfig([]byte("2 0 another"), "test")
				}
				writeTestRefusal(w, r.Header.Get("X-Id"))
				return true
			}
			return respondOK(w, r)
		})
	}
	got := send(t, nodes[0], "/read/1", "refused", "X-Key", "secret")
	if got.status != 401 || arrivals.Load() != 1 {
		t.Errorf("status %d, %d arrivals, want 401 and 1", got.status, arrivals.Load())
	}
}

// Guards against a version that is confirmed by a node that was suspended too, as
// when several processes of one machine sleep at once.
func TestSuspendedNodeDoesNotConfirm(t *testing.T) {
	n, other := startCustomerNode(t, nil), startCustomerNode(t, nil)
	connectNodes(t, n, other)
	setConfig(t, "1 0 secret", n)
	setConfig(t, "1 0 secret", other)
	if err := n.confirmVersion(t.Context()); err != nil {
		t.Fatal(err)
	}
	other.suspension.unconfirmed.Store(1)
	if err := n.confirmVersion(t.Context()); err == nil {
		t.Error("a node that was suspended confirmed that there is no newer version")
	}
}

// Guards against a version that counts as confirmed by an answer from before a
// second suspension.
func TestSecondSuspensionNeedsConfirmation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var now atomic.Int64
		asked := 0
		s := &suspension{now: func() time.Duration { return time.Duration(now.Load()) }, log: discardEventLog()}
		suspend := func() {
			now.Add(int64(10 * time.Second))
			s.step()
		}
		s.confirm = func(context.Context) error {
			if asked++; asked == 1 {
				suspend() // between the answer and its processing
			}
			return nil
		}
		suspend()
		synctest.Wait()
		if asked != 2 || !s.confirmed() {
			t.Errorf("%d confirmations after two suspensions, confirmed %v; want 2 and true", asked, s.confirmed())
		}
	})
}

// Guards against status 401 for a key that another node's version holds.
func TestNewKeyAtNodeBehind(t *testing.T) {
	n := startCustomerNode(t, startTarget(t, "t"))
	// The announcing node below has no process that could be asked.
	n.entryNode.versions = &versionCheck{ask: func(context.Context) error { return nil }}
	setConfig(t, "1 0 secret", n)
	announce := func(version int64) {
		n.peers.mu.Lock()
		defer n.peers.mu.Unlock()
		addReader(n, "127.0.0.9:1", 0).last.Version = version
	}
	announce(2)
	wantResponse(t, send(t, n, "/read/1", "1", "X-Key", "new"), 503, "")
	wantResponse(t, send(t, n, "/read/1", "2", "X-Key", "secret"), 200, "")
	announce(1)
	wantResponse(t, send(t, n, "/read/1", "3", "X-Key", "new"), 401, "")
}

// Guards against a node that serves by an old version after a suspension, during
// which a key was withdrawn.
func TestKeyWithdrawnDuringSuspension(t *testing.T) {
	n, suspended := startSuspendableNode(t, startTarget(t, "t"))
	setConfig(t, "1 0 secret", n)
	other := startCustomerNode(t, nil)
	connectNodes(t, n, other)
	setConfig(t, "1 0 secret", other)
	wantResponse(t, send(t, n, "/read/1", "1", "X-Key", "secret"), 200, "")

	// Datagrams are lost, so that only the confirmation can bring the version.
	other.peers.mu.Lock()
	clear(other.peers.byAddr)
	other.peers.mu.Unlock()
	setConfig(t, "2 0 another", other)
	suspended.Store(int64(10 * time.Second))
	if got := send(t, n, "/read/1", "2", "X-Key", "secret"); got.status != 503 && got.status != 401 {
		t.Errorf("status %d right after a suspension, want 503 or 401", got.status)
	}
	testutil.Eventually(t, "the version is confirmed", n.suspension.confirmed)
	wantResponse(t, send(t, n, "/read/1", "3", "X-Key", "secret"), 401, "")
	wantResponse(t, send(t, n, "/read/1", "4", "X-Key", "another"), 200, "")
}

// Guards against a quota that each node grants on its own, a refusal without the
// time of the next token, and requests that are charged although they did not
// run or carry no key.
func TestQuotaOverNodes(t *testing.T) {
	const perSecond = 20
	var nodes []*Node
	for range 3 {
		nodes = append(nodes, startCustomerNode(t, startTarget(t, "t")))
	}
	connectNodes(t, nodes...)
	for _, n := range nodes {
		n.SetQuotaPolicy(QuotaPolicy{Window: 5 * time.Second})
		setConfig(t, fmt.Sprint("1 ", perSecond, " secret"), n)
		testutil.Eventually(t, "the node may own quotas", n.quotas.core.Ready)
	}
	wantResponse(t, send(t, nodes[0], "/public/1", "public"), 200, "")
	if got := counterOf(nodes[0], metricQuotaGranted); got != 0 {
		t.Errorf("%d requests without a key were charged", got)
	}
	start := time.Now()
	var wait sync.WaitGroup
	var admitted, refused atomic.Int64
	for i := range 150 {
		wait.Go(func() {
			got := send(t, nodes[i%len(nodes)], "/read/1", fmt.Sprint("r", i), "X-Key", "secret")
			retry, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
			switch {
			case got.status == 200:
				admitted.Add(1)
			case got.status == 429 && err == nil && retry > 0:
				refused.Add(1)
			default:
				t.Errorf("status %d, Retry-After %q, error %v", got.status, got.header.Get("Retry-After"), got.err)
			}
		})
	}
	wait.Wait()
	if most := perSecond * (1 + time.Since(start).Seconds()); float64(admitted.Load()) > most+1 || admitted.Load() == 0 {
		t.Errorf("%d requests were admitted, at most %.0f are within the quota", admitted.Load(), most)
	}
	if refused.Load() == 0 {
		t.Error("no request was refused")
	}

	for _, n := range nodes {
		n.gate.Stop()
	}
	before := counterOf(nodes[1], metricQuotaRefunded)
	testutil.Eventually(t, "a request within the quota is refused for want of a target", func() bool {
		return send(t, nodes[1], "/read/1", "stopped", "X-Key", "secret", "X-Left", "200").status == 503
	})
	if after := counterOf(nodes[1], metricQuotaRefunded); after == before {
		t.Error("a request that did not run was charged")
	}
}

func counterOf(n *Node, metric string) int64 {
	return gometrics.GetOrRegisterCounter(metric, n.metrics.registry).Count()
}

// Guards against customers' requests that are counted as calls of retried runs
// because the target on their host runs retries.
func TestRequestsWithKeyAreNoCalls(t *testing.T) {
	n := startCustomerNode(t, startTarget(t, "t"))
	setConfig(t, "1 0 secret", n)
	n.SetService("caller")
	n.hostNode.outboundCalls.beginRun(idempotentRuns, true, 0)
	for id := range 10 {
		wantResponse(t, send(t, n, "/public/x", strconv.Itoa(id), "X-Key", "secret"), http.StatusOK, fmt.Sprint("body of ", id))
	}
	if calls := n.metrics.sum(metricCallsOfRetries); calls > 0 {
		t.Errorf("%.2f of 10 requests with a key count as calls of retried runs", calls)
	}
	wantResponse(t, send(t, n, "/public/x", "call"), http.StatusOK, "body of call")
	if calls := n.metrics.sum(metricCallsOfRetries); calls < 0.9 {
		t.Errorf("a request without a key counts as %.2f calls of retried runs, want 1", calls)
	}
}
