package limits

import (
	"time"

	"hyssopbridge/fleet"
)

// holdAverageWeight is the weight of the newest hold time in the moving average.
const holdAverageWeight = 0.2

// holdTimes is an exponential moving average, per class, of how long requests
// hold their slot.
type holdTimes [fleet.NumClasses]time.Duration

func (h *holdTimes) record(class fleet.Class, held time.Duration) {
	held = max(held, time.Microsecond)
	if h[class] == 0 {
		h[class] = held
		return
	}
	h[class] += time.Duration(holdAverageWeight * float64(held-h[class]))
}

// estimate returns the expected time until a request that joins the queue now
// ends. For a download it is the time until the request starts, since the
// deadline of a download applies to its first byte. It returns 0 for unknown:
// if no slot is in use, or if a running class has no recorded hold time yet.
func (s *Slots) estimate(class fleet.Class) time.Duration {
	perSecond := 0.0 // rate at which slots are released
	for c, n := range s.inUse {
		if n == 0 {
			continue
		}
		if s.hold[c] == 0 {
			return 0
		}
		perSecond += float64(n) / s.hold[c].Seconds()
	}
	if perSecond == 0 {
		return 0
	}
	ahead := 1
	for c := class; c < fleet.NumClasses; c++ {
		ahead += s.waiting.counts[c]
	}
	wait := time.Duration(float64(ahead) / perSecond * float64(time.Second))
	if class == fleet.Download {
		return wait
	}
	return wait + s.hold[class]
}
