package mesh

import (
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"hyssopbridge/config/dynamic"
	"hyssopbridge/resultcode"
)

const (
	// defaultRetryAfter is the wait suggested to a caller whose request was
	// refused, if nothing is known of the service's queues. In this time most
	// ejected targets return.
	defaultRetryAfter = 300 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the suggested wait. Failures and loads
	// last for seconds, so what is known now says little of later times.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 20 * time.Second
)

// refusedError is the error of a request for which the dispatcher got no
// response, with the time after which its caller may try again.
type refusedError struct {
	err        error
	retryAfter time.Duration
}

// Error implements error.
func (e refusedError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e refusedError) Unwrap() error { return e.err }

// retryAfterOf returns the wait to suggest to the caller of a failed request.
func retryAfterOf(err error) time.Duration {
	var refused refusedError
	if errors.As(err, &refused) {
		return refused.retryAfter
	}
	return defaultRetryAfter
}

// returnTimes holds the time at which the caller that was refused last was told to
// come back, by service, for one cause of refusal.
type returnTimes struct {
	mu        sync.Mutex
	byService map[string]time.Time
}

// next returns after what time the next caller may come back: after wait, and a
// mean time of gap behind the one before, if that has not come back yet, up to
// maxRetryAfter. Random parts keep the callers of different nodes from returning
// together.
func (r *returnTimes) next(service string, wait, gap time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byService == nil {
		r.byService = map[string]time.Time{}
	}
	now := time.Now()
	wait = max(wait, minRetryAfter)
	wait += upTo(min(wait, 2*gap))
	if behind := r.byService[service].Sub(now); behind > 0 {
		wait = max(wait, behind+upTo(2*gap))
	}
	wait = min(wait, maxRetryAfter)
	r.byService[service] = now.Add(wait)
	return wait
}

// upTo returns a random time of at most d.
func upTo(d time.Duration) time.Duration { return time.Duration(rand.Int64N(int64(d) + 1)) }

// searches counts the requests of this node that look for a target of a service
// without a place in line at a host: while no target is healthy, that is where a
// service's requests wait.
type searches struct {
	mu        sync.Mutex
	byService map[string]int
}

// add changes the count of a service.
func (s *searches) add(service string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byService == nil {
		s.byService = map[string]int{}
	}
	s.byService[service] += n
}

func (s *searches) count(service string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byService[service]
}

// acceptance learns for each service what fraction of the requests that reach a
// target it accepts; it sheds the others.
type acceptance struct {
	mu     sync.Mutex
	shedBy map[string]float64 // moving average of the fraction that is shed
}

const (
	// acceptanceWeight is the weight of one request in acceptance.shedBy.
	acceptanceWeight = 0.1
	// likelyAccepted is the fraction of accepted requests from which on callers come
	// back at once. In simulations more than half of them were served then, with
	// the budget that is there for some; at 0.15, less than half were.
	likelyAccepted = 1.0 / 3
)

// maxFailureWaitShare is the fraction of the objective for which a caller that was
// refused because of a failure is sent away, or twice that at random: when the
// failure ends is not known, and targets return within seconds of it.
const maxFailureWaitShare = 0.25

// record counts a request that ended with an error, or nil. It counts only if it
// reached a target of the service.
func (a *acceptance) record(service string, err error) {
	shed := false
	if err != nil {
		e := asResultError(err)
		shed = e.Code == resultcode.ShedByTarget
		if e.Ran == resultcode.RanNo && !shed {
			return
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.shedBy == nil {
		a.shedBy = map[string]float64{}
	}
	now := 0.0
	if shed {
		now = 1
	}
	a.shedBy[service] += acceptanceWeight * (now - a.shedBy[service])
}

// share returns the fraction of requests that targets of the service accept.
func (a *acceptance) share(service string) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return 1 - a.shedBy[service]
}

// retryAfter returns when a caller whose request was refused for a reason may try
// again. Only refused callers that can still come back take a place among those that
// return.
func (d *dispatcher) retryAfter(route *dynamic.Route, service string, reason error) time.Duration {
	e := asResultError(reason)
	if e.Ran != resultcode.RanNo || e.Code == resultcode.CallerGone || e.Code == resultcode.DeadlineTooShort {
		return defaultRetryAfter
	}
	if e.Code == resultcode.NodeDraining {
		return d.shutdown.retryAfter()
	}
	return d.timeOfReturn(route, service, e.Code)
}

// timeOfReturn returns after what time the retry budget, or a target of the
// service, is expected to have room for a caller that was refused for a reason,
// behind the callers that this node has sent away before. The first attempt of a
// request that comes back needs no budget, so the budget counts only where targets
// shed most requests. When they stop shedding is not known, so a caller waits for
// budget at most maxFailureWaitShare of its objective.
func (d *dispatcher) timeOfReturn(route *dynamic.Route, service string, reason resultcode.Code) time.Duration {
	room, ok := d.view.RoomFor(service, d.latencies.expected(route), d.searches.count(service))
	if !ok {
		return defaultRetryAfter + upTo(defaultRetryAfter)
	}
	most := time.Duration(maxFailureWaitShare * float64(route.Objective))
	if reason == resultcode.RetryBudgetSpent && d.acceptance.share(service) < likelyAccepted {
		wait := min(d.budgetQueues.timeToBudget(service), most)
		return d.budgetReturns.next(service, max(wait, room.Wait), room.Gap)
	}
	wait := d.slotReturns.next(service, room.Wait, room.Gap)
	if room.Failing {
		wait = min(wait, most+upTo(most))
	}
	return wait
}
