package health

import (
	"math"
	"time"

	"hyssopbridge/fleet"
)

const (
	baselineBins          = 96
	binsPerOctave         = 4
	baselineStartMS       = 0.25 // ms, lower edge of the first bin
	baselineHalfLife      = 60 * time.Second
	baselineDecayInterval = time.Second
	baselineTableInterval = 250 * time.Millisecond
	baselineMinSamples    = 30
	tailExponent          = 3   // power law assumed beyond the slowest samples
	classPrior            = 20  // samples; damps the failure rate of a class that has few of its own
	maxFailLLR            = 5.5 // nats; above the limit of a slow response, which noise causes more often
	failShare             = 0.1 // share of failures under the alternative hypothesis
	// maxTruncatedLLR limits the log-likelihood ratio of a truncated response, in nats.
	// Healthy targets hardly ever truncate responses, so the limit is higher than
	// for other failures.
	maxTruncatedLLR = 7
)

// baseline is the latency and failure distribution of each class, pooled over
// all targets of the service. It decays exponentially.
type baseline struct {
	classes   [fleet.NumClasses]classBaseline
	decayed   time.Duration
	tabulated time.Duration
	samples   float64
	failures  float64
	truncated float64 // truncated responses
}

type classBaseline struct {
	bins     [baselineBins]float32
	samples  float64
	failures float64
	llr      [baselineBins]float32 // log-likelihood ratio of a latency at the lower edge of each bin
	failLLR  float64
	median   float64 // natural logarithm of ms; valid if ready
	ready    bool
}

func latencyBin(ms float64) float64 {
	b := math.Log2(ms/baselineStartMS) * binsPerOctave
	if !(b > 0) {
		return 0
	}
	return math.Min(b, baselineBins-1)
}

// rankLLR returns the log-likelihood ratio of a request at upper-tail rank u.
func rankLLR(u float64) float64 {
	u = math.Max(u, minRank)
	return math.Log(1 - badShare + badShare*rankPower*math.Pow(u, rankPower-1))
}

func (bl *baseline) add(class fleet.Class, o Outcome, ms float64) {
	c := &bl.classes[class]
	c.samples++
	bl.samples++
	if o.failure() {
		c.failures++
		bl.failures++
		if o == Truncated {
			bl.truncated++
		}
		return
	}
	c.bins[int(latencyBin(ms))]++
}

// refresh decays the samples and recomputes the log-likelihood ratio tables.
func (bl *baseline) refresh(now time.Duration) {
	if now-bl.decayed >= baselineDecayInterval {
		bl.decay(now - bl.decayed)
		bl.decayed = now
	}
	if bl.tabulated > 0 && now-bl.tabulated < baselineTableInterval {
		return
	}
	bl.tabulated = now
	for i := range bl.classes {
		bl.classes[i].tabulate(bl.failureRank(&bl.classes[i]))
	}
}

func (bl *baseline) decay(span time.Duration) {
	f := math.Exp2(-span.Seconds() / baselineHalfLife.Seconds())
	bl.samples *= f
	bl.failures *= f
	bl.truncated *= f
	for i := range bl.classes {
		c := &bl.classes[i]
		c.samples *= f
		c.failures *= f
		for b := range c.bins {
			c.bins[b] *= float32(f)
		}
	}
}

// failureRank returns the failure rate that a failed response is ranked
// against: the higher of the service's rate and that of the class. A prior
// keeps the rate of a class with few samples low, so that the service's rate
// applies.
func (bl *baseline) failureRank(c *classBaseline) float64 {
	pooled := (bl.failures + 0.5) / (bl.samples + 1)
	own := c.failures / (c.samples + classPrior)
	return math.Max(pooled, own)
}

func (c *classBaseline) tabulate(failRank float64) {
	c.ready = c.samples >= baselineMinSamples
	if !c.ready {
		return
	}
	c.failLLR = math.Min(math.Log(1-badShare+failShare/failRank), maxFailLLR)
	responses := c.samples - c.failures
	rest := responses
	rank := 1.0
	for b := range c.bins {
		c.llr[b] = float32(rankLLR(rank) + math.Log(1-failShare))
		n := float64(c.bins[b])
		if rest > responses/2 && rest-n <= responses/2 {
			c.median = logMSAt(b, (rest-responses/2)/n)
		}
		rest -= n
		rank = tailRank(rest, responses, rank)
	}
}

// tailRank estimates the share of responses beyond a bin edge. With less than
// one sample left, it extrapolates from the previous edge.
func tailRank(rest, responses, before float64) float64 {
	if rest >= 1 {
		return (rest + 0.5) / (responses + 1)
	}
	return before * math.Exp2(-float64(tailExponent)/binsPerOctave)
}

func logMSAt(b int, part float64) float64 {
	return math.Log(baselineStartMS) + (float64(b)+part)*math.Ln2/binsPerOctave
}

// latencyLLR returns the log-likelihood ratio of a response, or of an open request,
// at ms.
func (bl *baseline) latencyLLR(class fleet.Class, ms float64) float64 {
	c := &bl.classes[class]
	if !c.ready {
		return 0
	}
	at := latencyBin(ms)
	b := int(at)
	if b >= baselineBins-1 {
		return float64(c.llr[baselineBins-1])
	}
	part := at - float64(b)
	return float64(c.llr[b])*(1-part) + float64(c.llr[b+1])*part
}

// failureLLR returns the log-likelihood ratio of a failed response.
func (bl *baseline) failureLLR(class fleet.Class, o Outcome) float64 {
	c := &bl.classes[class]
	switch {
	case !c.ready:
		return 0
	case o == Truncated:
		share := (bl.truncated + 0.5) / (bl.samples + 1)
		return math.Max(c.failLLR, math.Min(math.Log(1-badShare+failShare/share), maxTruncatedLLR))
	}
	return c.failLLR
}

// slowness returns the natural logarithm of ms relative to the median of the
// class.
func (bl *baseline) slowness(class fleet.Class, ms float64) (slowness float64, ok bool) {
	c := &bl.classes[class]
	if !c.ready || ms <= 0 {
		return 0, false
	}
	return math.Log(ms) - c.median, true
}
