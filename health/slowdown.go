package health

import (
	"math"
	"sort"
	"time"
)

// shiftMin is the slowness of the whole service, as a logarithm, below which
// it is not corrected; the median over few targets varies by about this much.
const shiftMin = 0.2

// updateShift sets the service's slowness to the median over its targets, so
// that a target is compared with its peers while all of them are slow.
func (c *Detector) updateShift(now time.Duration) {
	levels := make([]float64, 0, len(c.order))
	for _, t := range c.order {
		if t.levelKnown && !t.ejected && !t.cold.cold && t.active(now) {
			levels = append(levels, t.level)
		}
	}
	c.shift = 0
	if len(levels) < 3 {
		return
	}
	sort.Float64s(levels)
	median := levels[(len(levels)-1)/2]
	if median >= shiftMin {
		c.shift = math.Min(median, levelMax)
	}
}
