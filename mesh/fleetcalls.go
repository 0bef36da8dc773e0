package mesh

import "sync"

// fleetCalls adds up what the other hosts observed of the calls of runs. The
// targets of a service have the same routes and make the same calls, so together
// their hosts learn within seconds what one would not learn within a window of the
// retry budget.
type fleetCalls struct {
	mu     sync.Mutex
	byHost map[string]hostCalls
	// called and callers hold the same totals: by calling and called service, and
	// the other way round.
	called, callers map[string]map[string]*callTotal
}

// hostCalls are the calls of the runs at one host's target.
type hostCalls struct {
	service string
	stats   map[string]callStats // by called service
}

// callTotal are the calls of one service to another.
type callTotal struct {
	hosts int
	stats callStats
}

func newFleetCalls() *fleetCalls {
	return &fleetCalls{byHost: map[string]hostCalls{}, called: map[string]map[string]*callTotal{}, callers: map[string]map[string]*callTotal{}}
}

// update replaces what a host observed at its target of a service.
func (f *fleetCalls) update(host, service string, stats map[string]callStats) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.removeHost(host)
	if service != "" && len(stats) > 0 {
		h := hostCalls{service, stats}
		f.byHost[host] = h
		f.count(h, 1)
	}
}

// remove forgets what a host observed.
func (f *fleetCalls) remove(host string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.removeHost(host)
}

func (f *fleetCalls) removeHost(host string) {
	if h, ok := f.byHost[host]; ok {
		delete(f.byHost, host)
		f.count(h, -1)
	}
}

// count adds the sums of a host to the totals, or takes them off if sign is -1.
func (f *fleetCalls) count(h hostCalls, sign int) {
	for called, stats := range h.stats {
		total := f.called[h.service][called]
		if total == nil {
			total = &callTotal{}
			setIn(f.called, h.service, called, total)
			setIn(f.callers, called, h.service, total)
		}
		total.hosts += sign
		total.stats.add(stats, float64(sign))
		if total.hosts == 0 {
			deleteIn(f.called, h.service, called)
			deleteIn(f.callers, called, h.service)
		}
	}
}

func setIn(m map[string]map[string]*callTotal, a, b string, total *callTotal) {
	if m[a] == nil {
		m[a] = map[string]*callTotal{}
	}
	m[a][b] = total
}

func deleteIn(m map[string]map[string]*callTotal, a, b string) {
	delete(m[a], b)
	if len(m[a]) == 0 {
		delete(m, a)
	}
}

// calledBy returns the calls of the other hosts of a service, by called service.
func (f *fleetCalls) calledBy(service string) map[string]callTotal {
	return f.totals(func() map[string]*callTotal { return f.called[service] })
}

// callersOf returns the calls of the other hosts to a service, by calling service.
func (f *fleetCalls) callersOf(called string) map[string]callTotal {
	return f.totals(func() map[string]*callTotal { return f.callers[called] })
}

func (f *fleetCalls) totals(of func() map[string]*callTotal) map[string]callTotal {
	out := map[string]callTotal{}
	if f == nil {
		return out
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for service, total := range of() {
		out[service] = *total
	}
	return out
}
