package control

import (
	"iter"
	"time"

	"hyssopbridge/config/manifest"
	"hyssopbridge/fleet"
)

// Mandate is the accepted state of one mandate. It is immutable.
type Mandate struct {
	Name      string
	Term      int64
	Holder    string
	Revision  int64  // offset of the last accepted record
	ID        string // ID of the last accepted record
	Withdrawn bool   // a withdrawn mandate serves nothing until a manifest of a higher term is accepted
	Reason    string // reason of the withdrawal
	Document  []byte // last accepted manifest; see EncodeDocument
	// Manifest is the last accepted manifest with defaults filled. It is kept
	// after a withdrawal, so that requests to its routes get code 1103.
	Manifest *manifest.Manifest
}

// Group is the accepted home group of one service. It is immutable.
type Group struct {
	fleet.HomeGroup
	ID         string       // ID of the record that set the group
	Base       int64        // epoch that the group replaced; 0 for the first
	AcceptedMS int64        // log time of the record, Unix ms
	Past       []GroupEpoch // earlier groups, oldest first; see groupWindow
}

// RoundInfo describes the newest complete checkpoint round in the log.
type RoundInfo struct {
	_       struct{} `cbor:",toarray"`
	Through int64    // version of the state in the round; 0 for none
	UnixMS  int64    // append time of its last part by the log's clock, in Unix ms
}

// Time returns the append time of the last part.
func (m RoundInfo) Time() time.Time { return time.UnixMilli(m.UnixMS) }

// Snapshot is the accepted state at one version. It is immutable and may be
// read from any goroutine.
type Snapshot struct {
	Version int64     // offset of the last folded record; 0 for none
	Digest  uint64    // hash over all items; equal versions have equal digests
	Round   RoundInfo // newest complete checkpoint round

	mandates table[*Mandate]
	groups   table[*Group]
	services table[string] // service name to its live mandate
}

// Mandate returns the mandate of the given name, live or withdrawn.
func (s *Snapshot) Mandate(name string) (*Mandate, bool) { return s.mandates.get(name) }

// Mandates yields every mandate, live and withdrawn, in unspecified order.
func (s *Snapshot) Mandates() iter.Seq[*Mandate] { return s.mandates.all() }

// MandateCount returns the number of mandates, live and withdrawn.
func (s *Snapshot) MandateCount() int { return s.mandates.count }

// Live yields every mandate that is not withdrawn, in unspecified order.
func (s *Snapshot) Live() iter.Seq[*Mandate] {
	return func(yield func(*Mandate) bool) {
		for m := range s.mandates.all() {
			if !m.Withdrawn && !yield(m) {
				return
			}
		}
	}
}

// Changed yields the mandates, live and withdrawn, whose revision is higher
// than version. With a version of 0 it yields all.
func (s *Snapshot) Changed(version int64) iter.Seq[*Mandate] {
	return func(yield func(*Mandate) bool) {
		for m := range s.mandates.after(version) {
			if m.Revision > version && !yield(m) {
				return
			}
		}
	}
}

// Owner returns the live mandate that a service belongs to.
func (s *Snapshot) Owner(service string) (*Mandate, bool) {
	name, ok := s.services.get(service)
	if !ok {
		return nil, false
	}
	return s.mandates.get(name)
}

// ServiceCount returns the number of services of live mandates.
func (s *Snapshot) ServiceCount() int { return s.services.count }

// HomeGroup returns the home group of a service. Groups outlive a withdrawal,
// so that epochs of a service never repeat.
func (s *Snapshot) HomeGroup(service string) (fleet.HomeGroup, bool) {
	g, ok := s.groups.get(service)
	if !ok {
		return fleet.HomeGroup{}, false
	}
	return g.HomeGroup, true
}

// HomeGroups yields every home group in unspecified order. The caller must not
// change the members.
func (s *Snapshot) HomeGroups() iter.Seq[fleet.HomeGroup] {
	return func(yield func(fleet.HomeGroup) bool) {
		for g := range s.groups.all() {
			if !yield(g.HomeGroup) {
				return
			}
		}
	}
}

// Group returns the home group of a service with its history.
func (s *Snapshot) Group(service string) (*Group, bool) { return s.groups.get(service) }

// GroupsAfter yields the groups whose epoch is higher than version.
func (s *Snapshot) GroupsAfter(version int64) iter.Seq[*Group] {
	return func(yield func(*Group) bool) {
		for g := range s.groups.after(version) {
			if g.Epoch > version && !yield(g) {
				return
			}
		}
	}
}
