package control

import (
	"fmt"

	"hyssopbridge/config/manifest"
)

// foldMandate folds a manifest or a withdrawal.
func (s *State) foldMandate(r *Record, out *Outcome) {
	cur, known := s.snap.mandates.get(r.Mandate)
	switch {
	case known && cur.ID == r.ID:
		out.Kind = Duplicate
	case known && r.Term < cur.Term:
		out.Kind = Stale
		out.Err = fmt.Errorf("term %d is below the current term %d", r.Term, cur.Term)
	case known && r.Base != cur.Revision:
		out.Kind, out.Winner = Conflict, mandateWinner(cur, "")
	case !known && r.Base != 0:
		out.Kind = Invalid
		out.Err = fmt.Errorf("base is %d, but mandate %q has no accepted record", r.Base, r.Mandate)
	case r.Kind == KindWithdraw:
		s.foldWithdraw(r, cur, out)
	default:
		s.foldManifest(r, cur, out)
	}
}

func (s *State) foldWithdraw(r *Record, cur *Mandate, out *Outcome) {
	switch {
	case cur == nil:
		out.Kind, out.Err = Invalid, fmt.Errorf("mandate %q is not known", r.Mandate)
		return
	case cur.Withdrawn:
		out.Kind, out.Winner = Conflict, mandateWinner(cur, "")
		return
	case r.Term != cur.Term:
		out.Kind, out.Err = Invalid, fmt.Errorf("term %d differs from the current term %d", r.Term, cur.Term)
		return
	}
	next := *cur
	next.Revision, next.ID = s.snap.Version, r.ID
	next.Withdrawn, next.Reason = true, r.Reason
	s.accept(cur, &next, out)
}

func (s *State) foldManifest(r *Record, cur *Mandate, out *Outcome) {
	if cur != nil && cur.Withdrawn && r.Term <= cur.Term {
		out.Kind, out.Winner = Conflict, mandateWinner(cur, "")
		return
	}
	m, err := decodeManifest(r.Document)
	if err == nil {
		err = matchRecord(m, r)
	}
	if err != nil {
		out.Kind, out.Err = Invalid, err
		return
	}
	if owner, service := s.conflictingOwner(r.Mandate, m); owner != nil {
		out.Kind, out.Winner = Conflict, mandateWinner(owner, service)
		return
	}
	next := &Mandate{
		Name:     r.Mandate,
		Term:     r.Term,
		Holder:   r.Holder,
		Revision: s.snap.Version,
		ID:       r.ID,
		Document: r.Document,
		Manifest: m,
	}
	s.accept(cur, next, out)
}

func matchRecord(m *manifest.Manifest, r *Record) error {
	if m.Mandate != r.Mandate || m.Term != r.Term || m.Holder != r.Holder {
		return fmt.Errorf("%w: the document is for mandate %q, term %d, holder %q", ErrBadRecord, m.Mandate, m.Term, m.Holder)
	}
	return nil
}

// conflictingOwner returns another live mandate that owns a service of m, and
// the name of that service.
func (s *State) conflictingOwner(mandate string, m *manifest.Manifest) (*Mandate, string) {
	for i := range m.Services {
		name := m.Services[i].Name
		if owner, ok := s.snap.Owner(name); ok && owner.Name != mandate {
			return owner, name
		}
	}
	return nil, ""
}

func (s *State) accept(cur, next *Mandate, out *Outcome) {
	s.snap.release(cur)
	s.snap.claim(next)
	s.snap.putMandate(cur, next)
	out.Kind, out.Revision = Accepted, next.Revision
}

// release removes the services of a live mandate from the owner table.
func (s *Snapshot) release(m *Mandate) {
	if m == nil || m.Withdrawn {
		return
	}
	for i := range m.Manifest.Services {
		s.services.remove(m.Manifest.Services[i].Name)
	}
}

// claim adds the services of a live mandate to the owner table. It returns a
// service that another mandate owns, or "" if there is none.
func (s *Snapshot) claim(m *Mandate) string {
	if m.Withdrawn {
		return ""
	}
	for i := range m.Manifest.Services {
		name := m.Manifest.Services[i].Name
		if _, taken := s.services.get(name); taken {
			return name
		}
		s.services.set(name, m.Name, 0)
	}
	return ""
}

func (s *Snapshot) putMandate(cur, next *Mandate) {
	if cur != nil {
		s.Digest ^= cur.digest()
	}
	s.Digest ^= next.digest()
	s.mandates.set(next.Name, next, next.Revision)
}

func mandateWinner(m *Mandate, service string) Winner {
	return Winner{Mandate: m.Name, Service: service, Holder: m.Holder, Revision: m.Revision, ID: m.ID}
}
