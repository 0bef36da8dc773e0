package control

import (
	"bytes"
	"errors"
	"testing"

	"hyssopbridge/platformlog"
)

// Guards against operations that do not build on the current revision being
// accepted, and against a withdrawn mandate coming back without a higher term.
func TestFoldRules(t *testing.T) {
	f := newFolder(t)
	f.want(Accepted, manifestRecord(t, "a1", "grain", 1, 0, "belt-desk"))
	out := f.want(Conflict, manifestRecord(t, "a2", "grain", 1, 0, "belt-desk"))
	if out.Winner.ID != "a1" || out.Winner.Revision != 1 {
		t.Errorf("winner = %+v, want a1 at 1", out.Winner)
	}
	f.want(Accepted, manifestRecord(t, "a3", "grain", 1, 1, "belt-desk", "depot"))
	f.want(Duplicate, manifestRecord(t, "a3", "grain", 1, 1, "belt-desk", "depot"))
	f.want(Duplicate, manifestRecord(t, "a1", "grain", 1, 0, "belt-desk"))
	out = f.want(Conflict, manifestRecord(t, "b1", "chairs", 1, 0, "depot"))
	if out.Winner.Mandate != "grain" || out.Winner.Service != "depot" {
		t.Errorf("winner = %+v, want mandate grain, service depot", out.Winner)
	}
	f.want(Invalid, manifestRecord(t, "b2", "chairs", 1, 5, "reserve"))
	f.want(Invalid, withdrawRecord(t, "b3", "chairs", 1, 0))
	f.want(Invalid, withdrawRecord(t, "a4", "grain", 2, 3))
	f.want(Accepted, withdrawRecord(t, "a5", "grain", 1, 3))
	f.want(Conflict, manifestRecord(t, "a6", "grain", 1, 10, "belt-desk"))
	f.want(Conflict, manifestRecord(t, "a7", "grain", 2, 3, "belt-desk"))
	f.want(Accepted, manifestRecord(t, "b4", "chairs", 1, 0, "depot"))
	f.want(Conflict, manifestRecord(t, "a8", "grain", 2, 10, "belt-desk", "depot"))
	f.want(Accepted, manifestRecord(t, "a9", "grain", 2, 10, "belt-desk"))
	f.want(Stale, withdrawRecord(t, "a10", "grain", 1, 15))
}

// Guards against two epochs that replace the same one, and against groups of
// services that nobody owns.
func TestFoldHomes(t *testing.T) {
	f := newFolder(t)
	f.want(Invalid, homesRecord(t, "h0", "belt-desk", 0, "n1"))
	f.want(Accepted, manifestRecord(t, "a1", "grain", 1, 0, "belt-desk"))
	f.want(Invalid, homesRecord(t, "h1", "belt-desk", 1, "n1"))
	f.want(Accepted, homesRecord(t, "h2", "belt-desk", 0, "n1", "n2"))
	out := f.want(Conflict, homesRecord(t, "h3", "belt-desk", 0, "n3"))
	if out.Groups[0].Winner.ID != "h2" || out.Groups[0].Epoch != 4 {
		t.Errorf("group outcome = %+v, want winner h2 and epoch 4", out.Groups[0])
	}
	f.want(Duplicate, homesRecord(t, "h2", "belt-desk", 0, "n1", "n2"))
	f.want(Accepted, homesRecord(t, "h4", "belt-desk", 4, "n3"))
	g, _ := f.state.Snapshot().HomeGroup("belt-desk")
	if g.Epoch != 7 || len(g.Members) != 1 || g.Members[0].Node != "n3" {
		t.Errorf("group = %+v, want epoch 7 with n3", g)
	}
}

// Guards against a record of a later release, or a damaged one, stopping the
// fold or changing the state.
func TestFoldSkipsWhatItCannotRead(t *testing.T) {
	f := newFolder(t)
	later, _ := encMode.Marshal(map[string]any{"v": 2, "kind": "manifest", "id": "x", "new": []int{1}})
	kind, _ := encMode.Marshal(map[string]any{"v": 1, "kind": "shares", "id": "x"})
	extra, _ := encMode.Marshal(map[string]any{"v": 1, "kind": "withdraw", "id": "x", "mandate": "m", "term": 1, "color": 3})
	good := manifestRecord(t, "g", "grain", 1, 0, "belt-desk")
	renamed := good
	renamed.ID = "other"
	cases := []struct {
		name string
		rec  platformlog.Record
		kind OutcomeKind
	}{
		{"later version", platformlog.Record{ID: "x", Data: later}, Skipped},
		{"unknown kind", platformlog.Record{ID: "x", Data: kind}, Skipped},
		{"unknown key", platformlog.Record{ID: "x", Data: extra}, Invalid},
		{"empty", platformlog.Record{ID: "x"}, Invalid},
		{"truncated", platformlog.Record{ID: "g", Data: good.Data[:len(good.Data)/2]}, Invalid},
		{"too large", platformlog.Record{ID: "x", Data: make([]byte, MaxRecordBytes+1)}, Invalid},
		{"other ID", renamed, Invalid},
		{"nested arrays", platformlog.Record{ID: "x", Data: bytes.Repeat([]byte{0x81}, 1000)}, Invalid},
	}
	for _, c := range cases {
		if out := f.add(c.rec); out.Kind != c.kind {
			t.Errorf("%s: outcome %v (%v), want %v", c.name, out.Kind, out.Err, c.kind)
		}
	}
	if f.state.snap.Digest != 0 {
		t.Error("unreadable records changed the state")
	}
	f.want(Accepted, good)
}

// Guards against entries folded out of order.
func TestApplyNeedsTheNextOffset(t *testing.T) {
	f := newFolder(t)
	r := manifestRecord(t, "a1", "grain", 1, 0, "belt-desk")
	if out := f.state.Apply(platformlog.Entry{Offset: 2, Record: r}); out.Kind != Gap || f.state.Version() != 0 {
		t.Errorf("offset 2 after 0: %v, version %d", out.Kind, f.state.Version())
	}
	f.want(Accepted, r)
	if out := f.state.Apply(platformlog.Entry{Offset: 1, Record: r}); out.Kind != Stale || f.state.Version() != 1 {
		t.Errorf("offset 1 after 1: %v, version %d", out.Kind, f.state.Version())
	}
}

// Guards against a snapshot that changes after it was handed out.
func TestSnapshotIsImmutable(t *testing.T) {
	f := newFolder(t)
	f.want(Accepted, manifestRecord(t, "a1", "grain", 1, 0, "belt-desk"))
	before := f.state.Snapshot()
	f.want(Accepted, withdrawRecord(t, "a2", "grain", 1, 1))
	if m, _ := before.Mandate("grain"); m.Withdrawn || before.Version != 1 {
		t.Error("a later withdrawal shows in the earlier snapshot")
	}
	if _, live := before.Owner("belt-desk"); !live {
		t.Error("the earlier snapshot lost its service")
	}
	after := f.state.Snapshot()
	if _, live := after.Owner("belt-desk"); live {
		t.Error("a withdrawn mandate owns a service")
	}
	if m, _ := after.Mandate("grain"); !m.Withdrawn || m.Manifest == nil {
		t.Error("the withdrawn mandate lost its tombstone or its routes")
	}
}

// Guards against updates that would skip a record, go back, or were damaged.
func TestAdoptIsStrict(t *testing.T) {
	f := newFolder(t)
	f.want(Accepted, manifestRecord(t, "a1", "grain", 1, 0, "belt-desk"))
	at1 := f.state.Snapshot()
	f.want(Accepted, manifestRecord(t, "b1", "chairs", 1, 0, "reserve"))
	at2 := f.state.Snapshot()
	f.want(Accepted, withdrawRecord(t, "a2", "grain", 1, 1))
	f.want(Accepted, homesRecord(t, "h1", "reserve", 0, "n1"))
	from1, _ := f.state.Since(1)
	from2, _ := f.state.Since(2)

	s := NewState(at1)
	var gap *NotContiguousError
	if _, err := s.ApplyUpdate(from2); !errors.As(err, &gap) || gap.Version != 1 || gap.From != 2 {
		t.Errorf("update from 2 to a state of version 1: %v", err)
	}
	wrong := from2
	wrong.From = 1
	if _, err := s.ApplyUpdate(wrong); !errors.Is(err, ErrBadUpdate) {
		t.Errorf("update that misses a mandate: %v", err)
	}
	if s.Version() != 1 || s.snap.Digest != at1.Digest {
		t.Error("a refused update changed the state")
	}
	if ok, err := NewState(at2).ApplyUpdate(from1); !ok || err != nil {
		t.Errorf("update that overlaps the state: %v, %v", ok, err)
	}
	if ok, err := s.ApplyUpdate(from1); !ok || err != nil {
		t.Fatalf("update from 1: %v, %v", ok, err)
	}
	if ok, err := s.ApplyUpdate(from2); ok || err != nil || s.Version() != 4 {
		t.Errorf("update that is not newer: %v, %v", ok, err)
	}
	late := f.state.Snapshot().StateResponse(4)
	if ok, err := NewState(nil).ApplyUpdate(late); ok || !errors.As(err, &gap) {
		t.Errorf("a late answer of a peer that was not newer: %v, %v", ok, err)
	}
	last, _ := f.state.Since(3)
	if len(last.Groups) != 1 || len(last.Mandates) != 0 {
		t.Errorf("update from 3 holds %d mandates and %d groups, want one group", len(last.Mandates), len(last.Groups))
	}
}

// Guards against state that a transfer in parts does not reproduce.
func TestSplitJoinEncode(t *testing.T) {
	f := newFolder(t)
	for _, m := range []string{"a", "b", "c", "d", "e"} {
		f.want(Accepted, manifestRecord(t, m+"1", m, 1, 0, m+"-desk"))
		f.want(Accepted, homesRecord(t, m+"h", m+"-desk", 0, "n1", "n2"))
	}
	u, _ := f.state.Since(0)
	parts := u.Split(400)
	if len(parts) < 3 {
		t.Fatalf("%d parts, want several", len(parts))
	}
	for i := range parts {
		data, err := EncodeUpdate(parts[i])
		if err != nil {
			t.Fatal(err)
		}
		if parts[i], err = DecodeUpdate(data); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := Join(parts[1:]); !errors.Is(err, ErrBadUpdate) {
		t.Errorf("join without the first part: %v", err)
	}
	joined, err := Join(parts)
	if err != nil {
		t.Fatal(err)
	}
	s := NewState(nil)
	if ok, err := s.ApplyUpdate(joined); !ok || err != nil {
		t.Fatalf("adopt: %v, %v", ok, err)
	}
	if s.snap.Digest != f.state.snap.Digest || s.snap.services.count != 5 {
		t.Error("the joined state differs")
	}
}
