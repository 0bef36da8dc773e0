package mesh

import (
	"testing"
	"time"

	"hyssopbridge/admission"
)

// Guards against an estimate that requests which make no calls, such as those
// that a gray target resets, make too low: retries then broke the budget of the
// called service.
func TestCallRateIgnoresShortRuns(t *testing.T) {
	now := time.Duration(0)
	c := &callRate{now: func() time.Duration { return now }}
	c.run(900 * time.Millisecond)
	if got := c.rate(); got != admission.CallsUnknown {
		t.Errorf("rate %v after less than a second of run time", got)
	}
	for range 4 {
		c.run(400 * time.Millisecond)
		c.call()
		c.call()
	}
	before := c.rate()
	for range 50 {
		c.run(time.Millisecond)
	}
	if after := c.rate(); after < 0.95*before {
		t.Errorf("rate %v, after 50 short runs %v", before, after)
	}
}

// Guards against a short route that is charged the calls of a long one, and
// against a table that grows with the number of routes without bound.
func TestRunTimes(t *testing.T) {
	r := &runTimes{byRoute: map[string]time.Duration{}}
	if got := r.mean("new"); got != unknownRunTime {
		t.Errorf("%v for a route without a run", got)
	}
	for range 100 {
		r.observe("short", 2*time.Millisecond)
		r.observe("long", 400*time.Millisecond)
	}
	if s, l := r.mean("short"), r.mean("long"); s > 3*time.Millisecond || l < 390*time.Millisecond {
		t.Errorf("means %v and %v", s, l)
	}
	for i := range 2 * maxRunTimes {
		r.observe(string(rune(i))+"x", time.Millisecond)
	}
	if n := len(r.byRoute); n > maxRunTimes {
		t.Errorf("%d routes are kept", n)
	}
}
