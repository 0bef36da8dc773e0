package main

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"
)

// newKey returns a UUIDv7, which is an idempotency key with an issue time.
func newKey() string {
	var b [16]byte
	_, _ = rand.Read(b[:])
	var ms [8]byte
	binary.BigEndian.PutUint64(ms[:], uint64(time.Now().UnixMilli()))
	copy(b[:6], ms[2:])
	b[6] = b[6]&0x0f | 0x70
	b[8] = b[8]&0x3f | 0x80
	return fmt.Sprintf("%x-%x-%x-%x-%x", b[:4], b[4:6], b[6:8], b[8:10], b[10:])
}

// newOpaqueKey returns an idempotency key without an issue time.
func newOpaqueKey() string { return "order." + newKey()[24:] }

// sentOrder is an order and the last response that its caller received.
type sentOrder struct {
	number, key string
	status      int
	ran         string
}

// sendOrders sends n orders, spread over the nodes.
func (f *fixture) sendOrders(label string, n int, key func() string, nodes []*process) []*sentOrder {
	orders := make([]*sentOrder, n)
	var wait sync.WaitGroup
	for i := range orders {
		o := &sentOrder{number: fmt.Sprintf("%s-%d", label, i), key: key()}
		orders[i] = o
		wait.Go(func() { o.status, o.ran = f.order(nodes[i%len(nodes)], o.number, o.key) })
	}
	wait.Wait()
	return orders
}

// resend resends each order through every node, all orders at the same time.
func (f *fixture) resend(orders []*sentOrder, nodes []*process) {
	var wait sync.WaitGroup
	for _, o := range orders {
		wait.Go(func() {
			for _, p := range nodes {
				o.status, o.ran = f.order(p, o.number, o.key)
			}
		})
	}
	wait.Wait()
}

// checkNotRun fails the test if an order ran although the last response to
// its caller said "not run".
func checkNotRun(t *testing.T, orders []*sentOrder, targets *orderTargets) {
	t.Helper()
	for _, o := range orders {
		if o.ran == "no" && targets.ran(o.number) > 0 {
			t.Errorf("order %s ran, but its caller was told that it did not (status %d)", o.number, o.status)
		}
	}
}

func countStatus(orders []*sentOrder, status int) int {
	n := 0
	for _, o := range orders {
		if o.status == status {
			n++
		}
	}
	return n
}

const orderCount = 40

// An order must run only once when it is resent with the same key through all
// nodes, and the resend must be answered.
func TestOrdersThroughAllNodes(t *testing.T) {
	t.Parallel()
	f, targets := newOrderFixture(t, 3)
	for _, key := range []func() string{newKey, newOpaqueKey} {
		orders := f.sendOrders("o"+key()[:3], orderCount, key, f.nodes)
		f.resend(orders, f.nodes)
		if n := countStatus(orders, http.StatusOK); n != orderCount {
			t.Errorf("%d of %d orders were answered on the resend", n, orderCount)
		}
	}
	targets.check(t)
}

// After the home node of a key is killed, no order may run a second time, whichever
// node the caller resends it through, and the service must take new orders again.
func TestOrdersAfterKill(t *testing.T) {
	t.Parallel()
	f, targets := newOrderFixture(t, 4)
	orders := f.sendOrders("uuid", orderCount, newKey, f.nodes)
	orders = append(orders, f.sendOrders("opaque", orderCount, newOpaqueKey, f.nodes)...)
	f.nodes[3].kill()
	rest := f.nodes[:3]
	f.resend(orders, rest)
	checkNotRun(t, orders, targets)
	f.waitOrders(rest[0], "after")
	f.resend(orders, rest)
	checkNotRun(t, orders, targets)
	targets.check(t)
	fresh := f.sendOrders("fresh", orderCount, newKey, rest)
	if n := countStatus(fresh, http.StatusOK); n == 0 {
		t.Error("no new order was answered after the kill")
	}
	targets.check(t)
}

// A home node that is frozen until its lease has expired must not, once it
// resumes, run or answer orders that another node has taken over.
func TestOrdersDuringFreeze(t *testing.T) {
	t.Parallel()
	f, targets := newOrderFixture(t, 4)
	frozen, rest := f.nodes[3], f.nodes[:3]
	var orders []*sentOrder
	var mu sync.Mutex
	var wait sync.WaitGroup
	wait.Go(func() {
		for round := range 4 {
			batch := f.sendOrders(fmt.Sprintf("during%d", round), orderCount, newKey, f.nodes)
			mu.Lock()
			orders = append(orders, batch...)
			mu.Unlock()
		}
	})
	time.Sleep(10 * time.Millisecond)
	if err := frozen.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	time.Sleep(20 * time.Second)
	if err := frozen.cmd.Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	wait.Wait()
	f.resend(orders, append([]*process{frozen}, rest...))
	checkNotRun(t, orders, targets)
	targets.check(t)
	f.waitOrders(rest[1], "after")
}

// A planned stop of a node must keep the records of its orders, so that a resend is
// answered and does not run again.
func TestOrdersAfterPlannedStop(t *testing.T) {
	t.Parallel()
	f, targets := newOrderFixture(t, 4)
	orders := f.sendOrders("o", orderCount, newKey, f.nodes)
	if n := countStatus(orders, http.StatusOK); n != orderCount {
		t.Fatalf("%d of %d orders answered", n, orderCount)
	}
	if err := f.nodes[3].cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := f.nodes[3].cmd.Wait(); err != nil {
		t.Errorf("node exit: %v", err)
	}
	rest := f.nodes[:3]
	f.waitOrders(rest[0], "after")
	f.resend(orders, rest)
	if n := countStatus(orders, http.StatusOK); n != orderCount {
		t.Errorf("%d of %d resent orders were answered after a planned stop", n, orderCount)
	}
	targets.check(t)
}
