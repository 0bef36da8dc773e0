package control

import "fmt"

// ApplyUpdate takes the state of an update and reports whether the version rose. An
// update that is not newer changes nothing and is no error. An update that
// starts after the state's version gives a NotContiguousError; one that breaks
// the format or does not lead to its digest gives ErrBadUpdate. After an error
// the state is as before.
func (s *State) ApplyUpdate(u Update) (bool, error) {
	if u.To <= s.snap.Version {
		return false, nil
	}
	if u.From > s.snap.Version {
		return false, &NotContiguousError{Version: s.snap.Version, From: u.From}
	}
	if err := u.check(); err != nil {
		return false, err
	}
	if u.Parts != 1 {
		return false, fmt.Errorf("%w: part %d of %d", ErrBadUpdate, u.Part, u.Parts)
	}
	next, err := s.snap.merge(&u)
	if err != nil {
		return false, err
	}
	s.snap = *next
	return true, nil
}

// merge returns the snapshot that u leads to. A full update replaces the
// state; any other update replaces the items that it holds.
func (s *Snapshot) merge(u *Update) (*Snapshot, error) {
	next := &Snapshot{}
	if u.From > 0 {
		*next = *s
	}
	next.Version = u.To
	if u.Round.Through > next.Round.Through {
		next.Round = u.Round
	}
	if err := next.mergeMandates(u.Mandates); err != nil {
		return nil, err
	}
	next.mergeGroups(u.Groups)
	if next.Digest != u.Digest {
		return nil, fmt.Errorf("%w: state of version %d has digest %016x, want %016x", ErrBadUpdate, u.To, next.Digest, u.Digest)
	}
	return next, nil
}

// mergeMandates releases the services of all replaced mandates before it
// claims any, since a service may have moved between two of them.
func (s *Snapshot) mergeMandates(items []MandateItem) error {
	for i := range items {
		if cur, ok := s.mandates.get(items[i].Name); ok {
			s.release(cur)
		}
	}
	for i := range items {
		next, err := items[i].mandate()
		if err != nil {
			return err
		}
		if service := s.claim(next); service != "" {
			return fmt.Errorf("%w: service %q belongs to two live mandates", ErrBadUpdate, service)
		}
		cur, _ := s.mandates.get(next.Name)
		s.putMandate(cur, next)
	}
	return nil
}

func (s *Snapshot) mergeGroups(items []GroupItem) {
	for i := range items {
		cur, _ := s.groups.get(items[i].Service)
		s.putGroup(cur, items[i].group())
	}
}

func (it *MandateItem) mandate() (*Mandate, error) {
	m, err := decodeManifest(it.Document)
	if err != nil {
		return nil, fmt.Errorf("%w: mandate %q: %w", ErrBadUpdate, it.Name, err)
	}
	return &Mandate{
		Name: it.Name, Term: it.Term, Holder: it.Holder, Revision: it.Revision, ID: it.ID,
		Withdrawn: it.Withdrawn, Reason: it.Reason, Document: it.Document, Manifest: m,
	}, nil
}

// check reports whether the update or part is within the bounds.
func (u *Update) check() error {
	if u.From < 0 || u.To < u.From {
		return fmt.Errorf("%w: from version %d to %d", ErrBadUpdate, u.From, u.To)
	}
	if u.Parts < 1 || u.Parts > MaxParts || u.Part < 0 || u.Part >= u.Parts {
		return fmt.Errorf("%w: part %d of %d", ErrBadUpdate, u.Part, u.Parts)
	}
	for i := range u.Mandates {
		if err := u.checkMandate(&u.Mandates[i]); err != nil {
			return err
		}
	}
	for i := range u.Groups {
		if err := u.checkGroup(&u.Groups[i]); err != nil {
			return err
		}
	}
	return nil
}

func (u *Update) checkMandate(it *MandateItem) error {
	if it.Revision <= u.From || it.Revision > u.To {
		return fmt.Errorf("%w: revision %d lies outside (%d, %d]", ErrBadUpdate, it.Revision, u.From, u.To)
	}
	if err := checkName("id", it.ID); err != nil {
		return fmt.Errorf("%w: %w", ErrBadUpdate, err)
	}
	if err := checkName("mandate", it.Name); err != nil {
		return fmt.Errorf("%w: %w", ErrBadUpdate, err)
	}
	return nil
}

func (u *Update) checkGroup(it *GroupItem) error {
	if it.Epoch <= u.From || it.Epoch > u.To {
		return fmt.Errorf("%w: epoch %d lies outside (%d, %d]", ErrBadUpdate, it.Epoch, u.From, u.To)
	}
	if err := checkGroup(it.Service, it.Members); err != nil {
		return fmt.Errorf("%w: %w", ErrBadUpdate, err)
	}
	return nil
}
