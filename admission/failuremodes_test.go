package admission

import (
	"context"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// failureMode is the way in which a gray failure affects 75% of the requests.
type failureMode string

// Failure modes.
const (
	resets       failureMode = "reset"
	serverErrors failureMode = "server error"
	hangs        failureMode = "hang"
	slowdown     failureMode = "ten times slower"
)

const (
	simFailureRate        = 0.75
	simNonIdempotentShare = 0.7 // fraction of the requests that are non-idempotent
	simPhaseRunTimes      = 10  // a phase lasts for this many mean run times or 3 s, whichever is longer
)

// simulation sends requests to one gate in virtual time, while its target
// alternates between healthy phases and gray failures.
type simulation struct {
	rand        *rand.Rand
	gate        *Gate
	clock       *clock
	mode        failureMode
	meanRunTime time.Duration
	rate        float64 // requests a second
	open        []*simRequest

	failureOnsets, failed, offered int
	withheld                       int // non-idempotent requests refused while healthy
	failing                        bool
}

type simRequest struct {
	reservation   *Reservation
	nonIdempotent bool
	end           time.Duration
	overdueAt     time.Duration
	outcome       Outcome
}

// run simulates pairs of a healthy and a failing phase and returns the simulation.
func (s *simulation) run(phases int) *simulation {
	phase := max(3*time.Second, simPhaseRunTimes*s.meanRunTime)
	for range phases {
		for _, failing := range []bool{false, true} {
			s.failing = failing
			if failing {
				s.failureOnsets++
			}
			until := s.clock.get() + phase
			for s.clock.get() < until {
				s.advance(s.clock.get() + time.Duration(s.rand.ExpFloat64()/s.rate*float64(time.Second)))
				s.arrive()
			}
		}
	}
	return s
}

// advance ends requests, and marks those that become overdue, up to a time.
func (s *simulation) advance(to time.Duration) {
	for {
		next, at := -1, to
		isOverdue := false
		for i, r := range s.open {
			if r.overdueAt > 0 && r.overdueAt < at {
				next, at, isOverdue = i, r.overdueAt, true
			}
			if r.end < at {
				next, at, isOverdue = i, r.end, false
			}
		}
		s.clock.add(max(0, at-s.clock.get()))
		if next < 0 {
			return
		}
		r := s.open[next]
		if isOverdue {
			r.overdueAt = 0
			r.reservation.markOverdue()
			if !r.nonIdempotent {
				r.end = min(r.end, at+s.meanRunTime) // a hedge succeeds first
				if r.outcome == Timeout {
					r.outcome = Neutral
				}
			}
			continue
		}
		s.open = append(s.open[:next], s.open[next+1:]...)
		r.reservation.Release(r.outcome)
	}
}

func (s *simulation) arrive() {
	nonIdempotent := s.rand.Float64() < simNonIdempotentShare
	req := Request{Target: "t", Service: "s", Zone: "z", Idempotent: !nonIdempotent, MaxRisk: 0.35, OverdueAfter: s.overdueAfter()}
	res, _ := s.gate.Reserve(context.Background(), req)
	if !s.failing && nonIdempotent {
		s.offered++
	}
	if res == nil {
		if !s.failing && nonIdempotent {
			s.withheld++
		}
		return
	}
	res.Claim()
	res.overdueTimer.Stop() // advance does this in virtual time
	now := s.clock.get()
	took := time.Duration(float64(s.meanRunTime) * math.Exp(0.5*s.rand.NormFloat64()-0.125))
	r := &simRequest{reservation: res, nonIdempotent: nonIdempotent, end: now + took, outcome: Success}
	if s.failing && s.rand.Float64() < simFailureRate {
		s.injectFailure(r, now, took)
	}
	if overdueAt := now + s.gate.overdueAfter(req.OverdueAfter, now); overdueAt < r.end {
		r.overdueAt = overdueAt
	}
	s.open = append(s.open, r)
}

func (s *simulation) injectFailure(r *simRequest, now, took time.Duration) {
	switch s.mode {
	case resets:
		r.end, r.outcome = now+2*ms, TransportError
	case serverErrors:
		r.end, r.outcome = now+took/4, ServerError
	case hangs:
		r.end, r.outcome = now+8*s.meanRunTime, Timeout
	case slowdown:
		r.end = now + 10*took
	}
	if r.nonIdempotent {
		s.failed++
	}
}

func (s *simulation) overdueAfter() time.Duration {
	return time.Duration(float64(s.meanRunTime) * math.Exp(OverdueStdDevs*runTimeStdDev-0.125))
}

// Guards against a failure detector that is tuned to one deployment: for any
// failure mode, run time and request rate, each onset of a gray failure costs few
// non-idempotent requests beyond those that arrive before it can be detected.
// The log also shows how many requests are refused while the target is healthy.
func TestFailureModes(t *testing.T) {
	t.Log("| failure mode | run time | requests/s | non-idempotent requests failed per onset | without a detector | withheld while healthy |")
	for _, runTime := range []time.Duration{20 * ms, 400 * ms, 3 * time.Second} {
		for _, rate := range []float64{0.3, 1, 5} { // at one of the 10 targets of a service
			for _, mode := range []failureMode{resets, serverErrors, hangs, slowdown} {
				c := &clock{now: time.Second}
				g := NewGate(c.get, DefaultDetectorConfig(), nil)
				g.SetTarget(Target{ID: "t", Service: "s", Slots: 50, Phase: Serving})
				s := &simulation{rand: rand.New(rand.NewPCG(3, 4)), gate: g, clock: c, mode: mode, meanRunTime: runTime, rate: rate}
				s.run(60)
				lost := float64(s.failed) / float64(s.failureOnsets)
				phase := max(3*time.Second, simPhaseRunTimes*runTime).Seconds()
				undetected := rate * simNonIdempotentShare * simFailureRate * phase
				withheld := float64(s.withheld) / float64(s.offered)
				t.Logf("| %s | %v | %g | %.2f | %.1f | %.0f%% |", mode, runTime, rate, lost, undetected, 100*withheld)
				if mode == slowdown {
					continue // its requests succeed late, so none is lost
				}
				// One failure starts the detection, a second one confirms a server
				// error, and a third one follows an early return. The other requests
				// arrive before the first one can be overdue.
				detectionTime := 1.5*s.overdueAfter().Seconds() + 0.1
				if bound := 3 + rate*simNonIdempotentShare*simFailureRate*detectionTime*1.5; lost > bound {
					t.Errorf("%s, run time %v, %g/s: %.2f non-idempotent requests lost per onset, want at most %.2f", mode, runTime, rate, lost, bound)
				}
			}
		}
	}
}
