package limits

import (
	"time"

	"hyssopbridge/fleet"
)

// holdWeight is the weight of the newest value in a moving average.
const holdWeight = 0.2

// holdTimes keeps a moving average, per class, of how long slots were held.
type holdTimes [fleet.NumClasses]time.Duration

func (h *holdTimes) note(class fleet.Class, held time.Duration) {
	held = max(held, time.Microsecond)
	if h[class] == 0 {
		h[class] = held
		return
	}
	h[class] += time.Duration(holdWeight * float64(held-h[class]))
}

// estimate returns the expected time until a request that joins the queue now
// is finished; for downloads, until it starts, since their deadline concerns
// the first byte. It returns 0 while too little is known.
func (s *Slots) estimate(class fleet.Class) time.Duration {
	perSecond := 0.0 // rate at which slots become free
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
