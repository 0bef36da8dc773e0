package mesh

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"hyssopbridge/internal/clock"
)

// callPlay feeds calls with runs of two kinds, and with requests of clients.
type callPlay struct {
	clientRate float64 // requests a second of clients on the host, to "other"
	reads      callKind
	orders     callKind
}

type callKind struct {
	rate   float64 // runs a second
	took   time.Duration
	part   float64 // runs that call "called" once, in their middle
	hung   float64 // runs that hang for a second and fail
	repeat float64 // runs that are repeats
}

// play returns the calls that repeats made, the sum of the chances that were
// stated for all calls, and the services that reads are said to call. It tells
// byRun of each call whether a run made it, and the chance stated for that.
func (p callPlay) play(seed uint64, byRun func(made bool, stated float64)) (made, stated float64, called []string) {
	const step, length = 5 * time.Millisecond, 60 * time.Second
	r := rand.New(rand.NewPCG(seed, 2))
	now := time.Duration(0)
	c := &calls{now: func() time.Duration { return now }}
	events := map[time.Duration][]func(){}
	begin := func(k callKind, s source) {
		again := r.Float64() < k.repeat
		run := c.begin(s, again)
		if r.Float64() < k.hung {
			events[now+time.Second] = append(events[now+time.Second], func() { c.end(run, false) })
			return
		}
		if r.Float64() < k.part {
			if again {
				made++
			}
			middle := now + k.took/2
			events[middle] = append(events[middle], func() {
				run, again := c.add("called")
				stated += again
				byRun(true, run)
			})
		}
		events[now+k.took] = append(events[now+k.took], func() { c.end(run, true) })
	}
	for ; now < length; now += step {
		for _, f := range events[now] {
			f()
		}
		delete(events, now)
		if r.Float64() < p.reads.rate*step.Seconds() {
			begin(p.reads, repeatable)
		}
		if r.Float64() < p.orders.rate*step.Seconds() {
			begin(p.orders, singular)
		}
		if r.Float64() < p.clientRate*step.Seconds() {
			run, again := c.add("other")
			stated += again
			byRun(false, run)
		}
	}
	return made, stated, c.called()
}

// Guards against retry budgets that break at a called service because the calls
// of repeats are not counted there, and against budgets that are used up by
// calls of first runs, of orders or of clients.
func TestCallsOfRepeats(t *testing.T) {
	const ms, hosts = time.Millisecond, 20
	for name, c := range map[string]struct {
		play  callPlay
		calls bool // whether reads call
	}{
		"orders call": {callPlay{2, callKind{1, 80 * ms, 0, 0, 0.2}, callKind{4, 320 * ms, 0.7, 0, 0}}, false},
		"reads call":  {callPlay{2, callKind{1.6, 300 * ms, 0.7, 0, 0.2}, callKind{4, 380 * ms, 0, 0, 0}}, true},
		"some hang":   {callPlay{2, callKind{1.6, 300 * ms, 0.7, 0.3, 0.2}, callKind{4, 380 * ms, 0, 0, 0}}, true},
		"both call":   {callPlay{0.5, callKind{2, 300 * ms, 0.7, 0, 0.2}, callKind{2, 300 * ms, 0.7, 0, 0}}, true},
	} {
		all, chances := map[bool]float64{}, map[bool]float64{}
		made, stated, runs, known := 0.0, 0.0, 60*hosts*c.play.reads.rate, 0
		for seed := range uint64(hosts) {
			m, s, called := c.play.play(seed, func(made bool, stated float64) {
				all[made]++
				chances[made] += stated
			})
			made, stated = made+m, stated+s
			if slices.Contains(called, "called") {
				known++
			}
		}
		// The margin of the budget covers a tenth of the repeats, and none of them
		// makes more than one call.
		if all := c.play.reads.repeat * runs; stated < made-0.1*all || stated > all {
			t.Errorf("%s: repeats made %.0f calls, %.0f are stated", name, made, stated)
		}
		if byRuns, byClients := chances[true]/all[true], chances[false]/all[false]; byRuns <= byClients {
			t.Errorf("%s: calls of runs are taken for such with a chance of %.2f, requests of clients with %.2f", name, byRuns, byClients)
		}
		if c.calls && known < hosts {
			t.Errorf("%s: only %d of %d hosts know which service is called", name, known, hosts)
		}
	}
}

// Guards against runs that are lost because a call of theirs was refused early,
// and against clients that are kept waiting as long.
func TestCallsOfTargetsWaitLonger(t *testing.T) {
	route := playRoute("r", "s", true, 300*time.Millisecond, time.Second, 2, 0)
	for _, c := range []struct {
		callOfRun float64
		waited    time.Duration
		want      bool
	}{
		{0.1, 50 * time.Millisecond, false}, {0.1, 200 * time.Millisecond, true},
		{0.9, 200 * time.Millisecond, false}, {0.9, 700 * time.Millisecond, true},
	} {
		q := &request{callOfRun: c.callOfRun, deadline: deadlineIn(time.Second-c.waited, clock.SinceBoot)}
		call := &call{q: q, route: &route, start: time.Now().Add(-c.waited)}
		if got := call.hasWaited(); got != c.want {
			t.Errorf("%+v: has waited long enough %v", c, got)
		}
	}
}

// Guards against runs that a gray target resets and that hide the calls of others.
func TestCallsIgnoreShortRuns(t *testing.T) {
	now := time.Duration(0)
	c := &calls{now: func() time.Duration { return now }}
	run := func(took time.Duration, n int, well bool) {
		r := c.begin(repeatable, false)
		for range n {
			c.add("called")
		}
		now += took
		c.end(r, well)
	}
	for range 4 {
		run(400*time.Millisecond, 2, true)
	}
	before := c.rate(repeatable)
	for range 50 {
		run(time.Millisecond, 0, false)
	}
	if after := c.rate(repeatable); after < 0.95*before {
		t.Errorf("rate %v, after 50 short runs %v", before, after)
	}
}
