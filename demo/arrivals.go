package demo

import (
	"sync"
	"time"
)

// arrivals records the times at which requests reached a target.
type arrivals struct {
	mu    sync.Mutex
	times []time.Time
}

func (a *arrivals) add(t time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.times = append(a.times, t)
}

// between counts the arrivals in [from, to).
func (a *arrivals) between(from, to time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, t := range a.times {
		if !t.Before(from) && t.Before(to) {
			n++
		}
	}
	return n
}

const (
	rateWindow = 400 * time.Millisecond
	// ejectedFraction is the fraction of its usual request rate below which a
	// target counts as ejected. Trial requests of a recovering target stay below.
	ejectedFraction = 0.3
	rateStep        = 50 * time.Millisecond
)

// detection returns the time after from at which the request rate of the target
// fell below ejectedFraction of its usual rate. ok is false if it did not before
// to.
func (a *arrivals) detection(from, to time.Time) (took time.Duration, ok bool) {
	usual := float64(a.between(from.Add(-5*rateWindow), from)) / 5
	for t := from; !t.Add(rateWindow).After(to); t = t.Add(rateStep) {
		if float64(a.between(t, t.Add(rateWindow))) < ejectedFraction*usual {
			return t.Sub(from), true
		}
	}
	return 0, false
}

// falseEjections counts the periods of at least idle without requests in
// [from, to).
func (a *arrivals) falseEjections(from, to time.Time, idle time.Duration) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	last := from
	for _, t := range append(append([]time.Time(nil), a.times...), to) {
		if t.Before(from) || t.After(to) {
			continue
		}
		if t.Sub(last) >= idle {
			n++
		}
		last = t
	}
	return n
}
