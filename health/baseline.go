package health

import (
	"math"
	"time"

	"hyssopbridge/fleet"
)

const (
	refBins       = 96
	binsPerOctave = 4
	refBaseMS     = 0.25 // lower edge of the first bin, in ms
	refHalfLife   = 60 * time.Second
	refDecayEvery = time.Second
	refTableEvery = 250 * time.Millisecond
	refMinSamples = 30
	tailExponent  = 3   // assumed power of the tail beyond the slowest samples
	classPrior    = 20  // samples
	maxFailLLR    = 5.5 // nats; above the bound of a slow answer, which noise produces more often
	failShare     = 0.1 // share of failures in the alternative hypothesis
	// maxCutLLR bounds the evidence of a truncated answer, in nats. Healthy
	// targets hardly ever cut answers off, so it exceeds that of other failures.
	maxCutLLR = 7
)

// reference is the pooled distribution of answers of all targets, per class.
type reference struct {
	classes   [fleet.NumClasses]classReference
	decayed   time.Duration
	tabulated time.Duration
	samples   float64
	failures  float64
	cut       float64 // truncated answers
}

type classReference struct {
	bins     [refBins]float32
	samples  float64
	failures float64
	llr      [refBins]float32 // evidence of a latency at the lower edge of a bin
	failLLR  float64
	median   float64 // natural logarithm of ms; 0 with ready unset
	ready    bool
}

func latencyBin(ms float64) float64 {
	b := math.Log2(ms/refBaseMS) * binsPerOctave
	if !(b > 0) {
		return 0
	}
	return math.Min(b, refBins-1)
}

// rankLLR is the log-likelihood ratio of upper-tail rank u.
func rankLLR(u float64) float64 {
	u = math.Max(u, minRank)
	return math.Log(1 - badShare + badShare*rankPower*math.Pow(u, rankPower-1))
}

func (r *reference) add(class fleet.Class, o Outcome, ms float64) {
	c := &r.classes[class]
	c.samples++
	r.samples++
	if o.failure() {
		c.failures++
		r.failures++
		if o == Truncated {
			r.cut++
		}
		return
	}
	c.bins[int(latencyBin(ms))]++
}

// refresh ages the samples and recomputes the evidence tables.
func (r *reference) refresh(now time.Duration) {
	if now-r.decayed >= refDecayEvery {
		r.decay(now - r.decayed)
		r.decayed = now
	}
	if r.tabulated > 0 && now-r.tabulated < refTableEvery {
		return
	}
	r.tabulated = now
	for i := range r.classes {
		r.classes[i].tabulate(r.failureRank(&r.classes[i]))
	}
}

func (r *reference) decay(span time.Duration) {
	f := math.Exp2(-span.Seconds() / refHalfLife.Seconds())
	r.samples *= f
	r.failures *= f
	r.cut *= f
	for i := range r.classes {
		c := &r.classes[i]
		c.samples *= f
		c.failures *= f
		for b := range c.bins {
			c.bins[b] *= float32(f)
		}
	}
}

// failureRank is the share of failures that evidence of a failure is ranked
// against. Classes with few samples use the service's share.
func (r *reference) failureRank(c *classReference) float64 {
	pooled := (r.failures + 0.5) / (r.samples + 1)
	own := c.failures / (c.samples + classPrior)
	return math.Max(pooled, own)
}

func (c *classReference) tabulate(failRank float64) {
	c.ready = c.samples >= refMinSamples
	if !c.ready {
		return
	}
	c.failLLR = math.Min(math.Log(1-badShare+failShare/failRank), maxFailLLR)
	answered := c.samples - c.failures
	rest := answered
	rank := 1.0
	for b := range c.bins {
		c.llr[b] = float32(rankLLR(rank) + math.Log(1-failShare))
		n := float64(c.bins[b])
		if rest > answered/2 && rest-n <= answered/2 {
			c.median = binMiddle(b, (rest-answered/2)/n)
		}
		rest -= n
		rank = tailRank(rest, answered, rank)
	}
}

// tailRank estimates the share of answers beyond a bin edge. With less than
// one sample left the tail is extrapolated from the edge before.
func tailRank(rest, answered, before float64) float64 {
	if rest >= 1 {
		return (rest + 0.5) / (answered + 1)
	}
	return before * math.Exp2(-float64(tailExponent)/binsPerOctave)
}

func binMiddle(b int, part float64) float64 {
	return math.Log(refBaseMS) + (float64(b)+part)*math.Ln2/binsPerOctave
}

// latencyLLR is the evidence of an answer, or of an open request, at ms.
func (r *reference) latencyLLR(class fleet.Class, ms float64) float64 {
	c := &r.classes[class]
	if !c.ready {
		return 0
	}
	at := latencyBin(ms)
	b := int(at)
	if b >= refBins-1 {
		return float64(c.llr[refBins-1])
	}
	part := at - float64(b)
	return float64(c.llr[b])*(1-part) + float64(c.llr[b+1])*part
}

// failureLLR is the evidence of a failed answer.
func (r *reference) failureLLR(class fleet.Class, o Outcome) float64 {
	c := &r.classes[class]
	switch {
	case !c.ready:
		return 0
	case o == Truncated:
		share := (r.cut + 0.5) / (r.samples + 1)
		return math.Max(c.failLLR, math.Min(math.Log(1-badShare+failShare/share), maxCutLLR))
	}
	return c.failLLR
}

// level is the natural logarithm of ms relative to the median of the class.
func (r *reference) level(class fleet.Class, ms float64) (level float64, ok bool) {
	c := &r.classes[class]
	if !c.ready || ms <= 0 {
		return 0, false
	}
	return math.Log(ms) - c.median, true
}
