package once

import (
	"testing"
	"time"

	"hyssopbridge/resultcode"
)

func admitCode(a *AdmissionTable, now time.Duration, wall int64, id string) resultcode.Code {
	if err := a.Admit(now, wall, id); err != nil {
		return err.Code
	}
	return 0
}

// Guards against a false proof of "not run" and against a barred attempt that
// is admitted later.
func TestSettle(t *testing.T) {
	a := NewAdmissionTable(AdmissionConfig{}, startMS-60_000)
	run, lost, refused := orderAt(startMS, 1).Key.Value, orderAt(startMS, 2).Key.Value, orderAt(startMS, 3).Key.Value
	if c := admitCode(a, 0, startMS, run); c != 0 {
		t.Fatalf("refused with %v", c)
	}
	if c := admitCode(a, 0, startMS, run); c != resultcode.UnknownOutcome {
		t.Errorf("second delivery: %v", c)
	}
	if a.Settle(0, startMS, run) {
		t.Error("an admitted attempt was settled as not run")
	}
	if !a.Settle(0, startMS, lost) {
		t.Error("an attempt that never arrived was not settled")
	}
	if c := admitCode(a, time.Second, startMS+1000, lost); c != resultcode.Barred {
		t.Errorf("barred attempt: %v", c)
	}
	a.Admit(0, startMS, refused)
	a.Withdraw(refused)
	if !a.Settle(0, startMS, refused) {
		t.Error("a withdrawn attempt was not settled")
	}
	if c := admitCode(a, 0, startMS, refused); c != resultcode.Barred {
		t.Errorf("withdrawn attempt: %v", c)
	}
}

// Guards against statements about IDs that the table may have forgotten:
// after its window, after a restart, and when it was full.
func TestForgottenIDs(t *testing.T) {
	id := orderAt(startMS, 1).Key.Value
	old := NewAdmissionTable(AdmissionConfig{Window: time.Minute}, startMS-60_000)
	old.Admit(0, startMS, id)
	for now := time.Duration(0); now < 5*time.Minute; now += time.Second {
		wall := startMS + now.Milliseconds()
		old.insert(now, orderAt(wall, 9).Key.Value, false)
		if old.Settle(now, wall, id) || admitCode(old, now, wall, id) != resultcode.UnknownOutcome {
			t.Fatalf("after %v the admitted ID is settled or admitted", now)
		}
	}
	restarted := NewAdmissionTable(AdmissionConfig{}, startMS)
	if restarted.Settle(0, startMS+10_000, id) || admitCode(restarted, 0, startMS+10_000, id) != resultcode.UnknownOutcome {
		t.Error("an ID of before the restart was settled or admitted")
	}
	full := NewAdmissionTable(AdmissionConfig{MaxEntries: 1, Window: time.Minute}, startMS-60_000)
	full.Admit(0, startMS-1, orderAt(startMS-1, 2).Key.Value)
	if c := admitCode(full, 0, startMS, id); c != resultcode.QueueFull {
		t.Errorf("full table: %v", c)
	}
	full.ids = map[string]bool{}
	if c := admitCode(full, 0, startMS, id); c != resultcode.UnknownOutcome {
		t.Errorf("second delivery after the table was full: %v", c)
	}
	if full.Settle(0, startMS+5000, orderAt(startMS+8000, 1).Key.Value) {
		t.Error("an ID from the future was settled")
	}
}

// Guards against an order that starts after its lease because it was in
// transit for long.
func TestLeaseLeftCountsTransit(t *testing.T) {
	id := orderAt(startMS, 1).Key.Value
	for transit, want := range map[int64]time.Duration{-500: time.Second, 1000: time.Second, 2500: 500 * time.Millisecond, 3000: 0} {
		left, ok := RemainingLease(startMS+transit, id, time.Second)
		if ok != (want > 0) || ok && left != want {
			t.Errorf("after %d ms: %v, %v; want %v", transit, left, ok, want)
		}
	}
}
