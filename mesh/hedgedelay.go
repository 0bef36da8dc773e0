package mesh

import "sync"

// hedgeDelays learns for each service whether hedging overdue requests helps.
// Where the first attempt usually responds first, as at targets that are only
// slow, requests wait longer before a hedge, which saves the retry budget for
// failed requests.
type hedgeDelays struct {
	mu      sync.Mutex
	factors map[string]float64
}

const (
	// maxHedgeFactor bounds by how much the hedge delay is extended.
	maxHedgeFactor = 4
	// uselessHedgeFactor and usefulHedgeFactor change the factor after a hedge
	// that lost to the first attempt and after one that won.
	uselessHedgeFactor = 1.3
	usefulHedgeFactor  = 0.8
)

func newHedgeDelays() *hedgeDelays { return &hedgeDelays{factors: map[string]float64{}} }

// factor returns the factor by which the hedge delay of a service is
// multiplied.
func (h *hedgeDelays) factor(service string) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return max(1, h.factors[service])
}

// record records which attempt of a hedged request responded first.
func (h *hedgeDelays) record(service string, hedgeWon bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change := uselessHedgeFactor
	if hedgeWon {
		change = usefulHedgeFactor
	}
	h.factors[service] = min(maxHedgeFactor, max(1, max(1, h.factors[service])*change))
}
