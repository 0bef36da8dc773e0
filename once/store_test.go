package once

import (
	"fmt"
	"testing"
	"time"

	"hyssopbridge/fleet"
	"hyssopbridge/lease"
	"hyssopbridge/resultcode"
)

var self, other, third = fleet.Member{Node: "a", Incarnation: 1}, fleet.Member{Node: "b", Incarnation: 1}, fleet.Member{Node: "c", Incarnation: 1}

const (
	startMS = int64(1_700_000_000_000)
	dayMS   = int64(24 * 3600 * 1000)
)

func testGroup(epoch, base, acceptedMS int64, members ...fleet.Member) lease.Group {
	return lease.Group{HomeGroup: fleet.HomeGroup{Service: "s", Epoch: epoch, Members: members}, Base: base, AcceptedMS: acceptedMS}
}

func orderAt(ms int64, n int) Request {
	return Request{Key: Key{"s", "c", "r", fmt.Sprintf("%08x-%04x-7000-8000-%012x", ms>>16, ms&0xffff, n)}, Epoch: 2}
}

func opaqueOrder(value string) Request { return Request{Key: Key{"s", "c", "r", value}, Epoch: 2} }

// successor returns a store that is the home in epoch 2, which replaced the
// group of other at startMS.
func successor(cfg Config) *Store {
	s := New(cfg, self)
	s.Activate("s", []lease.Group{testGroup(1, 0, startMS-dayMS, other), testGroup(2, 1, startMS-5000, self)}, startMS)
	return s
}

func checkDecision(t *testing.T, name string, d Decision, action Action, code resultcode.Code) {
	t.Helper()
	if d.Action != action || d.Code != code {
		t.Errorf("%s: %v %v, want %v %v", name, d.Action, d.Code, action, code)
	}
}

// Guards against a run without a record and without proof that the key was not
// run before. In particular, a key counts as new only if no earlier home can
// have accepted it, whatever the skew of the caller's clock and of the homes'
// clocks.
func TestMissingRecord(t *testing.T) {
	s := successor(Config{})
	wall := startMS + 60_000
	checkDecision(t, "new", s.Begin(0, wall, orderAt(startMS+NewKeyMarginMS+1, 1)), Run, 0)
	checkDecision(t, "issued within both skews", s.Begin(0, wall, orderAt(startMS+MaxFutureMS+MaxNodeSkewMS-1, 2)), AskPrevious, 0)
	checkDecision(t, "issued before", s.Begin(0, wall, orderAt(startMS-60_000, 3)), AskPrevious, 0)
	checkDecision(t, "opaque", s.Begin(0, wall, opaqueOrder("x")), AskPrevious, 0)
	checkDecision(t, "future", s.Begin(0, wall, orderAt(wall+MaxFutureMS+1, 4)), Refuse, resultcode.KeyFromFuture)
	checkDecision(t, "older than the window", s.Begin(0, wall, orderAt(wall-dayMS, 5)), Refuse, resultcode.RecordLost)
	checkDecision(t, "opaque after the window", s.Begin(0, startMS+dayMS+NewKeyMarginMS+1, opaqueOrder("y")), Run, 0)
	checkDecision(t, "without lease", s.Begin(0, wall, Request{Key: Key{"s", "c", "r", "z"}, Epoch: 1}), Refuse, resultcode.NoLease)
}

// Guards against a run although not all accepted groups of the window are
// known.
func TestGapInHistory(t *testing.T) {
	s := New(Config{}, self)
	s.Activate("s", []lease.Group{testGroup(2, 1, startMS-5000, self)}, startMS)
	checkDecision(t, "opaque", s.Begin(0, startMS+60_000, opaqueOrder("x")), Refuse, resultcode.RecordLost)
	checkDecision(t, "new", s.Begin(0, startMS+60_000, orderAt(startMS+50_000, 1)), Run, 0)
}

// Guards against a wrong decision on each reply that an earlier home can give.
func TestResolve(t *testing.T) {
	hash := PayloadHash{}
	response := &Response{Status: 201}
	for name, tc := range map[string]struct {
		reply  Reply
		action Action
		code   resultcode.Code
	}{
		"never run":         {Reply{From: other, OK: true, Entry: Entry{State: Barred}}, Run, 0},
		"not run":           {Reply{From: other, OK: true, Entry: Entry{State: NotRun}}, Run, 0},
		"running":           {Reply{From: other, OK: true, Entry: Entry{State: Running}}, Refuse, resultcode.StillRunning},
		"answered":          {Reply{From: other, OK: true, Entry: Entry{State: Answered, Response: response, Hash: hash}}, Replay, 0},
		"response not kept": {Reply{From: other, OK: true, Entry: Entry{State: Answered}}, Refuse, resultcode.AnswerNotKept},
		"unknown":           {Reply{From: other, OK: true, Entry: Entry{State: Unknown}}, Refuse, resultcode.UnknownOutcome},
		"other payload":     {Reply{From: other, OK: true, Entry: Entry{State: Answered, Hash: PayloadHash{1}}}, Refuse, resultcode.KeyReused},
		"no reply":          {Reply{From: other}, Refuse, resultcode.RecordLost},
		"later process":     {Reply{From: fleet.Member{Node: "b", Incarnation: 2}, OK: true}, Refuse, resultcode.RecordLost},
	} {
		s := successor(Config{})
		checkDecision(t, name, s.Begin(0, startMS, opaqueOrder("x")), AskPrevious, 0)
		checkDecision(t, name, s.Resolve(0, startMS, opaqueOrder("x"), []Reply{tc.reply}), tc.action, tc.code)
	}
}

// Guards against a wrong decision on a retried order at the same home.
func TestResend(t *testing.T) {
	q := orderAt(startMS+NewKeyMarginMS+1, 1)
	reused := q
	reused.Hash = PayloadHash{1}
	wall := startMS + 10_000
	begin := func() (*Store, uint32) {
		s := successor(Config{MaxResponse: 10})
		return s, s.Begin(0, wall, q).Attempt
	}
	s, attempt := begin()
	checkDecision(t, "running", s.Begin(0, wall, q), Join, 0)
	checkDecision(t, "running, other payload", s.Begin(0, wall, reused), Refuse, resultcode.KeyReused)
	s.Finished(q.Key, attempt, &Response{Body: []byte("0123456789")})
	checkDecision(t, "answered", s.Begin(0, wall, q), Replay, 0)
	if s.NotRun(q.Key, attempt) || s.Unknown(q.Key, attempt) {
		t.Error("an answered order changed its state")
	}
	s, attempt = begin()
	s.Finished(q.Key, attempt, &Response{Body: []byte("0123456789+")})
	checkDecision(t, "large response", s.Begin(0, wall, q), Refuse, resultcode.AnswerNotKept)
	s, attempt = begin()
	s.Unknown(q.Key, attempt)
	checkDecision(t, "unknown", s.Begin(0, wall, q), Refuse, resultcode.UnknownOutcome)
	s.NotRun(q.Key, attempt)
	checkDecision(t, "not run", s.Begin(0, wall, q), Run, 0)
	if s.Finished(q.Key, attempt, nil) {
		t.Error("an earlier attempt finished the later one")
	}
}

// Guards against a second run by a home that was paused between the lease check
// and Begin while a later home looked up the key.
func TestLookupBarsEarlierEpochs(t *testing.T) {
	s := successor(Config{})
	q := orderAt(startMS+NewKeyMarginMS+1, 1)
	if r := s.Lookup(0, self, q.Key, 3); !r.OK || r.Entry.State != Barred {
		t.Errorf("reply %+v, want barred", r)
	}
	checkDecision(t, "barred", s.Begin(0, startMS+10_000, q), Refuse, resultcode.NoLease)
	if r := s.Lookup(0, fleet.Member{Node: "a", Incarnation: 0}, q.Key, 3); r.OK {
		t.Error("a process replied for its predecessor")
	}
}

// Guards against a second run by a node that becomes the home of a key again.
// The key was not run there before, but the home in between may have run it.
func TestNotRunCountsOnlyInItsEpoch(t *testing.T) {
	history := []lease.Group{testGroup(1, 0, startMS-9000, self), testGroup(2, 1, startMS-8000, other), testGroup(3, 2, startMS-7000, self)}
	s := New(Config{}, self)
	s.Activate("s", history[:1], startMS-9000)
	q := opaqueOrder("x")
	q.Epoch = 1
	s.NotRun(q.Key, s.Begin(0, startMS-8500, q).Attempt)
	checkDecision(t, "same epoch", s.Begin(0, startMS-8500, q), Run, 0)
	s.NotRun(q.Key, 2)
	s.Activate("s", history, startMS)
	q.Epoch = 3
	d := s.Begin(0, startMS, q)
	checkDecision(t, "home again", d, AskPrevious, 0)
	if len(d.Ask) != 1 || d.Ask[0] != other {
		t.Errorf("asks %v, want the home in between", d.Ask)
	}
	checkDecision(t, "run between", s.Resolve(0, startMS, q, []Reply{{From: other, OK: true, Entry: Entry{State: Answered}}}), Refuse, resultcode.AnswerNotKept)
}

// Guards against records that are lost when the store is full: it must refuse
// new keys and drop only stored responses.
func TestFullStore(t *testing.T) {
	s := successor(Config{MaxRecords: 2, MaxBytes: 3 * recordBytes})
	wall := startMS + 10_000
	q, r := orderAt(startMS+NewKeyMarginMS+1, 1), orderAt(startMS+NewKeyMarginMS+1, 2)
	s.Finished(q.Key, s.Begin(0, wall, q).Attempt, &Response{Body: make([]byte, recordBytes)})
	checkDecision(t, "response kept", s.Begin(0, wall, q), Replay, 0)
	checkDecision(t, "second", s.Begin(0, wall, r), Run, 0)
	checkDecision(t, "response dropped for room", s.Begin(0, wall, q), Refuse, resultcode.AnswerNotKept)
	checkDecision(t, "full", s.Begin(0, wall, orderAt(startMS+NewKeyMarginMS+1, 3)), Refuse, resultcode.ClassShed)
	checkDecision(t, "still known", s.Begin(23*time.Hour, wall, r), Join, 0)
	if rep := s.Lookup(0, self, opaqueOrder("x").Key, 3); rep.OK {
		t.Error("a full store replied to a lookup without keeping the bar")
	}
	checkDecision(t, "after the window", s.Begin(25*time.Hour, wall, orderAt(startMS+NewKeyMarginMS+1, 4)), Run, 0)
}

// Guards against records that expire within the window, at any offset of the
// start time within an expiry bucket.
func TestWindow(t *testing.T) {
	for _, at := range []time.Duration{0, 7 * time.Minute, bucketDuration - 1} {
		s := successor(Config{})
		q := opaqueOrder("x")
		s.records[q.Key.Scoped()] = nil
		delete(s.records, q.Key.Scoped())
		r := s.insert(q.Key.Scoped(), at)
		r.state, r.attempt = Answered, 1
		s.sweep(at + DefaultWindow)
		if n, _ := s.Size(); n != 1 {
			t.Errorf("record of %v expired within the window", at)
		}
		s.sweep(at + DefaultWindow + 3*bucketDuration)
		if n, bytes := s.Size(); n != 0 || bytes != 0 {
			t.Errorf("%d records, %d bytes are left after the window", n, bytes)
		}
	}
}

// Guards against customers or routes that share a record.
func TestKeysAreScoped(t *testing.T) {
	keys := []Key{{"s", "c", "r", "v"}, {"s", "d", "r", "v"}, {"s", "c", "q", "v"}, {"t", "c", "r", "v"}, {"s", "cr", "", "v"}, {"s", "c", "rv", ""}}
	seen := map[string]Key{}
	for _, k := range keys {
		if other, ok := seen[k.Scoped()]; ok {
			t.Errorf("keys %v and %v share a record", k, other)
		}
		seen[k.Scoped()] = k
	}
}

// Guards against an issue time parsed from a key that is not a UUIDv7.
func TestIssuedMS(t *testing.T) {
	for value, want := range map[string]int64{
		"018bcfe5-6800-7000-8000-000000000001": startMS,
		"018BCFE5-6800-7FFF-BFFF-000000000001": startMS,
		"018bcfe5-6800-4000-8000-000000000001": -1,
		"018bcfe5-6800-7000-c000-000000000001": -1,
		"018bcfe5-6800-7000-0000-000000000001": -1,
		"018bcfe56800-7000-8000-0000000000001": -1,
		"018bcfe5-6800-7000-8000-00000000000g": -1,
		"018bcfe5-6800-7000-8000-00000000001":  -1,
		"":                                     -1,
	} {
		got, ok := IssuedMS(value)
		if ok != (want >= 0) || ok && got != want {
			t.Errorf("IssuedMS(%q) = %d, %v; want %d", value, got, ok, want)
		}
	}
}
