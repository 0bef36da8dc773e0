package control

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"

	"hyssopbridge/config/manifest"
	"hyssopbridge/fleet"
)

// HeadBase, given as a base, means the mandate's revision at the head of
// the log.
const HeadBase int64 = -1

// Published describes an accepted operation on a mandate.
type Published struct {
	Mandate  string `json:"mandate"`
	Term     int64  `json:"term"`
	Base     int64  `json:"base"`     // revision that was replaced, 0 for none
	Revision int64  `json:"revision"` // offset of the accepted record
	ID       string `json:"id"`       // record ID
}

func newID() string {
	var b [16]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Publish validates a manifest and publishes it. name is the file name used in
// problems; base is the revision that the manifest replaces, or HeadBase. An
// error is an InvalidError, a ConflictError, an UnavailableError or an
// UnknownOutcomeError.
func (p *Publisher) Publish(ctx context.Context, name string, source []byte, base int64) (Published, error) {
	m, problems := manifest.Validate(name, source)
	if len(problems) > 0 {
		return Published{}, &InvalidError{Problems: problems}
	}
	doc, err := EncodeDocument(source)
	if err != nil {
		return Published{}, &InvalidError{Reason: err.Error()}
	}
	f, err := p.head(ctx)
	if err != nil {
		return Published{}, err
	}
	snap := f.state.Snapshot()
	if err := crossCheck(snap, name, source, m); err != nil {
		return Published{}, err
	}
	return p.commitMandate(ctx, f, &Record{
		Kind: KindManifest, ID: p.cfg.NewID(), Mandate: m.Mandate, Term: m.Term,
		Holder: m.Holder, Base: resolveBase(snap, m.Mandate, base), Document: doc,
	})
}

// Withdraw withdraws a mandate. It returns the same kinds of error as Publish.
func (p *Publisher) Withdraw(ctx context.Context, mandate, reason string, base int64) (Published, error) {
	f, err := p.head(ctx)
	if err != nil {
		return Published{}, err
	}
	snap := f.state.Snapshot()
	cur, ok := snap.Mandate(mandate)
	if !ok {
		return Published{}, &InvalidError{Reason: fmt.Sprintf("mandate %q is not known", mandate)}
	}
	return p.commitMandate(ctx, f, &Record{
		Kind: KindWithdraw, ID: p.cfg.NewID(), Mandate: mandate, Term: cur.Term,
		Base: resolveBase(snap, mandate, base), Reason: reason,
	})
}

// ProposeHomes proposes the next home groups of services. The Epoch of each
// group is the epoch that it replaces, 0 for none. The outcomes report for each
// group whether it was accepted. An error is an InvalidError, an
// UnavailableError or an UnknownOutcomeError.
func (p *Publisher) ProposeHomes(ctx context.Context, groups []fleet.HomeGroup) ([]GroupOutcome, error) {
	r := &Record{Kind: KindHomes, ID: p.cfg.NewID()}
	for _, g := range groups {
		r.Groups = append(r.Groups, proposal(g))
	}
	if err := r.check(); err != nil {
		return nil, &InvalidError{Reason: err.Error()}
	}
	f, err := p.head(ctx)
	if err != nil {
		return nil, err
	}
	if out := dryRun(f.state, r); out.Kind != Accepted {
		return out.Groups, nil
	}
	out, err := p.commit(ctx, f, r)
	return out.Groups, err
}

func proposal(g fleet.HomeGroup) GroupProposal {
	p := GroupProposal{Service: g.Service, Base: g.Epoch}
	for _, m := range g.Members {
		p.Members = append(p.Members, MemberItem{Node: m.Node, Incarnation: m.Incarnation})
	}
	return p
}

func resolveBase(snap *Snapshot, mandate string, base int64) int64 {
	if base != HeadBase {
		return base
	}
	if cur, ok := snap.Mandate(mandate); ok {
		return cur.Revision
	}
	return 0
}

// commitMandate appends an operation on a mandate, unless the state at the head
// already rejects it.
func (p *Publisher) commitMandate(ctx context.Context, f *logFold, r *Record) (Published, error) {
	out := dryRun(f.state, r)
	if out.Kind == Accepted {
		var err error
		if out, err = p.commit(ctx, f, r); err != nil {
			return Published{}, err
		}
	}
	if err := outcomeError(r, out); err != nil {
		return Published{}, err
	}
	return Published{Mandate: r.Mandate, Term: r.Term, Base: r.Base, Revision: out.Revision, ID: r.ID}, nil
}

// dryRun returns the outcome of r as the next record, without changing s.
func dryRun(s *State, r *Record) Outcome {
	scratch := NewState(s.Snapshot())
	scratch.snap.Version++
	out := Outcome{ID: r.ID}
	if r.Kind == KindHomes {
		scratch.foldHomes(r, 0, &out)
	} else {
		scratch.foldMandate(r, &out)
	}
	return out
}

// outcomeError returns the error for an outcome, nil for Accepted.
func outcomeError(r *Record, out Outcome) error {
	switch out.Kind {
	case Accepted:
		return nil
	case Conflict:
		return &ConflictError{Base: r.Base, Winner: out.Winner}
	}
	reason := "the record is " + out.Kind.String()
	if out.Err != nil {
		reason = out.Err.Error()
	}
	return &InvalidError{Reason: reason}
}

// crossCheck checks a manifest against those of the other live mandates.
func crossCheck(snap *Snapshot, name string, source []byte, m *manifest.Manifest) error {
	var others []*manifest.Manifest
	for o := range snap.Live() {
		if o.Name != m.Mandate {
			others = append(others, o.Manifest)
		}
	}
	problems := manifest.CrossCheck(name, source, m, others)
	if len(problems) > 0 {
		return &InvalidError{Problems: problems}
	}
	return nil
}
