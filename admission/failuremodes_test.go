package admission

import (
	"context"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// manner is a way in which a gray target fails 75% of its requests.
type manner string

// Manners of failing.
const (
	byReset   manner = "reset"
	byError   manner = "error"
	bySilence manner = "silence"
	bySlow    manner = "ten times slower"
)

const (
	playFailing = 0.75
	playOrders  = 0.7 // part of the requests that must not repeat
	playPhase   = 10  // a phase lasts this many mean run times or 3 s, whichever is longer
)

// play sends requests to one gate in virtual time, while its target alternates
// between good and gray phases.
type play struct {
	rnd    *rand.Rand
	gate   *Gate
	clock  *clock
	manner manner
	work   time.Duration
	rate   float64 // requests a second
	open   []*played

	onsets, lost, offered int
	withheld              int // good phases: orders refused
	gray                  bool
}

type played struct {
	ticket *Reservation
	order  bool
	end    time.Duration
	late   time.Duration
	how    Outcome
}

// run plays phases and returns itself with its counts.
func (p *play) run(phases int) *play {
	phase := max(3*time.Second, playPhase*p.work)
	for range phases {
		for _, gray := range []bool{false, true} {
			p.gray = gray
			if gray {
				p.onsets++
			}
			until := p.clock.get() + phase
			for p.clock.get() < until {
				p.advance(p.clock.get() + time.Duration(p.rnd.ExpFloat64()/p.rate*float64(time.Second)))
				p.arrive()
			}
		}
	}
	return p
}

// advance ends requests and marks those that are overdue up to a time.
func (p *play) advance(to time.Duration) {
	for {
		next, at := -1, to
		isLate := false
		for i, r := range p.open {
			if r.late > 0 && r.late < at {
				next, at, isLate = i, r.late, true
			}
			if r.end < at {
				next, at, isLate = i, r.end, false
			}
		}
		p.clock.add(max(0, at-p.clock.get()))
		if next < 0 {
			return
		}
		r := p.open[next]
		if isLate {
			r.late = 0
			r.ticket.beLate()
			if !r.order {
				r.end = min(r.end, at+p.work) // a second attempt answers first
				if r.how == Timeout {
					r.how = Neutral
				}
			}
			continue
		}
		p.open = append(p.open[:next], p.open[next+1:]...)
		r.ticket.Release(r.how)
	}
}

func (p *play) arrive() {
	order := p.rnd.Float64() < playOrders
	req := Request{Target: "t", Service: "s", Zone: "z", Idempotent: !order, MaxRisk: 0.35, OverdueAfter: p.overdue()}
	ticket, _ := p.gate.Reserve(context.Background(), req)
	if !p.gray && order {
		p.offered++
	}
	if ticket == nil {
		if !p.gray && order {
			p.withheld++
		}
		return
	}
	ticket.Claim()
	ticket.overdue.Stop() // virtual time instead
	now := p.clock.get()
	took := time.Duration(float64(p.work) * math.Exp(0.5*p.rnd.NormFloat64()-0.125))
	r := &played{ticket: ticket, order: order, end: now + took, how: Success}
	if p.gray && p.rnd.Float64() < playFailing {
		p.spoil(r, now, took)
	}
	if late := now + p.gate.overdueAfter(req.OverdueAfter, now); late < r.end {
		r.late = late
	}
	p.open = append(p.open, r)
}

func (p *play) spoil(r *played, now, took time.Duration) {
	switch p.manner {
	case byReset:
		r.end, r.how = now+2*ms, TransportError
	case byError:
		r.end, r.how = now+took/4, ServerError
	case bySilence:
		r.end, r.how = now+8*p.work, Timeout
	case bySlow:
		r.end = now + 10*took
	}
	if r.order {
		p.lost++
	}
}

func (p *play) overdue() time.Duration {
	return time.Duration(float64(p.work) * math.Exp(OverdueStdDevs*runDev-0.125))
}

// Guards against a judge that fits one deployment: whatever the manner of
// failing, the run time and the rate, a gray target costs few orders for each
// onset beyond those that arrive before anything can be known, and a good one
// is used.
func TestMannersOfFailing(t *testing.T) {
	t.Log("| manner | work | requests/s | orders hit an onset | without a judge | withheld while good |")
	for _, work := range []time.Duration{20 * ms, 400 * ms, 3 * time.Second} {
		for _, rate := range []float64{0.3, 1, 5} { // of one target, with 10 in the service
			for _, m := range []manner{byReset, byError, bySilence, bySlow} {
				c := &clock{now: time.Second}
				g := NewGate(c.get, DefaultDetectorConfig(), nil)
				g.SetTarget(Target{ID: "t", Service: "s", Slots: 50, Phase: Serving})
				p := &play{rnd: rand.New(rand.NewPCG(3, 4)), gate: g, clock: c, manner: m, work: work, rate: rate}
				p.run(60)
				lost := float64(p.lost) / float64(p.onsets)
				phase := max(3*time.Second, playPhase*work).Seconds()
				unjudged := rate * playOrders * playFailing * phase
				withheld := float64(p.withheld) / float64(p.offered)
				t.Logf("| %s | %v | %g | %.2f | %.1f | %.0f%% |", m, work, rate, lost, unjudged, 100*withheld)
				if m == bySlow {
					continue // its orders end well, so none is lost
				}
				// The first failure, a second one that confirms an error answer and
				// one of an early return, besides what arrives until a request can
				// be overdue.
				known := 1.5*p.overdue().Seconds() + 0.1
				if bound := 3 + rate*playOrders*playFailing*known*1.5; lost > bound {
					t.Errorf("%s, work %v, %g/s: %.2f orders lost an onset, at most %.2f expected", m, work, rate, lost, bound)
				}
			}
		}
	}
}
