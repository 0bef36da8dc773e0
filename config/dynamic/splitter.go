package dynamic

import "sync"

// Splitter distributes the requests of each route over its services by weight.
// It uses smooth weighted round robin, so that the proportions hold even over a
// few requests. It is safe for concurrent use.
type Splitter struct {
	phase int // offset into the sequence, so that nodes do not pick in lockstep

	mu     sync.Mutex
	routes map[string]*splitState // by route name
}

// splitState is the weighted round-robin state of one route.
type splitState struct {
	shares  []Share
	current []int // current weight of each share
}

// NewSplitter returns a Splitter that starts at the given offset into the
// sequence. Nodes should use different phases.
func NewSplitter(phase int) *Splitter {
	return &Splitter{phase: phase, routes: map[string]*splitState{}}
}

// Pick returns the service for the next request of r.
func (s *Splitter) Pick(r *Route) string {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.routes[r.Name]
	if st == nil || !equalShares(st.shares, r.Shares) {
		st = newSplitState(r.Shares, s.phase)
		s.routes[r.Name] = st
	}
	return st.next()
}

func newSplitState(shares []Share, phase int) *splitState {
	st := &splitState{shares: shares, current: make([]int, len(shares))}
	total := 0
	for _, sh := range shares {
		total += sh.Weight
	}
	for range phase % max(1, total) {
		st.next()
	}
	return st
}

func (st *splitState) next() string {
	best, total := 0, 0
	for i, sh := range st.shares {
		st.current[i] += sh.Weight
		total += sh.Weight
		if st.current[i] > st.current[best] {
			best = i
		}
	}
	st.current[best] -= total
	return st.shares[best].Service
}

func equalShares(a, b []Share) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}
