package mesh

import (
	"math"
	"time"
)

// callStats are the sums from which the rates are estimated at which runs call a
// service. They begin with the first request for it, so that what runs did before
// they called it does not count. The sums of all hosts of a calling service add up.
type callStats struct {
	// exposure[s][t] is the integral over time of n(s)*n(t)/(n+1) in seconds, where
	// n(s) runs of kind s and n runs in total are active, and n(clients) is 1.
	exposure [numOrigins][numOrigins]float64
	finished [numSources]float64 // runs that made their calls: they succeeded, or failed because of one
	// requests[s] is the sum of n(s)/(n+1) over all requests.
	requests perOrigin
}

// perOrigin holds a number for each kind of run and one for the other clients on
// the host.
type perOrigin [numOrigins]float64

const (
	clients    = numSources // index of the other clients
	numOrigins = numSources + 1
)

const (
	// rateStdErrors is how many standard errors of Poisson arrivals an estimated
	// rate may be off. A run that makes two calls at once doubles the variance.
	rateStdErrors = 3
	// priorExposure is the exposure in seconds, and priorRequests the number of
	// requests, that are assumed before any were observed. Without observations, any
	// kind of run may make all requests.
	priorExposure = 0.5
	priorRequests = 1
	// minRequests is the number of requests of all hosts below which a service is
	// forgotten.
	minRequests = 0.01
	// minRate is the rate that even an origin is assumed to have of which no request
	// is known, so that a request during such runs alone is attributed to them.
	minRate = 1e-3
)

// origins returns how many requests per second each origin makes at a rate of 1.
func origins(active [numSources]float64) perOrigin {
	return perOrigin{active[idempotentRuns], active[nonIdempotentRuns], 1}
}

func (o perOrigin) total() float64 { return o[idempotentRuns] + o[nonIdempotentRuns] + o[clients] }

// add adds other sums, multiplied by a factor.
func (c *callStats) add(o callStats, factor float64) {
	for s := range numOrigins {
		for t := range numOrigins {
			c.exposure[s][t] += factor * o.exposure[s][t]
		}
		c.requests[s] += factor * o.requests[s]
	}
	for s := range numSources {
		c.finished[s] += factor * o.finished[s]
	}
}

// addExposure adds a time in which runs were active.
func (c *callStats) addExposure(elapsed time.Duration, active [numSources]float64) {
	n := origins(active)
	for s := range numOrigins {
		for t := range numOrigins {
			c.exposure[s][t] += elapsed.Seconds() * n[s] * n[t] / n.total()
		}
	}
}

// addRequest adds a request that was made while runs were active.
func (c *callStats) addRequest(active [numSources]float64) {
	n := origins(active)
	for s := range numOrigins {
		c.requests[s] += n[s] / n.total()
	}
}

// fit returns the least-squares fit of the requests to the active runs and the
// other clients, in which an observation weighs 1/(n+1), and the standard errors.
// seconds are the total times of the runs of each kind, and of the observation.
func (c *callStats) fit() (rates, stdErrors, seconds perOrigin) {
	const i, n = idempotentRuns, nonIdempotentRuns
	m := c.exposure
	for s := range numOrigins {
		m[s][s] += priorExposure
	}
	for s := range numOrigins {
		for t := range numOrigins {
			seconds[s] += m[s][t]
		}
	}
	cofactor := func(s, t callSource) float64 {
		s1, s2, t1, t2 := (s+1)%numOrigins, (s+2)%numOrigins, (t+1)%numOrigins, (t+2)%numOrigins
		return m[s1][t1]*m[s2][t2] - m[s1][t2]*m[s2][t1]
	}
	determinant := m[i][i]*cofactor(i, i) + m[i][n]*cofactor(i, n) + m[i][clients]*cofactor(i, clients)
	// It is less only for sums that no host observed.
	determinant = max(determinant, priorExposure*priorExposure*priorExposure)
	mean := (c.requests.total() + priorRequests) / seconds.total()
	for s := range numOrigins {
		for t := range numOrigins {
			rates[s] += c.requests[t] * cofactor(t, s) / determinant
		}
		// No fit tells a rate better than the number of its own requests does.
		ownRequests := (max(0, rates[s])*seconds[s] + priorRequests) / (seconds[s] * seconds[s])
		stdErrors[s] = math.Sqrt(max(ownRequests, mean*cofactor(s, s)/determinant))
	}
	return rates, stdErrors, seconds
}

// mostBy returns the rates if one kind of run makes as many of the requests as the
// observations allow. The others make the rest, in proportion to their estimates.
func (c *callStats) mostBy(s callSource) (rates, seconds perOrigin) {
	estimated, stdErrors, seconds := c.fit()
	requests := c.requests.total() + priorRequests
	rates[s] = min(max(0, estimated[s])+rateStdErrors*stdErrors[s], requests/seconds[s])
	rest := 0.0
	for t := range numOrigins {
		if t != s {
			rates[t] = max(minRate, estimated[t])
			rest += rates[t] * seconds[t]
		}
	}
	for t := range numOrigins {
		if t != s {
			rates[t] *= (requests - rates[s]*seconds[s]) / rest
		}
	}
	return rates, seconds
}

// retryShare returns the largest likely probability that a request for the service
// was made by a retried run, given the active runs and how many of them are
// retried.
func (c *callStats) retryShare(active, retried [numSources]float64) float64 {
	most := 0.0
	for s := range numSources {
		rates, _ := c.mostBy(s)
		byRetries, all := 0.0, 0.0
		for t, n := range origins(active) {
			rate := max(minRate, rates[t])
			all += rate * n
			if t < int(numSources) {
				byRetries += rate * retried[t]
			}
		}
		most = max(most, byRetries/all)
	}
	return most
}

// callsPerRun returns the largest likely mean number of calls that a run makes.
func (c *callStats) callsPerRun(s callSource) float64 {
	rates, seconds := c.mostBy(s)
	return rates[s] * seconds[s] / (1 + c.finished[s])
}

// calls returns the likely number of calls that the finished runs of other sums
// made.
func (c *callStats) calls(of callStats) float64 {
	calls := 0.0
	for s := range numSources {
		calls += c.callsPerRun(s) * of.finished[s]
	}
	return calls
}
