package mesh

import "sync"

// hedges learns for each service whether second attempts of overdue requests
// are of use. Where the first attempt usually answers after all, as at targets
// that are only slow, requests wait longer, which leaves the retry budget to
// requests that failed.
type hedges struct {
	mu      sync.Mutex
	factors map[string]float64
}

const (
	// maxHedgeFactor bounds how much longer than usual a request waits.
	maxHedgeFactor = 4
	// hedgeLost and hedgeWon change the factor after a second attempt that was
	// of no use, and after one that answered first.
	hedgeLost = 1.3
	hedgeWon  = 0.8
)

func newHedges() *hedges { return &hedges{factors: map[string]float64{}} }

// factor is applied to the time after which a request is overdue.
func (h *hedges) factor(service string) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return max(1, h.factors[service])
}

// learn records a request with two attempts.
func (h *hedges) learn(service string, secondWon bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change := hedgeLost
	if secondWon {
		change = hedgeWon
	}
	h.factors[service] = min(maxHedgeFactor, max(1, max(1, h.factors[service])*change))
}
