package control

import (
	"context"
	"fmt"
	"testing"
	"time"

	"hyssopbridge/fleet"
	"hyssopbridge/platformlog"
	"hyssopbridge/platformlog/standin"
)

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// source returns a manifest with one route for each service.
func source(mandate string, term int64, services ...string) []byte {
	text := fmt.Sprintf(`{"version":1,"mandate":%q,"term":%d,"holder":"holder of %s","services":[`, mandate, term, mandate)
	for i, s := range services {
		if i > 0 {
			text += ","
		}
		text += fmt.Sprintf(`{"name":%q,"floor":1,"routes":[{"name":"all","path":"/%s/*","class":"order","idempotent":false}],"objective":{}}`, s, s)
	}
	return []byte(text + `]}`)
}

func manifestRecord(t testing.TB, id, mandate string, term, base int64, services ...string) platformlog.Record {
	t.Helper()
	doc, err := EncodeDocument(source(mandate, term, services...))
	if err != nil {
		t.Fatal(err)
	}
	return encoded(t, &Record{
		Kind: KindManifest, ID: id, Mandate: mandate, Term: term, Holder: "holder of " + mandate,
		Base: base, Document: doc,
	})
}

func withdrawRecord(t testing.TB, id, mandate string, term, base int64) platformlog.Record {
	t.Helper()
	return encoded(t, &Record{Kind: KindWithdraw, ID: id, Mandate: mandate, Term: term, Base: base, Reason: "ended"})
}

func homesRecord(t testing.TB, id, service string, base int64, nodes ...string) platformlog.Record {
	t.Helper()
	p := GroupProposal{Service: service, Base: base}
	for _, n := range nodes {
		p.Members = append(p.Members, MemberItem{Node: n, Incarnation: 1})
	}
	return encoded(t, &Record{Kind: KindHomes, ID: id, Groups: []GroupProposal{p}})
}

func encoded(t testing.TB, r *Record) platformlog.Record {
	t.Helper()
	rec, err := EncodeRecord(r)
	if err != nil {
		t.Fatal(err)
	}
	return rec
}

// stateFixture applies records to a state at consecutive offsets.
type stateFixture struct {
	t     testing.TB
	state *State
}

func newStateFixture(t testing.TB) *stateFixture { return &stateFixture{t: t, state: NewState(nil)} }

func (f *stateFixture) apply(r platformlog.Record) Outcome {
	return f.state.Apply(platformlog.Entry{Offset: f.state.Version() + 1, Time: epoch, Record: r})
}

// want applies a record and checks the kind of its outcome.
func (f *stateFixture) want(kind OutcomeKind, r platformlog.Record) Outcome {
	f.t.Helper()
	out := f.apply(r)
	if out.Kind != kind {
		f.t.Fatalf("record %s at %d: outcome %v (%v), want %v", r.ID, out.Offset, out.Kind, out.Err, kind)
	}
	return out
}

// clock is a manual clock.
type clock struct{ t time.Time }

func (c *clock) now() time.Time { return c.t }

func mustAppend(t testing.TB, l *standin.Log, r platformlog.Record) int64 {
	t.Helper()
	offset, err := l.Append(context.Background(), r)
	if err != nil {
		t.Fatal(err)
	}
	return offset
}

func node(id string) fleet.Node { return fleet.Node{ID: id, Region: "riga", Incarnation: 1} }
