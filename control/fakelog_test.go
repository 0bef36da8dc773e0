package control

import (
	"context"
	"fmt"
	"testing"
	"time"

	"hyssopbridge/platformlog"
)

// fakeLog is a log that retains the records from first on. It keeps all records
// internally and folds them into a reference state, so that a node's state can
// be compared at any version.
type fakeLog struct {
	t       testing.TB
	clock   *clock
	entries []platformlog.Entry
	first   int64
	ref     *State           // reference fold of all records
	digests map[int64]uint64 // digest of the reference by version
	model   *model
	rounds  []roundSpan // complete rounds
	partsOf map[string][]int64
}

// roundSpan describes a complete checkpoint round.
type roundSpan struct{ through, firstPart int64 }

func newFakeLog(t testing.TB, c *clock) *fakeLog {
	return &fakeLog{
		t: t, clock: c, first: 1, ref: NewState(nil), digests: map[int64]uint64{0: 0},
		model: newModel(), partsOf: make(map[string][]int64),
	}
}

func (l *fakeLog) head() int64 { return int64(len(l.entries)) }

func (l *fakeLog) append(r platformlog.Record) int64 {
	e := platformlog.Entry{Offset: l.head() + 1, Time: l.clock.now(), Record: r}
	l.entries = append(l.entries, e)
	out := l.ref.Apply(e)
	l.digests[e.Offset] = l.ref.snap.Digest
	if err := l.model.check(e, out); err != nil {
		l.t.Fatalf("fold differs from the model: %v", err)
	}
	l.recordRound(e)
	return e.Offset
}

func (l *fakeLog) recordRound(e platformlog.Entry) {
	r, err := DecodeRecord(e.Data)
	if err != nil || r.Kind != KindCheckpoint {
		return
	}
	part := r.Checkpoint.Part
	seen := l.partsOf[r.Checkpoint.Round]
	if part.Part == len(seen) {
		seen = append(seen, e.Offset)
		l.partsOf[r.Checkpoint.Round] = seen
		if len(seen) == part.Parts {
			l.rounds = append(l.rounds, roundSpan{through: part.To, firstPart: seen[0]})
		}
	}
}

// restorable reports whether a reader could restore the state if the log
// started at first.
func (l *fakeLog) restorable(first int64) bool {
	for _, r := range l.rounds {
		if r.through >= first-1 && r.firstPart >= first {
			return true
		}
	}
	return first == 1
}

func (l *fakeLog) read(from int64, limit int) ([]platformlog.Entry, error) {
	if from < l.first {
		return nil, &platformlog.ExpiredError{From: from, First: l.first}
	}
	if from > l.head() {
		return nil, nil
	}
	end := min(from-1+int64(limit), l.head())
	return l.entries[from-1 : end], nil
}

// expireBefore drops the records appended before a time.
func (l *fakeLog) expireBefore(at time.Time) {
	for l.first <= l.head() && l.entries[l.first-1].Time.Before(at) {
		l.first++
	}
}

// Append, Read and Bounds implement platformlog.Log without faults.
func (l *fakeLog) Append(_ context.Context, r platformlog.Record) (int64, error) {
	return l.append(r), nil
}

func (l *fakeLog) Read(_ context.Context, _ string, from int64, limit int) ([]platformlog.Entry, error) {
	return l.read(from, limit)
}

func (l *fakeLog) Bounds(context.Context, string) (int64, int64, error) {
	return l.first, l.head() + 1, nil
}

// model is an independent implementation of the rules for mandates. It uses
// no tables, state transfers or outcome kinds of the fold.
type model struct {
	mandates map[string]modelMandate
	ids      map[string]bool
}

type modelMandate struct {
	revision, term int64
	withdrawn      bool
	services       []string
}

func newModel() *model {
	return &model{mandates: make(map[string]modelMandate), ids: make(map[string]bool)}
}

func (m *model) check(e platformlog.Entry, out Outcome) error {
	r, err := DecodeRecord(e.Data)
	if err != nil || r.Kind != KindManifest && r.Kind != KindWithdraw {
		return nil
	}
	accept := !m.ids[r.ID] && m.accepts(r)
	if accept != (out.Kind == Accepted) {
		return fmt.Errorf("offset %d, %s of %s, term %d, base %d: outcome %v, model accepts %v",
			e.Offset, r.Kind, r.Mandate, r.Term, r.Base, out.Kind, accept)
	}
	if accept {
		return m.apply(e.Offset, r)
	}
	return nil
}

func (m *model) accepts(r *Record) bool {
	cur := m.mandates[r.Mandate]
	if r.Base != cur.revision || r.Term < cur.term {
		return false
	}
	if r.Kind == KindWithdraw {
		return cur.revision > 0 && !cur.withdrawn && r.Term == cur.term
	}
	if cur.withdrawn && r.Term == cur.term {
		return false
	}
	return !m.serviceTaken(r)
}

func (m *model) serviceTaken(r *Record) bool {
	doc, err := decodeManifest(r.Document)
	if err != nil {
		return true
	}
	for name, other := range m.mandates {
		for _, s := range other.services {
			for i := range doc.Services {
				if name != r.Mandate && !other.withdrawn && doc.Services[i].Name == s {
					return true
				}
			}
		}
	}
	return false
}

func (m *model) apply(offset int64, r *Record) error {
	m.ids[r.ID] = true
	next := modelMandate{revision: offset, term: r.Term, withdrawn: r.Kind == KindWithdraw}
	if r.Kind == KindManifest {
		doc, err := decodeManifest(r.Document)
		if err != nil {
			return err
		}
		for i := range doc.Services {
			next.services = append(next.services, doc.Services[i].Name)
		}
	}
	m.mandates[r.Mandate] = next
	return nil
}
