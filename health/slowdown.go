package health

import (
	"math"
	"sort"
	"time"
)

// minSlowdown is the smallest service-wide slowdown that is corrected for, as
// a natural logarithm. The median over few targets varies by about this much.
const minSlowdown = 0.2

// updateSlowdown sets the service's slowdown to the median over its targets,
// so that a target is compared with the others when all of them are slow.
func (d *Detector) updateSlowdown(now time.Duration) {
	values := make([]float64, 0, len(d.sortedTargets))
	for _, t := range d.sortedTargets {
		if t.slownessKnown && !t.ejected && !t.coldStart.active && t.active(now) {
			values = append(values, t.slowness)
		}
	}
	d.slowdown = 0
	if len(values) < 3 {
		return
	}
	sort.Float64s(values)
	median := values[(len(values)-1)/2]
	if median >= minSlowdown {
		d.slowdown = math.Min(median, maxSlowness)
	}
}
