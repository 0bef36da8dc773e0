package once

import (
	"time"

	"hyssopbridge/resultcode"
)

// AdmissionConfig bounds an AdmissionTable table. Zero fields take their defaults.
type AdmissionConfig struct {
	Window     time.Duration // how long an ID is kept; default 10 min
	MaxEntries int           // default 200000
}

// Defaults of AdmissionConfig.
const (
	DefaultAdmissionWindow  = 10 * time.Minute
	DefaultAdmissionEntries = 200_000
)

// AdmissionTable is the host node's table of request IDs of orders. A request ID
// is a UUIDv7 and names one attempt: a sender that repeats an order after proof
// that it was not run uses a new ID.
//
// The table is empty after a restart and forgets IDs after the window. For IDs
// that it may have forgotten it admits nothing and settles nothing, so a host
// node takes orders from MaxFutureMS + MaxNodeSkewMS after its start.
type AdmissionTable struct {
	cfg AdmissionConfig
	// forgotMS is the issue time up to which IDs may be missing although they
	// were admitted, barred or refused.
	forgotMS int64
	ids      map[string]bool // true if admitted, false if barred
	buckets  map[int64][]string
	swept    int64
}

// admissionBucket is the granularity of expiry.
const admissionBucket = 30 * time.Second

// NewAdmissionTable returns the table of a process that started at startMS, Unix ms.
func NewAdmissionTable(cfg AdmissionConfig, startMS int64) *AdmissionTable {
	if cfg.Window == 0 {
		cfg.Window = DefaultAdmissionWindow
	}
	if cfg.MaxEntries == 0 {
		cfg.MaxEntries = DefaultAdmissionEntries
	}
	return &AdmissionTable{cfg: cfg, forgotMS: startMS + MaxFutureMS, ids: map[string]bool{}, buckets: map[int64][]string{}}
}

// Admit registers an attempt. The host node calls it before every other check
// of the order, so that a repeated delivery is recognized whatever became of
// the first, and calls Withdraw if a later check refuses the order. It returns
// nil or the error to answer with. UnknownOutcome means that another delivery
// of the ID was or may have been admitted; every other error is proof that the
// ID was not run and will not be run.
func (a *AdmissionTable) Admit(now time.Duration, wallMS int64, id string) *resultcode.Error {
	if admitted, known := a.ids[id]; known {
		return refuseKnown(id, admitted)
	}
	issued, ok := IssuedMS(id)
	if !ok || issued > wallMS+MaxFutureMS {
		return resultcode.New(resultcode.BadRequest, "request ID %q is not a current UUIDv7", id)
	}
	if !a.remembers(wallMS, issued) {
		return resultcode.New(resultcode.UnknownOutcome, "request ID %s is older than the admission table", id)
	}
	if !a.insert(now, id, true) {
		a.forgotMS = max(a.forgotMS, issued)
		return resultcode.New(resultcode.QueueFull, "admission table is full")
	}
	return nil
}

func refuseKnown(id string, admitted bool) *resultcode.Error {
	if admitted {
		return resultcode.New(resultcode.UnknownOutcome, "request ID %s was admitted before", id)
	}
	return resultcode.New(resultcode.Barred, "request ID %s is barred", id)
}

// Withdraw states that an admitted attempt was refused before anything was
// sent to a target, and will not be sent.
func (a *AdmissionTable) Withdraw(id string) {
	if _, ok := a.ids[id]; ok {
		a.ids[id] = false
	}
}

// Settle reports whether an attempt is proven not to have run, and bars it in
// that case. false means that the outcome is unknown.
func (a *AdmissionTable) Settle(now time.Duration, wallMS int64, id string) (notRun bool) {
	if admitted, known := a.ids[id]; known {
		return !admitted
	}
	issued, ok := IssuedMS(id)
	if !ok || issued > wallMS+MaxFutureMS || !a.remembers(wallMS, issued) {
		return false
	}
	return a.insert(now, id, false)
}

// remembers reports whether the table would still hold an ID of the given
// issue time. An ID is registered at most MaxFutureMS before its issue time, on
// this host's clock. A full table forgets the ID that it refused: a second
// delivery of it must not be admitted.
func (a *AdmissionTable) remembers(wallMS, issued int64) bool {
	return issued > a.forgotMS && issued >= wallMS-a.cfg.Window.Milliseconds()+MaxFutureMS
}

func (a *AdmissionTable) insert(now time.Duration, id string, admitted bool) bool {
	a.sweep(now)
	if len(a.ids) >= a.cfg.MaxEntries {
		return false
	}
	a.ids[id] = admitted
	b := int64(now / admissionBucket)
	if len(a.buckets) == 0 {
		a.swept = b
	}
	a.buckets[b] = append(a.buckets[b], id)
	return true
}

// sweep drops buckets that have left the window by at least one bucket.
func (a *AdmissionTable) sweep(now time.Duration) {
	end := int64((now-a.cfg.Window)/admissionBucket) - 1
	for ; a.swept < end && len(a.buckets) > 0; a.swept++ {
		for _, id := range a.buckets[a.swept] {
			delete(a.ids, id)
		}
		delete(a.buckets, a.swept)
	}
}

// RemainingLease returns how much of the lease deadline sent with an order is left
// when the host node starts it. remaining was measured by the home just before
// it sent the attempt and issued its ID, so time in transit counts as far as
// the clocks of the two nodes permit. ok is false if nothing is left: the order
// is refused with resultcode.NoLease.
func RemainingLease(wallMS int64, id string, remaining time.Duration) (left time.Duration, ok bool) {
	issued, valid := IssuedMS(id)
	if !valid {
		return 0, false
	}
	transit := time.Duration(wallMS-issued-MaxNodeSkewMS) * time.Millisecond
	left = remaining - max(0, transit)
	return left, left > 0
}
