package once

import (
	"fmt"
	"testing"

	"hyssopbridge/fleet"
	"hyssopbridge/lease"
	"hyssopbridge/resultcode"
)

// drainingStore returns a store with n answered orders, and the group that
// takes over its service.
func drainingStore(n int) (*Store, lease.Group) {
	s := New(Config{}, other)
	s.Activate("s", []lease.Group{testGroup(1, 0, startMS-dayMS, other)}, startMS-dayMS)
	for i := range n {
		q := opaqueOrder(fmt.Sprint(i))
		q.Epoch = 1
		s.Finished(q.Key, s.Begin(0, startMS, q).Attempt, &Response{Status: 200})
	}
	return s, testGroup(2, 1, startMS-5000, self)
}

// Guards against a handover that counts as complete although a batch is
// missing, and against keys that are refused with RecordLost after a complete
// one.
func TestHandover(t *testing.T) {
	from, group := drainingStore(5)
	if _, ok := from.Export(1, "s", group, self, 2, 1<<20); ok {
		t.Error("export of an open service")
	}
	from.Close("s", 2)
	q := opaqueOrder("new")
	q.Epoch = 1
	checkDecision(t, "closed", from.Begin(0, startMS, q), Refuse, resultcode.NoLease)
	batches, ok := from.Export(1, "s", group, self, 2, 1<<20)
	if !ok || len(batches) != 3 {
		t.Fatalf("%d batches, %v; want 3", len(batches), ok)
	}
	to := successor(Config{})
	to.Import(0, batches[2])
	to.Import(0, batches[2])
	to.Import(0, batches[0])
	checkDecision(t, "incomplete", to.Begin(0, startMS, opaqueOrder("never run")), AskPrevious, 0)
	again, _ := from.Export(2, "s", group, self, 2, 1<<20)
	to.Import(0, again[1])
	checkDecision(t, "batches of two exports", to.Begin(0, startMS, opaqueOrder("never run")), AskPrevious, 0)
	to.Import(0, again[2])
	to.Import(0, again[0])
	checkDecision(t, "complete", to.Begin(0, startMS, opaqueOrder("never run")), Run, 0)
	for i := range 5 {
		checkDecision(t, "moved", to.Begin(0, startMS, opaqueOrder(fmt.Sprint(i))), Replay, 0)
	}
}

// Guards against a handover without an order whose outcome is still open.
func TestHandoverWaitsForRunningOrders(t *testing.T) {
	from, group := drainingStore(1)
	q := opaqueOrder("running")
	q.Epoch = 1
	attempt := from.Begin(0, startMS, q).Attempt
	from.Close("s", 2)
	if _, ok := from.Export(0, "s", group, self, 10, 1<<20); ok {
		t.Error("export while an order is running")
	}
	from.Unknown(q.Key, attempt)
	batches, ok := from.Export(0, "s", group, self, 10, 1<<20)
	if !ok {
		t.Fatal("no export")
	}
	to := successor(Config{})
	to.Import(0, batches[0])
	checkDecision(t, "unknown", to.Begin(0, startMS, opaqueOrder("running")), Refuse, resultcode.UnknownOutcome)
}

// Guards against a node that closes a service for a handover and then runs
// orders because the epoch before the handover is activated late.
func TestCloseOverridesLateActivation(t *testing.T) {
	s := New(Config{}, other)
	s.Close("s", 2)
	s.Activate("s", []lease.Group{testGroup(1, 0, startMS-dayMS, other)}, startMS-dayMS)
	q := opaqueOrder("x")
	q.Epoch = 1
	checkDecision(t, "late", s.Begin(0, startMS, q), Refuse, resultcode.NoLease)
}

// Guards against a handover that is used for keys it did not cover: third
// transferred its records for the keys of other to other, not to every member.
func TestHandoverCoversOnlyKeysOfItsReceiver(t *testing.T) {
	history := []lease.Group{testGroup(1, 0, startMS-10_000, third), testGroup(2, 1, startMS-8000, self, other), testGroup(3, 2, startMS-6000, self)}
	s := New(Config{}, self)
	s.Activate("s", history, startMS)
	s.service("s").handovers = []Handover{{To: other, Epoch: 2, From: third}}
	byHome := map[fleet.Member]int{}
	for i := range 50 {
		q := opaqueOrder(fmt.Sprint(i))
		q.Epoch = 3
		home, _ := lease.HomeIn(history[1].HomeGroup, q.Key.Scoped())
		d := s.Begin(0, startMS, q)
		if d.Action != AskPrevious || len(d.Ask) != 1 {
			t.Fatalf("decision %+v, want one node to ask", d)
		}
		if asked := d.Ask[0]; home == self && asked != third || home == other && asked != other {
			t.Errorf("home in epoch 2 is %v, asked %v", home, asked)
		}
		byHome[home]++
	}
	if len(byHome) != 2 {
		t.Errorf("keys by home %v, want two homes", byHome)
	}
}
