package admission

import (
	"math"
	"time"
)

const (
	// OverdueStdDevs is the number of standard deviations of the log run time by
	// which Request.OverdueAfter exceeds the usual run time. One in fifty
	// successful requests takes longer.
	OverdueStdDevs = 2.05
	// runTimeStdDev is the assumed standard deviation of the log run time.
	runTimeStdDev = 0.5
	// minTail is the assumed fraction of successful requests whose run time is
	// unbounded.
	minTail = 0.01
	// maxIdleRisk is the highest risk of a target that is offered any request
	// because it has had none for long.
	maxIdleRisk = 0.5
)

// stallLikelihoods returns the likelihoods that a request of a gray and of a
// healthy target is open for the given time.
func stallLikelihoods(open, overdueAfter time.Duration) (gray, healthy float64) {
	if overdueAfter <= 0 || open <= 0 {
		return 1, 1
	}
	stdDevs := OverdueStdDevs + math.Log(float64(open)/float64(overdueAfter))/runTimeStdDev
	tail := max(0.5*math.Erfc(stdDevs/math.Sqrt2), minTail)
	return grayFailureRate + (1-grayFailureRate)*tail, tail
}

// risk returns the probability that a request sent now fails because of a gray
// failure. It is 1 for a target without any success.
func (g *Gate) risk(now time.Duration) float64 {
	if !g.detector.Tested() {
		return 1
	}
	return g.grayRisk(now)
}

// grayRisk returns the same probability without regard to whether a request has
// succeeded. It takes the open requests into account, by how long they have been
// open.
func (g *Gate) grayRisk(now time.Duration) float64 {
	r := g.detector.rates(now)
	odds := g.detector.belief.at(now, r)
	for _, x := range g.open {
		if x.detector == g.detector {
			gray, healthy := stallLikelihoods(now-x.start, g.overdueAfter(x.overdueAfter, now))
			odds *= likelihoodRatio(gray, healthy, now-x.start, r)
		}
	}
	return grayFailureRate * odds / (1 + odds)
}

// observeStall applies to the estimate that a request was canceled after it had
// been open for some time.
func (g *Gate) observeStall(x *Reservation, now time.Duration) {
	gray, healthy := stallLikelihoods(now-x.start, g.overdueAfter(x.overdueAfter, now))
	x.detector.belief.update(gray, healthy, x.start, now, x.detector.rates(now))
}
