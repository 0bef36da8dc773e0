package health

import (
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	firstTrialWait       = 2 * time.Second  // from the first ejection to its first trial request
	maxFirstTrialWait    = 60 * time.Second // after repeated ejections
	firstTrialWaitGrowth = 4                // factor per further ejection
	minTrialInterval     = time.Second      // after a bad trial request
	maxTrialInterval     = 5 * time.Second
	trialIntervalGrowth  = 1.6                    // factor per consecutive bad trial request and per further ejection
	flapPasses           = 4                      // good trial requests after which a bad one counts as another ejection
	trialSpacing         = 150 * time.Millisecond // least time between trial requests
	trialPasses          = 5                      // good trial requests before the first step, times ejectionFactor
	maxEjectionFactor    = 6                      // limit of ejectionFactor
	stepLength           = time.Second            // times ejectionFactor
	minStepResponses     = 3                      // good responses needed to complete a step
	relapseScore         = 4.0                    // nats that end the return during a step
	ejectionExpiry       = 5 * time.Minute        // time in service after which earlier ejections are forgotten
	jitterShare          = 0.2
	trialShare           = 0.02 // published share of requests while trial requests are sent singly
)

// steps are the shares of idempotent requests that a returning target gets,
// one after the other.
var steps = [...]float64{0.25, 0.5}

// ejectionState is the state of an unhealthy target.
type ejectionState struct {
	since         time.Duration
	severity      float64
	stayFactor    float64 // of severity, while ejected
	fresh         bool    // recent evidence would mark the target unhealthy again
	reason        string
	evidence      Evidence
	nextTrial     time.Duration
	passes        int // good trial requests in a row
	failedTrials  int // bad trial requests in a row
	step          int // 0 while trial requests are sent singly, else index+1 in steps
	stepEnd       time.Duration
	goodResponses int // in this step
}

func (d *Detector) eject(now time.Duration, t *target) {
	if t.ejectionCount > 0 && now-t.lastReturn > ejectionExpiry {
		t.ejectionCount = 0
	}
	t.ejectionCount++
	t.ejected = true
	t.resetEvidence()
	t.ejection.step = 0
	t.ejection.failedTrials = 0
	t.ejection.passes = 0
	t.ejection.nextTrial = now + d.jitter(t, backoff(firstTrialWait, maxFirstTrialWait, t.ejectionCount))
	d.emitFor(now, Eject, t, t.ejection.reason)
}

// backoff returns the wait after the given number of ejections, limited to most.
func backoff(first, most time.Duration, ejections int) time.Duration {
	d := float64(first) * math.Pow(firstTrialWaitGrowth, float64(ejections-1))
	return time.Duration(math.Min(d, float64(most)))
}

// jitter lengthens wait by a share that depends on the seed, the target and
// its number of ejections, so that trial requests are spread.
func (d *Detector) jitter(t *target, wait time.Duration) time.Duration {
	h := xxhash.Sum64String(fmt.Sprintf("%d/%s/%d", d.cfg.Seed, t.id, t.ejectionCount))
	part := float64(h%1024) / 1024
	return wait + time.Duration(jitterShare*part*float64(wait))
}

// ejectionFactor returns the number of ejections, from 1 to maxEjectionFactor, that
// scales the trials and steps of a return.
func (t *target) ejectionFactor() int { return min(max(t.ejectionCount, 1), maxEjectionFactor) }

// allowTrial admits a limited number of idempotent requests to an ejected
// target.
func (d *Detector) allowTrial(now time.Duration, t *target, idempotent bool) bool {
	e := &t.ejection
	if !idempotent || now < e.nextTrial {
		return false
	}
	if e.step > 0 {
		return t.admitShare(steps[e.step-1])
	}
	for _, r := range t.open {
		if r.trial && !r.failed {
			return false
		}
	}
	e.nextTrial = now + trialSpacing
	return true
}

// admitShare admits the given share of requests, evenly spaced.
func (t *target) admitShare(share float64) bool {
	t.admitCredit += share
	if t.admitCredit < 1 {
		return false
	}
	t.admitCredit--
	return true
}

// onTrialResponse handles the response of an ejected target. Responses to
// requests sent before the ejection do not count.
func (d *Detector) onTrialResponse(now time.Duration, r *request, s sample) {
	t := r.target
	if !r.trial || !t.ejected || r.failed {
		return
	}
	e := &t.ejection
	if s.outcome.failure() || s.llr >= badLLR {
		d.onBadTrial(now, t, s)
		return
	}
	t.score = math.Max(0, t.score+float64(s.llr))
	e.goodResponses++
	if e.step > 0 {
		return
	}
	e.passes++
	e.failedTrials = 0
	if e.passes >= trialPasses*t.ejectionFactor() {
		d.enterStep(now, t, 1)
	}
}

// onBadTrial handles a bad response of an ejected target. While trial requests
// are sent singly, one bad response restarts the trial; during a step the score
// decides.
func (d *Detector) onBadTrial(now time.Duration, t *target, s sample) {
	e := &t.ejection
	t.score += float64(s.llr)
	if e.step > 0 && t.score < relapseScore {
		return
	}
	if e.step > 0 || e.passes >= flapPasses {
		t.ejectionCount++
		e.nextTrial = now + d.jitter(t, backoff(firstTrialWait, maxFirstTrialWait, t.ejectionCount))
	} else {
		e.nextTrial = now + d.jitter(t, t.trialInterval())
		e.failedTrials++
	}
	e.step = 0
	e.passes = 0
	e.severity = math.Max(e.severity, 1+float64(s.slowness))
	t.score = 0
	d.emitFor(now, Relapse, t, "bad answer during the return")
}

// trialInterval returns the wait after a bad trial request. It grows with each
// consecutive one, so that a quick recovery is noticed early and a target that
// stays failed costs few requests.
func (t *target) trialInterval() time.Duration {
	d := float64(minTrialInterval) * math.Pow(trialIntervalGrowth, float64(t.ejection.failedTrials+t.ejectionFactor()-1))
	return time.Duration(math.Min(d, float64(maxTrialInterval)))
}

func (d *Detector) enterStep(now time.Duration, t *target, step int) {
	e := &t.ejection
	e.step = step
	e.goodResponses = 0
	e.stepEnd = now + stepLength*time.Duration(t.ejectionFactor())
	e.severity /= 2
	t.score = 0
}

// advanceReturns fails trial requests that are overdue and completes steps.
func (d *Detector) advanceReturns(now time.Duration) {
	for _, t := range d.sortedTargets {
		if !t.ejected {
			continue
		}
		d.failOverdue(now, t)
		e := &t.ejection
		if e.step == 0 || now < e.stepEnd || e.goodResponses < minStepResponses {
			continue
		}
		if e.step < len(steps) {
			d.enterStep(now, t, e.step+1)
			continue
		}
		d.readmit(now, t)
	}
}

// failOverdue treats an open trial request that has taken too long as a bad
// response.
func (d *Detector) failOverdue(now time.Duration, t *target) {
	for _, r := range t.open {
		if !r.trial || r.failed {
			continue
		}
		llr := d.pendingLLR(now, r)
		if llr < strongLLR {
			continue
		}
		r.failed = true
		d.onBadTrial(now, t, d.sampleOf(now, r, OK, llr, d.adjustedAgeMS(now, r)))
	}
}

func (d *Detector) readmit(now time.Duration, t *target) {
	t.ejected = false
	t.unhealthy = false
	t.lastReturn = now
	t.slowness = 0
	t.resetEvidence()
	d.emitFor(now, Return, t, "trial work was answered well")
}
