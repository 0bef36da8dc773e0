package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"hyssopbridge/control"
)

// An outage of the log must not stop traffic or orders, must not keep a new or
// restarted node from serving, and must not look like a successful publication.
func TestLogOutage(t *testing.T) {
	t.Parallel()
	f, targets := newOrderFixture(t, 3)
	f.log.SetDown(true)
	_, err := f.publisher().Publish(context.Background(), "test.json", []byte(document), control.HeadBase)
	var down *control.UnavailableError
	if !errors.As(err, &down) {
		t.Errorf("publish while the log is down: %v, want UnavailableError", err)
	}
	orders := f.sendOrders("down", orderCount, newKey, f.nodes)
	if n := countStatus(orders, http.StatusOK); n != orderCount {
		t.Errorf("%d of %d orders answered while the log is down", n, orderCount)
	}
	joined := f.startNode(3)
	f.waitStatus("http://"+joined.listen+"/status/1", http.StatusOK)
	f.nodes[1].kill()
	f.run(f.nodes[1])
	f.waitStatus("http://"+f.nodes[1].listen+"/status/1", http.StatusOK)
	f.log.SetDown(false)
	f.withdraw(t)
	for _, p := range append(f.nodes, joined) {
		f.waitStatus("http://"+p.listen+"/status/1", http.StatusGone)
	}
	targets.check(t)
}

// frozenTime is longer than the longest pause after which a node still serves
// without asking its peers for the configuration in force.
const frozenTime = 4 * time.Second

func (f *fixture) withdraw(t *testing.T) {
	t.Helper()
	if _, err := f.publisher().Withdraw(context.Background(), "belts", "test", control.HeadBase); err != nil {
		t.Fatal(err)
	}
}

// A node that was frozen during a withdrawal must not serve the mandate when it
// resumes, and no node may serve it again later.
func TestWithdrawalWhileFrozen(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 3)
	f.startOrderTargets()
	f.publish(document)
	for _, p := range f.nodes {
		f.waitStatus("http://"+p.listen+"/status/1", http.StatusOK)
	}
	frozen := f.nodes[2]
	if err := frozen.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	f.withdraw(t)
	for _, p := range f.nodes[:2] {
		f.waitStatus("http://"+p.listen+"/status/1", http.StatusGone)
	}
	time.Sleep(frozenTime)
	if err := frozen.cmd.Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	for range 200 {
		for _, p := range f.nodes {
			f.checkWithdrawn(p)
		}
	}
	f.waitStatus("http://"+frozen.listen+"/status/1", http.StatusGone)
}

// checkWithdrawn fails the test if p serves a request of the withdrawn mandate.
func (f *fixture) checkWithdrawn(p *process) {
	resp, err := f.client.Get("http://" + p.listen + "/status/1")
	if err != nil {
		f.t.Error(err)
		return
	}
	resp.Body.Close()
	if resp.StatusCode < http.StatusBadRequest {
		f.t.Errorf("withdrawn mandate answered with status %d", resp.StatusCode)
	}
}

// If several operators publish at the same time, exactly one must succeed and all
// others must get a conflict.
func TestConcurrentPublish(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 2)
	f.publish(document)
	f.waitStatus("http://"+f.nodes[0].listen+"/status/1", http.StatusServiceUnavailable)
	const operators = 8
	var mu sync.Mutex
	var wait sync.WaitGroup
	succeeded, conflicts := 0, 0
	base := currentRevision(t, f)
	for i := range operators {
		wait.Go(func() {
			doc := fmt.Sprintf(`{"comment":"operator %d",%s`, i, document[1:])
			_, err := f.publisher().Publish(context.Background(), "test.json", []byte(doc), base)
			var conflict *control.ConflictError
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil:
				succeeded++
			case errors.As(err, &conflict):
				conflicts++
			default:
				t.Errorf("publish: %v", err)
			}
		})
	}
	wait.Wait()
	if succeeded != 1 || conflicts != operators-1 {
		t.Errorf("%d operators succeeded and %d got a conflict, want 1 and %d", succeeded, conflicts, operators-1)
	}
}

func currentRevision(t *testing.T, f *fixture) int64 {
	t.Helper()
	state := control.NewState(nil)
	entries, err := f.log.Read(context.Background(), "control", 1, 1000)
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range entries {
		state.Apply(e)
	}
	m, ok := state.Snapshot().Mandate("belts")
	if !ok {
		t.Fatal("mandate is not known")
	}
	return m.Revision
}
