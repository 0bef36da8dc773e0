package admission

import (
	"math"
	"time"
)

const (
	// grayFailureRate is the assumed fraction of requests that fail during a
	// gray failure.
	grayFailureRate = 0.75
	// The rates of a target start from priorTransitions onsets in
	// priorHealthyTime and as many recoveries in priorGrayTime.
	priorTransitions = 2
	priorHealthyTime = 20 * time.Second
	priorGrayTime    = 8 * time.Second
	// maxOdds bounds the odds of a gray failure, so that a long series of equal
	// outcomes does not delay the effect of a change.
	maxOdds = 1e3
)

// healthyRates are the assumed fractions of requests for which a healthy target
// has the outcome.
var healthyRates = [...]float64{ServerError: 0.02, TransportError: 0.002, Timeout: 0.01}

// belief estimates the probability that a target is in a gray failure: one in
// which it fails grayFailureRate of its requests, whatever the kind of failure.
// The target is taken for a Markov chain with two states, healthy and gray, and
// each request shows its state at the time when the request started. Unlike
// counts of successes in a row, the estimate follows from when the requests
// started and from how often this target failed before.
type belief struct {
	odds    float64 // of a gray failure, at the time of updated
	updated time.Duration
}

// rates are the transitions per second between the states of a target.
type rates struct {
	onset    float64 // healthy to gray
	recovery float64 // gray to healthy
}

// stationary returns the fraction of the time for which the target is gray.
func (r rates) stationary() float64 { return r.onset / (r.onset + r.recovery) }

// memory returns how much of the state a time ago is left in the present one.
func (r rates) memory(age time.Duration) float64 {
	return math.Exp(-(r.onset + r.recovery) * age.Seconds())
}

// at returns the odds of a gray failure at a time without new outcomes.
func (b belief) at(now time.Duration, r rates) float64 {
	p := b.odds / (1 + b.odds)
	p = r.stationary() + (p-r.stationary())*r.memory(max(0, now-b.updated))
	return p / (1 - p)
}

// update applies the outcome of a request that started at start. gray and
// healthy are the likelihoods of the outcome in each state.
func (b *belief) update(gray, healthy float64, start, now time.Duration, r rates) {
	b.odds = min(max(b.at(now, r)*likelihoodRatio(gray, healthy, now-start, r), 1/maxOdds), maxOdds)
	b.updated = now
}

// likelihoodRatio returns the likelihood ratio of the present states, gray to
// healthy, given an outcome that depends on the state at an earlier time.
func likelihoodRatio(gray, healthy float64, age time.Duration, r rates) float64 {
	wasGrayIfGray := r.stationary() + (1-r.stationary())*r.memory(age)
	wasGrayIfHealthy := r.stationary() * (1 - r.memory(age))
	return (wasGrayIfGray*gray + (1-wasGrayIfGray)*healthy) / (wasGrayIfHealthy*gray + (1-wasGrayIfHealthy)*healthy)
}

// outcomeLikelihoods returns the likelihoods of an outcome of a gray and of a
// healthy target. ok is false if the outcome shows nothing.
func outcomeLikelihoods(o Outcome) (gray, healthy float64, ok bool) {
	switch o {
	case Success:
		return 1 - grayFailureRate, 1, true
	case ServerError, TransportError, Timeout:
		return grayFailureRate, healthyRates[o], true
	}
	return 0, 0, false
}

// observeState applies an outcome to the belief. A success of a request that
// started before the newest failed one shows nothing about the target's state
// after that.
func (d *Detector) observeState(o Outcome, start, now time.Duration) {
	gray, healthy, ok := outcomeLikelihoods(o)
	if !ok || o == Success && start < d.lastFailureStart {
		return
	}
	if o != Success {
		d.lastFailureStart = max(d.lastFailureStart, start)
	}
	d.belief.update(gray, healthy, start, now, d.rates(now))
}

// rates returns the estimated transitions per second of this target, from its
// ejections.
func (d *Detector) rates(now time.Duration) rates {
	healthy, gray := d.healthyFor, d.ejectedFor
	recoveries := d.ejections
	if d.needed == 0 {
		healthy += now - d.stateSince
	} else {
		gray += now - d.stateSince
		recoveries--
	}
	return rates{
		onset:    (priorTransitions + float64(d.ejections)) / (priorHealthyTime + healthy).Seconds(),
		recovery: (priorTransitions + float64(recoveries)) / (priorGrayTime + gray).Seconds(),
	}
}
