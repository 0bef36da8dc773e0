package admission

import "time"

// Outcome is what one finished request says about its target.
type Outcome uint8

// Kinds of evidence.
const (
	Neutral        Outcome = iota // says nothing: cancelled by the caller, or shed by the target
	Success                       // complete, matching answer
	ServerError                   // the target answered with a server error
	TransportError                // reset, cut off or unreadable answer, or no connection
	Timeout                       // no answer in the time that the request had
)

// DetectorConfig holds the constants of a Judge.
type DetectorConfig struct {
	TrialInterval                time.Duration // from a failure to the first trial; doubles with each failed trial
	MaxTrialInterval             time.Duration // longest time between two trials
	TrialTimeout                 time.Duration // after which an open trial no longer holds up the next
	SuccessesAfterTransportError int           // successes in a row that end a gray phase which began with a broken answer
	SuccessesAfterServerError    int           // successes that end one which began with error answers
	SoftFailureThreshold         int           // error answers and timeouts in a row that make a target gray
	ZoneFailureHold              time.Duration // how long a failure for one caller zone holds after the target returned
	FirstTrialDelay              time.Duration // from an error answer to the first trial
	EarlySuccessFactor           int           // a trial open for this many times the failure time has survived
	EarlySuccessMargin           time.Duration // added to it
	SuccessesAfterOverdue        int           // successes that end a gray phase which began with several overdue requests
}

// DefaultDetectorConfig returns the constants for targets that answer within about half
// a second.
func DefaultDetectorConfig() DetectorConfig {
	return DetectorConfig{
		TrialInterval:                250 * time.Millisecond,
		MaxTrialInterval:             600 * time.Millisecond,
		TrialTimeout:                 time.Second,
		SuccessesAfterTransportError: 3,
		SuccessesAfterServerError:    1,
		SoftFailureThreshold:         2,
		ZoneFailureHold:              3 * time.Second,
		FirstTrialDelay:              30 * time.Millisecond,
		EarlySuccessFactor:           3,
		EarlySuccessMargin:           20 * time.Millisecond,
		SuccessesAfterOverdue:        2,
	}
}

// Detector decides from the outcomes of requests whether a target is gray. It is
// not safe for concurrent use.
type Detector struct {
	cfg        DetectorConfig
	need       int           // successes still needed; 0 while the target is good
	lastFail   time.Duration // end of the newest failure
	tested     bool          // it has answered well
	recovering bool          // the newest trial succeeded
	nextTrial  time.Duration
	trialWait  time.Duration
	soft       int // error answers and timeouts since the newest success
	trials     int // open trials
	openedAt   time.Duration
	failAfter  time.Duration            // longest time in which a request failed in this gray phase
	zones      map[string]time.Duration // caller zone -> end of its newest failure, until a success
	goodStart  time.Duration            // newest start of a request that ended well
	overdue    int                      // requests that became overdue since the newest success
	failed     bool                     // the gray phase has seen a failure, not only overdue requests
	onsets     int                      // gray phases so far
	goodSince  time.Duration            // when the current or last good phase began
	goodFor    time.Duration            // time in good phases that have ended
}

// NewDetector returns a Judge of a target without evidence.
func NewDetector(cfg DetectorConfig) *Detector {
	return &Detector{cfg: cfg, zones: map[string]time.Duration{}}
}

// Ejected reports whether the target takes no work but trials.
func (j *Detector) Ejected() bool { return j.need > 0 }

// Recovering reports whether the newest trial of a gray target succeeded.
func (j *Detector) Recovering() bool { return j.need > 0 && j.recovering }

// NearlyRecovered reports whether one more success ends the gray phase.
func (j *Detector) NearlyRecovered() bool { return j.need == 1 && j.recovering }

// ZoneFailing reports whether requests from the zone failed and none has succeeded
// since, although requests from other zones do.
func (j *Detector) ZoneFailing(zone string, now time.Duration) bool {
	at, ok := j.zones[zone]
	return ok && now-at < j.cfg.ZoneFailureHold
}

// Tested reports whether the target has answered well since it became known.
func (j *Detector) Tested() bool { return j.tested }

// TrialIn returns the time until the next trial may start. Until a trial has
// succeeded there is one at a time, then as many as successes are still needed.
func (j *Detector) TrialIn(now time.Duration) time.Duration {
	if open := j.trials; open > 0 && (!j.recovering || open >= j.need) {
		return max(0, j.openedAt+j.cfg.TrialTimeout-now)
	}
	return max(0, j.nextTrial-now)
}

// BeginTrial records the start of a trial.
func (j *Detector) BeginTrial(now time.Duration) {
	j.trials++
	j.openedAt = now
}

// EndTrial records the end of a trial, before its evidence.
func (j *Detector) EndTrial() {
	if j.trials > 0 {
		j.trials--
	}
}

// Observe records the evidence of a request from the zone that started at
// start and ended now. It reports whether the target turned gray or returned.
func (j *Detector) Observe(e Outcome, zone string, start, now time.Duration) (changed bool) {
	before := j.Ejected()
	if e != Success && e != Neutral {
		j.noteFailureTime(now - start)
	}
	switch e {
	case Success:
		j.good(zone, start, now)
	case ServerError, Timeout:
		j.softFail(zone, now)
	case TransportError:
		j.failed = true
		j.fail(zone, now, j.cfg.SuccessesAfterTransportError, j.cfg.TrialInterval)
	}
	return before != j.Ejected()
}

// noteFailureTime records how long a request took to fail.
func (j *Detector) noteFailureTime(took time.Duration) {
	if j.need == 0 {
		j.failAfter = 0
	}
	j.failAfter = max(j.failAfter, took)
}

// EarlySuccessTime returns how long a trial must be open to count as a success
// before its answer is complete. A target that resets requests does so at once,
// so a trial that outlasts its failures by far shows that it has recovered.
// ok is false if failures take too long to tell.
func (j *Detector) EarlySuccessTime() (d time.Duration, ok bool) {
	d = time.Duration(j.cfg.EarlySuccessFactor)*j.failAfter + j.cfg.EarlySuccessMargin
	return d, j.need > 0 && d < j.cfg.TrialTimeout
}

// EarlySuccess records that a trial which started at start is still open after its
// survival time. It reports whether that counts as a success.
func (j *Detector) EarlySuccess(zone string, start, now time.Duration) bool {
	if j.need == 0 || start < j.lastFail {
		return false
	}
	j.EndTrial()
	j.good(zone, start, now)
	return true
}

// softFail counts a failure that healthy targets also have now and then.
func (j *Detector) softFail(zone string, now time.Duration) {
	j.soft++
	if j.need > 0 || j.soft >= j.cfg.SoftFailureThreshold {
		j.failed = true
		j.fail(zone, now, j.cfg.SuccessesAfterServerError, j.cfg.FirstTrialDelay)
	}
}

func (j *Detector) good(zone string, start, now time.Duration) {
	if j.need > 0 && j.failed && start < j.lastFail {
		// The request began before the failure, so its success does not show
		// that the target has recovered.
		return
	}
	j.goodStart = max(j.goodStart, start)
	j.overdue = 0
	delete(j.zones, zone)
	j.tested = true
	j.soft = 0
	if j.need > 0 {
		j.need--
		j.nextTrial = now
		j.recovering = true
		j.failed = j.failed && j.need > 0
		if j.need == 0 {
			j.goodSince = now
		}
	}
}

// ObserveOverdue records that a request which started at start is open for much
// longer than its route usually takes. A later success takes this back, since
// nothing has failed yet. It reports whether the target turned gray.
func (j *Detector) ObserveOverdue(zone string, start, now time.Duration) (changed bool) {
	if j.goodStart > start {
		return false // requests that began later were answered
	}
	before := j.Ejected()
	j.noteFailureTime(now - start)
	j.overdue++
	need := 1
	if j.overdue > 1 {
		need = j.cfg.SuccessesAfterOverdue
	}
	j.fail(zone, now, need, j.cfg.FirstTrialDelay)
	return before != j.Ejected()
}

// Suspected reports whether the target is gray only because requests are overdue.
func (j *Detector) Suspected() bool { return j.need > 0 && !j.failed }

func (j *Detector) fail(zone string, now time.Duration, need int, wait time.Duration) {
	j.recovering = false
	j.lastFail = now
	j.zones[zone] = now
	if j.need == 0 {
		j.trialWait = wait
		j.onsets++
		j.goodFor += now - j.goodSince
	} else {
		j.trialWait = min(max(2*j.trialWait, j.cfg.TrialInterval), j.cfg.MaxTrialInterval)
	}
	j.nextTrial = now + j.trialWait
	j.need = max(j.need, need)
}

// onsetRate returns how often the target turns gray, in times a second of good
// phases.
func (j *Detector) onsetRate(now time.Duration) float64 {
	good := j.goodFor
	if j.need == 0 {
		good += now - j.goodSince
	}
	return (1 + float64(j.onsets)) / (assumedGoodTime + good).Seconds()
}

var evidenceNames = [...]string{"neutral", "good", "error_answer", "broken", "silent"}

// String returns the name used in logs.
func (e Outcome) String() string {
	if int(e) < len(evidenceNames) {
		return evidenceNames[e]
	}
	return "unknown"
}
