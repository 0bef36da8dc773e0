package admission

import (
	"math"
	"time"
)

const (
	// grayFailureRate is the assumed fraction of requests that fail during a
	// gray failure.
	grayFailureRate = 0.75
	// OverdueStdDevs is the number of standard deviations of the log run time by
	// which Request.OverdueAfter exceeds the usual run time. One in fifty
	// successful requests takes longer.
	OverdueStdDevs = 2.05
	// runTimeStdDev is the assumed standard deviation of the log run time.
	runTimeStdDev = 0.5
)

// stallLogLikelihoodRatio returns the log likelihood ratio of a target with a
// gray failure to a healthy one, given a request that has been open for the
// given time.
func stallLogLikelihoodRatio(open, overdueAfter time.Duration) float64 {
	if overdueAfter <= 0 || open <= 0 {
		return 0
	}
	stdDevs := OverdueStdDevs + math.Log(float64(open)/float64(overdueAfter))/runTimeStdDev
	tail := max(0.5*math.Erfc(stdDevs/math.Sqrt2), minTail)
	return math.Log((grayFailureRate + (1-grayFailureRate)*tail) / tail)
}

// minTail is the assumed fraction of successful requests whose run time is unbounded.
const minTail = 0.01

// priorHealthyTime is the time between ejections that is assumed of a target
// before its first one.
const priorHealthyTime = 10 * time.Second

// risk returns the probability that a request sent now fails because of a gray
// failure that is not yet detected. It grows with the time since the newest
// successful request started and with the run time of the open requests.
func (g *Gate) risk(now time.Duration) float64 {
	if !g.detector.Tested() {
		return 1
	}
	logRatio := 0.0
	for _, r := range g.open {
		if r.detector == g.detector && !r.overdue && r.start > g.detector.lastSuccessStart {
			logRatio += stallLogLikelihoodRatio(now-r.start, g.overdueAfter(r.overdueAfter, now))
		}
	}
	since := (now - g.detector.lastSuccessStart).Seconds()
	odds := math.Expm1(since*g.detector.ejectionRate(now)) * math.Exp(logRatio)
	return grayFailureRate * odds / (1 + odds)
}
