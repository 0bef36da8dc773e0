package once

import (
	"fmt"
	"testing"

	"hyssopbridge/fleet"
	"hyssopbridge/lease"
	"hyssopbridge/resultcode"
)

// leaving returns a store with n answered orders whose successor group is to.
func leaving(n int) (*Store, lease.Group) {
	s := New(Config{}, other)
	s.Activate("s", []lease.Group{grp(1, 0, startMS-dayMS, other)}, startMS-dayMS)
	for i := range n {
		q := opaque(fmt.Sprint(i))
		q.Epoch = 1
		s.Finished(q.Key, s.Begin(0, startMS, q).Attempt, &Answer{Status: 200})
	}
	return s, grp(2, 1, startMS-5000, self)
}

// Guards against a hand-over that counts as complete although a batch is
// missing, and against keys that answer "lost" after a complete one.
func TestHandOver(t *testing.T) {
	from, group := leaving(5)
	if _, ok := from.Export(1, "s", group, self, 2, 1<<20); ok {
		t.Error("export of an open service")
	}
	from.Close("s", 2)
	q := opaque("new")
	q.Epoch = 1
	want(t, "closed", from.Begin(0, startMS, q), Refuse, resultcode.NoLease)
	batches, ok := from.Export(1, "s", group, self, 2, 1<<20)
	if !ok || len(batches) != 3 {
		t.Fatalf("%d batches, %v; want 3", len(batches), ok)
	}
	to := successor(Config{})
	to.Import(0, batches[2])
	to.Import(0, batches[2])
	to.Import(0, batches[0])
	want(t, "incomplete", to.Begin(0, startMS, opaque("never run")), AskPrevious, 0)
	again, _ := from.Export(2, "s", group, self, 2, 1<<20)
	to.Import(0, again[1])
	want(t, "batches of two exports", to.Begin(0, startMS, opaque("never run")), AskPrevious, 0)
	to.Import(0, again[2])
	to.Import(0, again[0])
	want(t, "complete", to.Begin(0, startMS, opaque("never run")), Run, 0)
	for i := range 5 {
		want(t, "moved", to.Begin(0, startMS, opaque(fmt.Sprint(i))), Replay, 0)
	}
}

// Guards against a hand-over that omits an order whose outcome is still open.
func TestHandOverWaitsForRunningOrders(t *testing.T) {
	from, group := leaving(1)
	q := opaque("running")
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
	want(t, "unknown", to.Begin(0, startMS, opaque("running")), Refuse, resultcode.UnknownOutcome)
}

// Guards against a node that hands over and is then activated late in the
// epoch it has left.
func TestCloseOutlivesLateActivation(t *testing.T) {
	s := New(Config{}, other)
	s.Close("s", 2)
	s.Activate("s", []lease.Group{grp(1, 0, startMS-dayMS, other)}, startMS-dayMS)
	q := opaque("x")
	q.Epoch = 1
	want(t, "late", s.Begin(0, startMS, q), Refuse, resultcode.NoLease)
}

// Guards against use of a hand-over for keys that it did not contain: the
// records of third for keys of other went to other, not to every member.
func TestEdgesHoldForTheKeysOfTheirReceiver(t *testing.T) {
	chain := []lease.Group{grp(1, 0, startMS-10_000, third), grp(2, 1, startMS-8000, self, other), grp(3, 2, startMS-6000, self)}
	s := New(Config{}, self)
	s.Activate("s", chain, startMS)
	s.service("s").edges = []Handover{{To: other, Epoch: 2, From: third}}
	byHome := map[fleet.Member]int{}
	for i := range 50 {
		q := opaque(fmt.Sprint(i))
		q.Epoch = 3
		home, _ := lease.HomeIn(chain[1].HomeGroup, q.Key.Scoped())
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
