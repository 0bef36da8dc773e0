package health

import (
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	waitMin      = 2 * time.Second  // from the first ejection to the first trial request
	waitMax      = 60 * time.Second // backoff bound
	waitGrowth   = 4                // per repeated ejection
	retryMin     = time.Second      // between trials after a bad one
	retryMax     = 5 * time.Second
	retryGrowth  = 1.6
	flapPasses   = 4 // good trials before a bad one that make it a repeat
	trialSpacing = 150 * time.Millisecond
	trialPasses  = 5               // good trial requests before the first step, per repeat
	maxRepeats   = 6               // bounds passes and step lengths
	stepTime     = time.Second     // length of a step, per repeat
	stepGoods    = 3               // good answers that a step needs
	relapseScore = 4.0             // nats that end the return while work is regained
	calmTime     = 5 * time.Minute // in service, after which repeats are forgotten
	jitterShare  = 0.2
	trialShare   = 0.02 // published share of work while single requests are tried
)

// steps are the shares of idempotent work that a returning target regains.
var steps = [...]float64{0.25, 0.5}

// ejectionState is the state of a condemned target.
type ejectionState struct {
	since     time.Duration
	weight    float64
	bonus     float64 // of weight while ejected
	fresh     bool    // the evidence would condemn the target again
	reason    string
	evidence  Evidence
	nextTrial time.Duration
	passes    int
	fails     int // bad trials in a row
	step      int // 0 while single requests are tried, else index+1 in steps
	stepEnd   time.Duration
	goods     int // in this step
}

func (c *Detector) eject(now time.Duration, t *target) {
	if t.everEjected > 0 && now-t.lastReturn > calmTime {
		t.everEjected = 0
	}
	t.everEjected++
	t.ejected = true
	t.resetEvidence()
	t.ejection.step = 0
	t.ejection.fails = 0
	t.ejection.passes = 0
	t.ejection.nextTrial = now + c.jitter(t, backoff(waitMin, waitMax, t.everEjected))
	c.decideAbout(now, Eject, t, t.ejection.reason)
}

func backoff(first, most time.Duration, repeats int) time.Duration {
	d := float64(first) * math.Pow(waitGrowth, float64(repeats-1))
	return time.Duration(math.Min(d, float64(most)))
}

// jitter lengthens d by a share that depends on seed, target and repeats.
func (c *Detector) jitter(t *target, d time.Duration) time.Duration {
	h := xxhash.Sum64String(fmt.Sprintf("%d/%s/%d", c.cfg.Seed, t.id, t.everEjected))
	part := float64(h%1024) / 1024
	return d + time.Duration(jitterShare*part*float64(d))
}

func (t *target) repeats() int { return min(max(t.everEjected, 1), maxRepeats) }

// allowTrial admits limited idempotent work at an ejected target.
func (c *Detector) allowTrial(now time.Duration, t *target, idempotent bool) bool {
	e := &t.ejection
	if !idempotent || now < e.nextTrial {
		return false
	}
	if e.step > 0 {
		return t.thin(steps[e.step-1])
	}
	for _, r := range t.open {
		if r.trial && !r.failed {
			return false
		}
	}
	e.nextTrial = now + trialSpacing
	return true
}

// thin admits a share of the requests, evenly spaced.
func (t *target) thin(share float64) bool {
	t.thinning += share
	if t.thinning < 1 {
		return false
	}
	t.thinning--
	return true
}

// onTrialAnswer handles the answer of an ejected target. Answers to requests
// from before the ejection do not count.
func (c *Detector) onTrialAnswer(now time.Duration, r *request, s sample) {
	t := r.target
	if !r.trial || !t.ejected || r.failed {
		return
	}
	e := &t.ejection
	if s.outcome.failure() || s.weight >= badLLR {
		c.onBadTrial(now, t, s)
		return
	}
	t.score = math.Max(0, t.score+float64(s.weight))
	e.goods++
	if e.step > 0 {
		return
	}
	e.passes++
	e.fails = 0
	if e.passes >= trialPasses*t.repeats() {
		c.enterStep(now, t, 1)
	}
}

// onBadTrial ends a trial. While single requests are tried one bad answer
// does; while work is regained the evidence is summed up.
func (c *Detector) onBadTrial(now time.Duration, t *target, s sample) {
	e := &t.ejection
	t.score += float64(s.weight)
	if e.step > 0 && t.score < relapseScore {
		return
	}
	if e.step > 0 || e.passes >= flapPasses {
		t.everEjected++
		e.nextTrial = now + c.jitter(t, backoff(waitMin, waitMax, t.everEjected))
	} else {
		e.nextTrial = now + c.jitter(t, t.retry())
		e.fails++
	}
	e.step = 0
	e.passes = 0
	e.weight = math.Max(e.weight, 1+float64(s.level))
	t.score = 0
	c.decideAbout(now, Relapse, t, "bad answer during the return")
}

// retry is the wait after a bad trial. It grows while trials stay bad, so that
// a target that recovers soon is noticed and a dead one costs few requests.
func (t *target) retry() time.Duration {
	d := float64(retryMin) * math.Pow(retryGrowth, float64(t.ejection.fails+t.repeats()-1))
	return time.Duration(math.Min(d, float64(retryMax)))
}

func (c *Detector) enterStep(now time.Duration, t *target, step int) {
	e := &t.ejection
	e.step = step
	e.goods = 0
	e.stepEnd = now + stepTime*time.Duration(t.repeats())
	e.weight /= 2
	t.score = 0
}

// advanceReturns ends trials on overdue open requests and completes steps.
func (c *Detector) advanceReturns(now time.Duration) {
	for _, t := range c.order {
		if !t.ejected {
			continue
		}
		c.failOverdue(now, t)
		e := &t.ejection
		if e.step == 0 || now < e.stepEnd || e.goods < stepGoods {
			continue
		}
		if e.step < len(steps) {
			c.enterStep(now, t, e.step+1)
			continue
		}
		c.readmit(now, t)
	}
}

func (c *Detector) failOverdue(now time.Duration, t *target) {
	for _, r := range t.open {
		if !r.trial || r.failed {
			continue
		}
		llr := c.pendingLLR(now, r)
		if llr < strongLLR {
			continue
		}
		r.failed = true
		c.onBadTrial(now, t, c.sampleOf(now, r, OK, llr, c.ageMS(now, r)))
	}
}

func (c *Detector) readmit(now time.Duration, t *target) {
	t.ejected = false
	t.condemned = false
	t.lastReturn = now
	t.level = 0
	t.resetEvidence()
	c.decideAbout(now, Return, t, "trial work was answered well")
}
