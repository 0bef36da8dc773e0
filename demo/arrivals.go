package demo

import (
	"sync"
	"time"
)

// arrivals records when requests reached a target.
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
	// ejectedShare is the part of its usual work below which a target counts as
	// ejected. Trial work of a returning target stays below it.
	ejectedShare = 0.3
	rateStep     = 50 * time.Millisecond
)

// detection returns the time from `from` until the target received less than
// ejectedShare of its usual work; ok is false if that did not happen before to.
func (a *arrivals) detection(from, to time.Time) (took time.Duration, ok bool) {
	usual := float64(a.between(from.Add(-5*rateWindow), from)) / 5
	for t := from; !t.Add(rateWindow).After(to); t = t.Add(rateStep) {
		if float64(a.between(t, t.Add(rateWindow))) < ejectedShare*usual {
			return t.Sub(from), true
		}
	}
	return 0, false
}

// falseEjections counts the spans of at least quiet without work in [from, to).
func (a *arrivals) falseEjections(from, to time.Time, quiet time.Duration) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	last := from
	for _, t := range append(append([]time.Time(nil), a.times...), to) {
		if t.Before(from) || t.After(to) {
			continue
		}
		if t.Sub(last) >= quiet {
			n++
		}
		last = t
	}
	return n
}
