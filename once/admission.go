package once

import (
	"time"

	"hyssopbridge/resultcode"
)

// AdmissionConfig configures an AdmissionTable. Zero fields take their
// defaults.
type AdmissionConfig struct {
	Window     time.Duration // how long an ID is kept; default 10 min
	MaxEntries int           // default 200000
}

// Defaults of AdmissionConfig.
const (
	DefaultAdmissionWindow  = 10 * time.Minute
	DefaultAdmissionEntries = 200_000
)

// AdmissionTable is the host node's table of the request IDs of orders. A
// request ID is a UUIDv7 and names one attempt: a sender that retries an order
// after proof that it was not run uses a new ID.
//
// The table is empty after a restart and forgets IDs after the window. It
// neither admits nor settles IDs that it may have forgotten. A host node
// therefore admits all orders only from MaxFutureMS + MaxNodeSkewMS after its
// start.
type AdmissionTable struct {
	cfg AdmissionConfig
	// forgottenUntilMS is the issue time up to which IDs may be missing from
	// the table although they were admitted, barred or refused.
	forgottenUntilMS int64
	ids              map[string]bool // true if admitted, false if barred
	buckets          map[int64][]string
	firstBucket      int64
}

// admissionBucketDuration is the granularity of expiry.
const admissionBucketDuration = 30 * time.Second

// NewAdmissionTable returns the empty table of a process that started at
// startMS (Unix ms).
func NewAdmissionTable(cfg AdmissionConfig, startMS int64) *AdmissionTable {
	if cfg.Window == 0 {
		cfg.Window = DefaultAdmissionWindow
	}
	if cfg.MaxEntries == 0 {
		cfg.MaxEntries = DefaultAdmissionEntries
	}
	return &AdmissionTable{cfg: cfg, forgottenUntilMS: startMS + MaxFutureMS, ids: map[string]bool{}, buckets: map[int64][]string{}}
}

// Admit registers an attempt. The host node calls it before all other checks of
// the order, so that a duplicate delivery is recognized whatever the result of
// the first one, and calls Withdraw if a later check refuses the order. It
// returns nil, or the error to respond with. UnknownOutcome means that another
// delivery of the ID was or may have been admitted. Every other error is proof
// that the attempt was not run and will not be run.
func (a *AdmissionTable) Admit(now time.Duration, wallMS int64, id string) *resultcode.Error {
	if admitted, known := a.ids[id]; known {
		return refuseKnown(id, admitted)
	}
	issued, ok := IssuedMS(id)
	if !ok || issued > wallMS+MaxFutureMS {
		return resultcode.New(resultcode.BadRequest, "request ID %q is not a current UUIDv7", id)
	}
	if !a.covers(wallMS, issued) {
		return resultcode.New(resultcode.UnknownOutcome, "request ID %s is older than the admission table", id)
	}
	if !a.insert(now, id, true) {
		a.forgottenUntilMS = max(a.forgottenUntilMS, issued)
		return resultcode.New(resultcode.QueueFull, "admission table is full")
	}
	return nil
}

// refuseKnown returns the error for an ID that is in the table.
func refuseKnown(id string, admitted bool) *resultcode.Error {
	if admitted {
		return resultcode.New(resultcode.UnknownOutcome, "request ID %s was already admitted", id)
	}
	return resultcode.New(resultcode.Barred, "request ID %s is barred", id)
}

// Withdraw records that an admitted attempt was refused before anything was
// sent to a target, and will not be sent.
func (a *AdmissionTable) Withdraw(id string) {
	if _, ok := a.ids[id]; ok {
		a.ids[id] = false
	}
}

// Settle reports whether an attempt is proven not to have run, and in that case
// bars it from running later. false means that the outcome is unknown.
func (a *AdmissionTable) Settle(now time.Duration, wallMS int64, id string) (notRun bool) {
	if admitted, known := a.ids[id]; known {
		return !admitted
	}
	issued, ok := IssuedMS(id)
	if !ok || issued > wallMS+MaxFutureMS || !a.covers(wallMS, issued) {
		return false
	}
	return a.insert(now, id, false)
}

// covers reports whether the table would still contain an ID with the given
// issue time if the ID had been registered. By this host's clock, an ID is
// registered at most MaxFutureMS before its issue time. A full table forgets
// the ID that it refused, and must not admit a second delivery of it.
func (a *AdmissionTable) covers(wallMS, issued int64) bool {
	return issued > a.forgottenUntilMS && issued >= wallMS-a.cfg.Window.Milliseconds()+MaxFutureMS
}

func (a *AdmissionTable) insert(now time.Duration, id string, admitted bool) bool {
	a.sweep(now)
	if len(a.ids) >= a.cfg.MaxEntries {
		return false
	}
	a.ids[id] = admitted
	b := int64(now / admissionBucketDuration)
	if len(a.buckets) == 0 {
		a.firstBucket = b
	}
	a.buckets[b] = append(a.buckets[b], id)
	return true
}

// sweep drops the buckets that left the window at least one bucket length ago.
func (a *AdmissionTable) sweep(now time.Duration) {
	end := int64((now-a.cfg.Window)/admissionBucketDuration) - 1
	for ; a.firstBucket < end && len(a.buckets) > 0; a.firstBucket++ {
		for _, id := range a.buckets[a.firstBucket] {
			delete(a.ids, id)
		}
		delete(a.buckets, a.firstBucket)
	}
}

// RemainingLease returns how much of the lease sent with an order is left when
// the host node starts it. The home measured remaining just before it issued
// the ID and sent the attempt, so the time in transit is subtracted as far as
// the skew between the clocks of the two nodes permits. ok is false if nothing
// is left; the order is then refused with resultcode.NoLease.
func RemainingLease(wallMS int64, id string, remaining time.Duration) (left time.Duration, ok bool) {
	issued, valid := IssuedMS(id)
	if !valid {
		return 0, false
	}
	transit := time.Duration(wallMS-issued-MaxNodeSkewMS) * time.Millisecond
	left = remaining - max(0, transit)
	return left, left > 0
}
