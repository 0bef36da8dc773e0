package control

import "fmt"

// check reports whether the fields that the kind needs are present and within
// their bounds.
func (r *Record) check() error {
	if err := checkName("id", r.ID); err != nil {
		return err
	}
	switch r.Kind {
	case KindManifest:
		return r.checkManifest()
	case KindWithdraw:
		return r.checkWithdraw()
	case KindHomes:
		return checkProposals(r.Groups)
	case KindCheckpoint:
		return checkCheckpoint(r.Checkpoint)
	}
	return fmt.Errorf("%w: kind %q", ErrUnknownFormat, string(r.Kind))
}

func (r *Record) checkManifest() error {
	if err := r.checkMandate(); err != nil {
		return err
	}
	if len(r.Document) == 0 {
		return fmt.Errorf("%w: document is empty", ErrBadRecord)
	}
	return checkName("holder", r.Holder)
}

func (r *Record) checkWithdraw() error {
	if len(r.Reason) > MaxReasonBytes {
		return fmt.Errorf("%w: reason exceeds %d bytes", ErrBadRecord, MaxReasonBytes)
	}
	return r.checkMandate()
}

func (r *Record) checkMandate() error {
	if r.Term < 1 {
		return fmt.Errorf("%w: term %d is below 1", ErrBadRecord, r.Term)
	}
	if r.Base < 0 {
		return fmt.Errorf("%w: base %d is negative", ErrBadRecord, r.Base)
	}
	return checkName("mandate", r.Mandate)
}

func checkProposals(groups []GroupProposal) error {
	if len(groups) == 0 || len(groups) > MaxGroups {
		return fmt.Errorf("%w: %d groups, want 1 to %d", ErrBadRecord, len(groups), MaxGroups)
	}
	seen := make(map[string]bool, len(groups))
	for _, g := range groups {
		if seen[g.Service] {
			return fmt.Errorf("%w: service %q proposed twice", ErrBadRecord, g.Service)
		}
		seen[g.Service] = true
		if g.Base < 0 {
			return fmt.Errorf("%w: base epoch %d is negative", ErrBadRecord, g.Base)
		}
		if err := checkGroup(g.Service, g.Members); err != nil {
			return err
		}
	}
	return nil
}

func checkGroup(service string, members []MemberItem) error {
	if err := checkName("service", service); err != nil {
		return err
	}
	if len(members) == 0 || len(members) > MaxMembers {
		return fmt.Errorf("%w: %d members, want 1 to %d", ErrBadRecord, len(members), MaxMembers)
	}
	for i, m := range members {
		if err := checkName("member", m.Node); err != nil {
			return err
		}
		for _, other := range members[:i] {
			if other.Node == m.Node {
				return fmt.Errorf("%w: member %q named twice", ErrBadRecord, m.Node)
			}
		}
	}
	return nil
}

func checkCheckpoint(c *CheckpointPart) error {
	if c == nil {
		return fmt.Errorf("%w: checkpoint is missing", ErrBadRecord)
	}
	if err := checkName("round", c.Round); err != nil {
		return err
	}
	if c.Part.From != 0 {
		return fmt.Errorf("%w: checkpoint from version %d, want 0", ErrBadRecord, c.Part.From)
	}
	return c.Part.check()
}

func checkName(field, name string) error {
	if name == "" || len(name) > MaxNameBytes {
		return fmt.Errorf("%w: %s has %d bytes, want 1 to %d", ErrBadRecord, field, len(name), MaxNameBytes)
	}
	return nil
}
