package mesh

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a flood of requests with unknown keys that each cost messages,
// and against a request that is refused by a check that began before it arrived.
func TestVersionChecksAreShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var checks atomic.Int64
		c := &versionCheck{ask: func(context.Context) error {
			checks.Add(1)
			time.Sleep(20 * time.Millisecond)
			return nil
		}}
		var wait sync.WaitGroup
		for range 300 {
			time.Sleep(10 * time.Millisecond)
			wait.Go(func() {
				before := checks.Load()
				if err := c.wait(t.Context()); err != nil || checks.Load() == before {
					t.Errorf("error %v, %d checks began after the request", err, checks.Load()-before)
				}
			})
		}
		wait.Wait()
		if got := checks.Load(); got > 8 {
			t.Errorf("%d checks for 300 requests in 3 s, want at most 8", got)
		}
	})
}

// Guards against status 401 for a new key at a node that has not heard of the
// version that holds it, and against a check for requests without a key.
func TestNewKeyOfUnheardVersion(t *testing.T) {
	n, other := startCustomerNode(t, startTarget(t, "t")), startCustomerNode(t, nil)
	connectNodes(t, n, other)
	setConfig(t, "1 0 secret", n)
	setConfig(t, "1 0 secret", other)
	wantResponse(t, send(t, n, "/read/1", "none"), 401, "")
	if got := counterOf(n, metricVersionChecks); got != 0 {
		t.Errorf("%d checks for a request without a key", got)
	}
	// Datagrams are lost, so that only the check can bring the version.
	other.peers.mu.Lock()
	clear(other.peers.byAddr)
	other.peers.mu.Unlock()
	setConfig(t, "2 0 another", other)
	status := 503
	for deadline := time.Now().Add(waitLimit); status == 503 && time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		status = send(t, n, "/read/1", "new", "X-Key", "another").status
	}
	if status != 200 {
		t.Errorf("status %d for a new key, want 200, or 503 before", status)
	}
	wantResponse(t, send(t, n, "/read/1", "unknown", "X-Key", "guess"), 401, "")
	other.nodeServer.http.Close()
	wantResponse(t, send(t, n, "/read/1", "cut off", "X-Key", "guess"), 503, "")
}
