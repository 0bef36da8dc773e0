package mesh

import (
	"io"
	"slices"
	"sync"
	"time"

	"hyssopbridge/config/dynamic"
	"hyssopbridge/resultcode"
)

const (
	// runTimesKept is the number of the newest runs of a route that are known.
	runTimesKept = 100
	// minRunTimes is the number of runs from which on the run time of a route
	// counts as known.
	minRunTimes = 4
	// maxCutShare is the fraction of the runs of a route that may last longer than
	// there is time for. A caller that is refused can turn to another node at once;
	// one that is cut learns it late, and can't send an order again.
	maxCutShare = 0.05
)

// runTimes learns how long the runs of each route last, with the transfer of their
// bodies.
type runTimes struct {
	mu      sync.Mutex
	byRoute map[string]*recentRuns
}

// recentRuns holds the newest run times of a route.
type recentRuns struct {
	inOrder []time.Duration // a ring buffer once it holds runTimesKept
	next    int             // the oldest in the ring buffer
	sorted  []time.Duration
}

func (r *recentRuns) add(took time.Duration) {
	if len(r.inOrder) < runTimesKept {
		r.inOrder = append(r.inOrder, took)
	} else {
		at, _ := slices.BinarySearch(r.sorted, r.inOrder[r.next])
		r.sorted = slices.Delete(r.sorted, at, at+1)
		r.inOrder[r.next] = took
		r.next = (r.next + 1) % runTimesKept
	}
	at, _ := slices.BinarySearch(r.sorted, took)
	r.sorted = slices.Insert(r.sorted, at, took)
}

// observe records the time of a run that its target has answered.
func (t *runTimes) observe(route *dynamic.Route, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byRoute == nil {
		t.byRoute = map[string]*recentRuns{}
	}
	r := t.byRoute[route.Name]
	if r == nil {
		if len(t.byRoute) >= maxLatencyRoutes {
			return
		}
		r = &recentRuns{}
		t.byRoute[route.Name] = r
	}
	r.add(took)
}

// likely returns a time that at most maxCutShare of the known runs of the route
// exceed. While few runs are known, the longest of them counts, or the objective
// if that is longer.
func (t *runTimes) likely(route *dynamic.Route) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.byRoute[route.Name]
	if r == nil {
		return route.Objective
	}
	n := len(r.sorted)
	if n < minRunTimes {
		return max(route.Objective, r.sorted[n-1])
	}
	return r.sorted[n-1-int(maxCutShare*float64(n))]
}

// runEstimate returns what is known of the next run of the request.
func (c *call) runEstimate() runEstimate {
	left := c.left()
	likely := c.d.runTimes.likely(c.route) + c.arrivalTime(left)
	return runEstimate{likely: min(likely, left), deadline: c.q.deadline.end}
}

// arrivalTime returns how long the remainder of the request's body probably takes
// to arrive, and at most the time left.
func (c *call) arrivalTime(left time.Duration) time.Duration {
	switch {
	case c.q.rest == nil:
		return 0
	case c.q.restLen < 0 || len(c.q.body) == 0:
		return left
	}
	return time.Duration(min(float64(c.q.firstPartTime)*float64(c.q.restLen)/float64(len(c.q.body)), float64(left)))
}

// mayEnd reports whether a run that is sent now can end before this process does.
func (c *call) mayEnd() bool { return !c.d.shutdown.hasBegun() || c.d.shutdown.allows(c.runEstimate()) }

func errCannotEnd() error {
	return notRun(resultcode.NodeDraining, "this node stops before the request would end")
}

// observeRunTime records the run time when the response has ended.
func (c *call) observeRunTime(resp *response, start time.Time) {
	observe := func() { c.d.runTimes.observe(c.route, time.Since(start)) }
	if resp.rest == nil {
		observe()
		return
	}
	resp.rest = &timedBody{resp.rest, observe}
}

// timedBody reports when a streamed response has been read to its end.
type timedBody struct {
	io.ReadCloser
	ended func()
}

// Read implements io.Reader.
func (b *timedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.ended()
	}
	return n, err
}
