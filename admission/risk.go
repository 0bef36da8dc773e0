package admission

import (
	"math"
	"time"
)

const (
	// grayFails is the part of its requests that a gray target is taken to fail.
	grayFails = 0.75
	// OverdueStdDevs is the number of deviations of the logarithm by which
	// Request.Overdue exceeds the usual run time. One in fifty good answers takes
	// longer.
	OverdueStdDevs = 2.05
	// runDev is the assumed deviation of the logarithm of run times.
	runDev = 0.5
)

// silence returns the logarithm of the likelihood ratio between a target that
// has stopped to answer and a good one, given a request that is still open.
func silence(open, overdue time.Duration) float64 {
	if overdue <= 0 || open <= 0 {
		return 0
	}
	devs := OverdueStdDevs + math.Log(float64(open)/float64(overdue))/runDev
	longer := max(0.5*math.Erfc(devs/math.Sqrt2), minLonger)
	return math.Log((grayFails + (1-grayFails)*longer) / longer)
}

// minLonger is the part of good answers that take any time.
const minLonger = 0.01

// assumedGoodTime is the time between two gray phases that is assumed of a
// target before it has had one.
const assumedGoodTime = 10 * time.Second

// risk returns the chance that a request which is sent now fails because the
// target has turned gray unnoticed: since the start of its newest good request,
// and as its open requests suggest.
func (g *Gate) risk(now time.Duration) float64 {
	if !g.judge.Tested() {
		return 1
	}
	sum := 0.0
	for _, t := range g.open {
		if t.judge == g.judge && !t.late && t.start > g.judge.goodStart {
			sum += silence(now-t.start, g.overdueAfter(t.overdueAfter, now))
		}
	}
	since := (now - g.judge.goodStart).Seconds()
	odds := math.Expm1(since*g.judge.onsetRate(now)) * math.Exp(sum)
	return grayFails * odds / (1 + odds)
}
