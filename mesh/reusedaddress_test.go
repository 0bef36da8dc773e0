package mesh

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"hyssopbridge/admission"
	"hyssopbridge/internal/testutil"
	"hyssopbridge/resultcode"
	"hyssopbridge/upstream"
)

// orderFor returns the admission request of an order for the target with the
// given ID.
func orderFor(id string) admission.Request {
	return admission.Request{Target: id, Service: testService, AllowUntested: true, MaxRisk: 1}
}

// Guards against an order that runs twice when its target's process has ended,
// so that it is sent elsewhere, and another process takes the port the moment
// after the connection was refused.
func TestRefusedConnectAndReusedAddress(t *testing.T) {
	for _, path := range orderPaths {
		for _, kept := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, kept connection %v", path, kept), func(t *testing.T) {
				t.Parallel()
				old, other := startTarget(t, "old"), startTarget(t, "other")
				host, second := startNode(t, old), startNode(t, other)
				nodes, entry := []*Node{host, second}, host
				if path != orderPaths[0] {
					entry = startNode(t, nil)
					nodes = append(nodes, entry)
				}
				connectNodes(t, nodes...)
				setConfig(t, "1", nodes...)
				var reused atomic.Pointer[stubTarget]
				client := upstream.NewClient(upstream.Config{Dial: func(ctx context.Context, addr string) (net.Conn, error) {
					c, err := dialTarget(ctx, addr)
					if err != nil && reused.Load() == nil {
						reused.Store(startTargetAt(t, "new", addr))
					}
					return c, err
				}})
				host.hostNode.client = client
				testutil.Eventually(t, "the target is tested", func() bool {
					_ = send(t, host, "/read/1", "first")
					return old.runCount("first") > 0
				})
				if !kept {
					client.CloseIdle(true)
				}
				old.close()
				for k := 0; reused.Load() == nil && k < 200; k++ {
					id := fmt.Sprint("order-", k)
					got := send(t, entry, "/order/1", id)
					ran := other.runCount(id)
					if g := reused.Load(); g != nil {
						time.Sleep(50 * time.Millisecond) // for a request that is on its way
						ran = other.runCount(id) + g.runCount(id)
					}
					if ran > 1 || isPromise(got.status) && ran > 0 || got.status == http.StatusOK && ran != 1 {
						t.Errorf("status %d, the order ran %d times", got.status, ran)
					}
				}
				if reused.Load() == nil {
					t.Error("no order was sent to the address of the target that ended")
				}
			})
		}
	}
}

// Guards against a request that is sent to a new instance, or by a new host
// node, under a reservation of the one that had the address before.
func TestReservationOfFormerOwnerOfAddress(t *testing.T) {
	atSameAddress := func(id string, restarted bool) func(*testing.T, *Node, *stubTarget) (*stubTarget, error) {
		return func(t *testing.T, n *Node, old *stubTarget) (*stubTarget, error) {
			reserved := mustReserve(t, n, orderFor("old"))
			old.close()
			next := startTargetAt(t, id, old.addr)
			n.SetTarget(servingTarget(id), next.addr, restarted)
			_, err := n.hostNode.run(t.Context(), reserved, orderFor("old"), testOrder(n, time.Second))
			return next, err
		}
	}
	for name, run := range map[string]func(t *testing.T, n *Node, old *stubTarget) (next *stubTarget, err error){
		"new instance at the same address": atSameAddress("new", false),
		"restart under the same ID":        atSameAddress("old", true),
		"new host node at the same address": func(t *testing.T, n *Node, old *stubTarget) (*stubTarget, error) {
			entry := startNode(t, nil)
			r, err := entry.remote.reserve(t.Context(), n.cfg.NodeAddr, orderFor("old"))
			if err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			_ = n.Stop(ctx, 0) // ends at once
			next := startTarget(t, "old")
			startNodeWith(t, next, func(c *Config) { c.NodeAddr = n.cfg.NodeAddr })
			_, err = r.run(t.Context(), testOrder(entry, time.Second))
			return next, err
		},
	} {
		t.Run(name, func(t *testing.T) {
			old := startTarget(t, "old")
			n := startNode(t, old)
			setConfig(t, "1", n)
			next, err := run(t, n, old)
			if got := asResultError(err).Ran; got != resultcode.RanNo {
				t.Errorf("ran %q, want %q: %v", got, resultcode.RanNo, err)
			}
			time.Sleep(20 * time.Millisecond) // for a request that is on its way
			if k := old.runCount("x") + next.runCount("x"); k > 0 {
				t.Errorf("the order ran %d times", k)
			}
		})
	}
}

// Guards against a request that passes the check of its reservation for one
// instance and is sent to the address of the next one, which is set meanwhile.
func TestRequestsFollowTheClaimedTarget(t *testing.T) {
	targets := []*stubTarget{startTarget(t, "t0"), startTarget(t, "t1")}
	var wrong atomic.Int64
	for _, g := range targets {
		g.setHandler(func(w io.Writer, r *http.Request) bool {
			if r.Header.Get("X-Expect") != g.id {
				wrong.Add(1)
			}
			return respondOK(w, r)
		})
	}
	n := startNode(t, targets[0])
	setConfig(t, "1", n)
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for k := 1; ; k++ {
			select {
			case <-done:
				return
			default:
				n.SetTarget(servingTarget(targets[k%2].id), targets[k%2].addr, false)
			}
		}
	})
	const requests = 3000
	var sent atomic.Int64
	for range 4 {
		wg.Go(func() {
			for k := 0; sent.Load() < requests; k++ {
				req := orderFor(targets[k%2].id)
				reserved, _ := n.hostNode.reserve(t.Context(), req, func() {})
				if reserved == nil {
					continue // the other instance is in place
				}
				if resp, err := n.hostNode.run(t.Context(), reserved, req, testOrder(n, waitLimit)); err == nil {
					resp.close()
					sent.Add(1)
				}
			}
		})
	}
	testutil.Eventually(t, "enough requests are sent", func() bool { return sent.Load() >= requests })
	close(done)
	wg.Wait()
	if k := wrong.Load(); k > 0 {
		t.Errorf("%d of %d requests were sent to another instance than their reservation's", k, sent.Load())
	}
}
