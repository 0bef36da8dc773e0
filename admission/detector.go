package admission

import "time"

// Outcome is what one finished request shows about its target.
type Outcome uint8

// Outcomes of requests.
const (
	Neutral        Outcome = iota // inconclusive: canceled by the caller
	Success                       // complete response that matches the request
	ServerError                   // the target responded with a server error
	TransportError                // no connection, or the response was reset, cut off or malformed
	Timeout                       // no response within the request's time limit
	CallFailed                    // inconclusive: a server error, probably because a call that the target made failed
	Rejected                      // inconclusive: the target stated that it did not run the request
)

// DetectorConfig holds the parameters of a Detector.
type DetectorConfig struct {
	TrialInterval                time.Duration // from a failure to the first trial request; doubles with each failed one
	MaxTrialInterval             time.Duration // longest time between two trial requests
	TrialTimeout                 time.Duration // after which an open trial request no longer delays the next
	SuccessesAfterTransportError int           // consecutive successes that end an ejection caused by a transport error
	SuccessesAfterServerError    int           // consecutive successes that end an ejection caused by soft failures
	SoftFailureThreshold         int           // consecutive server errors and timeouts that eject the target
	ZoneFailureHold              time.Duration // how long after a failure its caller zone may send only requests that can be trials
	FirstTrialDelay              time.Duration // from a soft failure or an overdue request to the first trial request
	EarlySuccessFactor           int           // multiple of the longest failure time after which an open trial counts as a success
	EarlySuccessMargin           time.Duration // added to that time
	SuccessesAfterOverdue        int           // successes that end an ejection caused by several overdue requests
}

// DefaultDetectorConfig returns the parameters for targets that respond within
// about half a second.
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

// Detector is the failure detector of one target: it decides from the outcomes
// of requests whether the target is ejected. It is not safe for concurrent use.
type Detector struct {
	cfg              DetectorConfig
	needed           int           // successes that still have to follow before the target returns; 0 while it is healthy
	lastFailure      time.Duration // end of the newest failure
	tested           bool          // a request has succeeded
	recovering       bool          // the newest trial request succeeded
	nextTrial        time.Duration // earliest start of the next trial request
	trialDelay       time.Duration // current backoff between trial requests
	softFailures     int           // server errors and timeouts since the newest success
	openTrials       int
	lastTrialStart   time.Duration
	longestFailure   time.Duration            // longest run time of a failed request during this ejection
	zoneFailures     map[string]time.Duration // caller zone -> end of its newest failure, until a success
	lastSuccessStart time.Duration            // newest start of a request that succeeded
	overdueRequests  int                      // requests that became overdue since the newest success
	sawFailure       bool                     // the ejection has seen a failure, not only overdue requests
	ejections        int                      // ejections so far
	stateSince       time.Duration            // start of the current healthy period or ejection
	healthyFor       time.Duration            // total length of the healthy periods that have ended
	ejectedFor       time.Duration            // total length of the ejections that have ended
	belief           belief                   // probability of a gray failure
	lastFailureStart time.Duration            // newest start of a request that failed
}

// NewDetector returns a Detector of a target without any outcome.
func NewDetector(cfg DetectorConfig) *Detector {
	d := &Detector{cfg: cfg, zoneFailures: map[string]time.Duration{}}
	p := d.rates(0).stationary()
	d.belief.odds = p / (1 - p)
	return d
}

// Ejected reports whether the target gets only trial requests.
func (d *Detector) Ejected() bool { return d.needed > 0 }

// Recovering reports whether the target is ejected and its newest trial request
// succeeded.
func (d *Detector) Recovering() bool { return d.needed > 0 && d.recovering }

// NearlyRecovered reports whether one more success ends the ejection.
func (d *Detector) NearlyRecovered() bool { return d.needed == 1 && d.recovering }

// ZoneFailing reports whether requests from the zone failed recently and none
// has succeeded since, although requests from other zones do.
func (d *Detector) ZoneFailing(zone string, now time.Duration) bool {
	at, ok := d.zoneFailures[zone]
	return ok && now-at < d.cfg.ZoneFailureHold
}

// Tested reports whether a request has succeeded since the target became known.
func (d *Detector) Tested() bool { return d.tested }

// TrialIn returns the time until the next trial request may start. Until one
// has succeeded there is one at a time, then as many as successes are still
// needed.
func (d *Detector) TrialIn(now time.Duration) time.Duration {
	if open := d.openTrials; open > 0 && (!d.recovering || open >= d.needed) {
		return max(0, d.lastTrialStart+d.cfg.TrialTimeout-now)
	}
	return max(0, d.nextTrial-now)
}

// BeginTrial records the start of a trial request.
func (d *Detector) BeginTrial(now time.Duration) {
	d.openTrials++
	d.lastTrialStart = now
}

// EndTrial records the end of a trial request, before its outcome.
func (d *Detector) EndTrial() {
	if d.openTrials > 0 {
		d.openTrials--
	}
}

// Observe records the outcome of a request from the zone that started at start
// and ended now. It reports whether the target was ejected or returned.
func (d *Detector) Observe(o Outcome, zone string, start, now time.Duration) (changed bool) {
	before := d.Ejected()
	d.observeState(o, start, now)
	if o != Success && o != Neutral && o != CallFailed && o != Rejected {
		d.recordFailureTime(now - start)
	}
	switch o {
	case Success:
		d.recordSuccess(zone, start, now)
	case ServerError, Timeout:
		d.recordSoftFailure(zone, now)
	case TransportError:
		d.sawFailure = true
		d.recordFailure(zone, now, d.cfg.SuccessesAfterTransportError, d.cfg.TrialInterval)
	}
	return before != d.Ejected()
}

// recordFailureTime records how long a request took to fail.
func (d *Detector) recordFailureTime(took time.Duration) {
	if d.needed == 0 {
		d.longestFailure = 0
	}
	d.longestFailure = max(d.longestFailure, took)
}

// EarlySuccessTime returns how long a trial request must be open to count as a
// success before its response is complete. A target that resets requests does
// so at once, so a trial that runs for much longer than the failures took shows
// that the target has recovered. ok is false if failures take too long for this.
func (d *Detector) EarlySuccessTime() (after time.Duration, ok bool) {
	after = time.Duration(d.cfg.EarlySuccessFactor)*d.longestFailure + d.cfg.EarlySuccessMargin
	return after, d.needed > 0 && after < d.cfg.TrialTimeout
}

// EarlySuccess records that a trial request which started at start is still
// open after EarlySuccessTime. It reports whether that counts as a success.
func (d *Detector) EarlySuccess(zone string, start, now time.Duration) bool {
	if d.needed == 0 || start < d.lastFailure {
		return false
	}
	d.EndTrial()
	d.observeState(Success, start, now)
	d.recordSuccess(zone, start, now)
	return true
}

// recordSoftFailure records a failure of a kind that healthy targets also have
// occasionally, so that a single one does not eject.
func (d *Detector) recordSoftFailure(zone string, now time.Duration) {
	d.softFailures++
	if d.needed > 0 || d.softFailures >= d.cfg.SoftFailureThreshold {
		d.sawFailure = true
		d.recordFailure(zone, now, d.cfg.SuccessesAfterServerError, d.cfg.FirstTrialDelay)
	}
}

func (d *Detector) recordSuccess(zone string, start, now time.Duration) {
	if d.needed > 0 && d.sawFailure && start < d.lastFailure {
		// The request began before the failure, so its success does not show
		// that the target has recovered.
		return
	}
	d.lastSuccessStart = max(d.lastSuccessStart, start)
	d.overdueRequests = 0
	delete(d.zoneFailures, zone)
	d.tested = true
	d.softFailures = 0
	if d.needed > 0 {
		d.needed--
		d.nextTrial = now
		d.recovering = true
		d.sawFailure = d.sawFailure && d.needed > 0
		if d.needed == 0 {
			d.ejectedFor += now - d.stateSince
			d.stateSince = now
		}
	}
}

// ObserveOverdue records that a request which started at start has been open
// for much longer than is usual for its route. Nothing has failed yet, so a
// later success revokes this. It reports whether the target was ejected.
func (d *Detector) ObserveOverdue(zone string, start, now time.Duration) (changed bool) {
	if d.lastSuccessStart > start {
		return false // requests that began later have succeeded
	}
	before := d.Ejected()
	d.recordFailureTime(now - start)
	d.overdueRequests++
	needed := 1
	if d.overdueRequests > 1 {
		needed = d.cfg.SuccessesAfterOverdue
	}
	d.recordFailure(zone, now, needed, d.cfg.FirstTrialDelay)
	return before != d.Ejected()
}

// Suspected reports whether the target is ejected only because requests are overdue.
func (d *Detector) Suspected() bool { return d.needed > 0 && !d.sawFailure }

// recordFailure ejects the target, or extends the ejection and backs off the
// next trial request.
func (d *Detector) recordFailure(zone string, now time.Duration, needed int, firstDelay time.Duration) {
	d.recovering = false
	d.lastFailure = now
	d.zoneFailures[zone] = now
	if d.needed == 0 {
		d.trialDelay = firstDelay
		d.ejections++
		d.healthyFor += now - d.stateSince
		d.stateSince = now
	} else {
		d.trialDelay = min(max(2*d.trialDelay, d.cfg.TrialInterval), d.cfg.MaxTrialInterval)
	}
	d.nextTrial = now + d.trialDelay
	d.needed = max(d.needed, needed)
}

var outcomeNames = [...]string{"neutral", "good", "error_answer", "broken", "silent", "call_failed", "rejected"}

// String returns the name used in logs and metrics.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "unknown"
}
