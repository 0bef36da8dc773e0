package admission

import (
	"testing"
	"time"
)

const ms = time.Millisecond

func observe(j *Detector, e Outcome, start, now time.Duration) { j.Observe(e, "z", start, now) }

// Guards against healthy targets losing their work to the errors that every
// target returns now and then.
func TestOneErrorAnswerIsNotGray(t *testing.T) {
	j := NewDetector(DefaultDetectorConfig())
	for i := range 50 {
		at := time.Duration(i) * 100 * ms
		observe(j, ServerError, at, at+10*ms)
		if j.Ejected() {
			t.Fatalf("gray after error answer %d with a success between", i)
		}
		observe(j, Success, at+20*ms, at+50*ms)
	}
	observe(j, ServerError, 6000*ms, 6010*ms)
	observe(j, Timeout, 6000*ms, 6020*ms)
	if !j.Ejected() {
		t.Error("not gray after an error answer and a timeout in a row")
	}
}

// Guards against a second order being lost to a target that has just reset one.
func TestBrokenAnswerIsGrayAtOnce(t *testing.T) {
	j := NewDetector(DefaultDetectorConfig())
	observe(j, Success, 0, 10*ms)
	observe(j, TransportError, 20*ms, 21*ms)
	if !j.Ejected() {
		t.Error("not gray")
	}
	if wait := j.TrialIn(21 * ms); wait != j.cfg.TrialInterval {
		t.Errorf("first trial in %v", wait)
	}
}

// Guards against an early return: requests that began before the failure show
// nothing, and single successes happen while a target still fails most requests.
func TestReturnNeedsSuccessesInARow(t *testing.T) {
	j := NewDetector(DefaultDetectorConfig())
	observe(j, TransportError, 100*ms, 101*ms)
	for range 5 {
		observe(j, Success, 50*ms, 300*ms) // began before the failure
	}
	if !j.Ejected() {
		t.Fatal("requests that began before the failure ended the gray phase")
	}
	at := 400 * ms
	for range j.cfg.SuccessesAfterTransportError - 1 {
		observe(j, Success, at, at+10*ms)
		at += 20 * ms
	}
	observe(j, TransportError, at, at+1*ms)
	for i := range j.cfg.SuccessesAfterTransportError {
		if !j.Ejected() {
			t.Fatalf("returned after %d successes", i)
		}
		observe(j, Success, at+10*ms, at+20*ms)
	}
	if j.Ejected() {
		t.Error("still gray after enough successes in a row")
	}
}

// Guards against trials at a rate that uses up the retry budget during a long
// gray phase.
func TestTrialsBackOff(t *testing.T) {
	j := NewDetector(DefaultDetectorConfig())
	observe(j, TransportError, 0, 0)
	now := time.Duration(0)
	trials := 0
	for now < 10*time.Second {
		now += j.TrialIn(now)
		j.BeginTrial(now)
		if j.TrialIn(now) == 0 {
			t.Fatal("a second trial may start before the first one has ended")
		}
		trials++
		now += 2 * ms
		j.EndTrial()
		observe(j, TransportError, now-2*ms, now)
	}
	if trials > 21 {
		t.Errorf("%d trials in 10 s, want at most one each %v", trials, j.cfg.MaxTrialInterval)
	}
}

// Guards against work for one caller zone going on to a target that fails for
// this zone only.
func TestFailureForOneZone(t *testing.T) {
	j := NewDetector(DefaultDetectorConfig())
	j.Observe(TransportError, "a", 0, 1*ms)
	for i := range j.cfg.SuccessesAfterTransportError {
		at := time.Duration(10+20*i) * ms
		j.Observe(Success, "b", at, at+10*ms)
	}
	if j.Ejected() || !j.ZoneFailing("a", 100*ms) || j.ZoneFailing("b", 100*ms) {
		t.Errorf("gray %v, doubted for a %v, for b %v", j.Ejected(), j.ZoneFailing("a", 100*ms), j.ZoneFailing("b", 100*ms))
	}
	j.Observe(Success, "a", 100*ms, 110*ms)
	if j.ZoneFailing("a", 120*ms) {
		t.Error("doubted after a success for the zone")
	}
}
