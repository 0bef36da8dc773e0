package admission

import (
	"testing"
	"time"
)

const ms = time.Millisecond

func observe(d *Detector, o Outcome, start, now time.Duration) { d.Observe(o, "z", start, now) }

// Guards against the ejection of healthy targets for the errors that every
// target returns occasionally.
func TestSingleServerErrorDoesNotEject(t *testing.T) {
	d := NewDetector(DefaultDetectorConfig())
	for i := range 50 {
		at := time.Duration(i) * 100 * ms
		observe(d, ServerError, at, at+10*ms)
		if d.Ejected() {
			t.Fatalf("ejected after server error %d with a success between", i)
		}
		observe(d, Success, at+20*ms, at+50*ms)
	}
	observe(d, ServerError, 6000*ms, 6010*ms)
	observe(d, Timeout, 6000*ms, 6020*ms)
	if !d.Ejected() {
		t.Error("not ejected after a server error and a timeout in a row")
	}
}

// Guards against losing a second non-idempotent request to a target that has
// just reset one.
func TestTransportErrorEjectsAtOnce(t *testing.T) {
	d := NewDetector(DefaultDetectorConfig())
	observe(d, Success, 0, 10*ms)
	observe(d, TransportError, 20*ms, 21*ms)
	if !d.Ejected() {
		t.Error("not ejected")
	}
	if wait := d.TrialIn(21 * ms); wait != d.cfg.TrialInterval {
		t.Errorf("first trial request in %v", wait)
	}
}

// Guards against an early return: requests that began before the failure prove
// nothing, and single successes occur while a target still fails most requests.
func TestReturnNeedsSuccessesInARow(t *testing.T) {
	d := NewDetector(DefaultDetectorConfig())
	observe(d, TransportError, 100*ms, 101*ms)
	for range 5 {
		observe(d, Success, 50*ms, 300*ms) // began before the failure
	}
	if !d.Ejected() {
		t.Fatal("requests that began before the failure ended the ejection")
	}
	at := 400 * ms
	for range d.cfg.SuccessesAfterTransportError - 1 {
		observe(d, Success, at, at+10*ms)
		at += 20 * ms
	}
	observe(d, TransportError, at, at+1*ms)
	for i := range d.cfg.SuccessesAfterTransportError {
		if !d.Ejected() {
			t.Fatalf("returned after %d successes", i)
		}
		observe(d, Success, at+10*ms, at+20*ms)
	}
	if d.Ejected() {
		t.Error("still ejected after enough successes in a row")
	}
}

// Guards against trial requests at a rate that exhausts the retry budget during
// a long ejection.
func TestTrialsBackOff(t *testing.T) {
	d := NewDetector(DefaultDetectorConfig())
	observe(d, TransportError, 0, 0)
	now := time.Duration(0)
	trials := 0
	for now < 10*time.Second {
		now += d.TrialIn(now)
		d.BeginTrial(now)
		if d.TrialIn(now) == 0 {
			t.Fatal("a second trial request may start before the first one has ended")
		}
		trials++
		now += 2 * ms
		d.EndTrial()
		observe(d, TransportError, now-2*ms, now)
	}
	if trials > 21 {
		t.Errorf("%d trial requests in 10 s, want at most one each %v", trials, d.cfg.MaxTrialInterval)
	}
}

// Guards against requests from a caller zone to a target that fails for this
// zone only.
func TestFailureForOneZone(t *testing.T) {
	d := NewDetector(DefaultDetectorConfig())
	d.Observe(TransportError, "a", 0, 1*ms)
	for i := range d.cfg.SuccessesAfterTransportError {
		at := time.Duration(10+20*i) * ms
		d.Observe(Success, "b", at, at+10*ms)
	}
	if d.Ejected() || !d.ZoneFailing("a", 100*ms) || d.ZoneFailing("b", 100*ms) {
		t.Errorf("ejected %v, failing for zone a %v, for zone b %v", d.Ejected(), d.ZoneFailing("a", 100*ms), d.ZoneFailing("b", 100*ms))
	}
	d.Observe(Success, "a", 100*ms, 110*ms)
	if d.ZoneFailing("a", 120*ms) {
		t.Error("still failing for the zone after a success")
	}
}
