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
	parts   []float64 // fraction of the requests for each share; their sum is 1
	current []float64 // what each share is owed, in requests
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
	st := &splitState{shares: shares, parts: fractions(shares), current: make([]float64, len(shares))}
	for range phase {
		st.next()
	}
	return st
}

// fractions returns the weights in relation to their sum. They are divided by the
// largest one first, since the sum of very large weights would be infinite.
func fractions(shares []Share) []float64 {
	largest, total := 0.0, 0.0
	for _, sh := range shares {
		largest = max(largest, sh.Weight)
	}
	parts := make([]float64, len(shares))
	for i, sh := range shares {
		parts[i] = sh.Weight / largest
		total += parts[i]
	}
	for i := range parts {
		parts[i] /= total
	}
	return parts
}

func (st *splitState) next() string {
	best := 0
	for i, part := range st.parts {
		st.current[i] += part
		if st.current[i] > st.current[best] {
			best = i
		}
	}
	st.current[best]--
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
