package health

import (
	"time"

	"hyssopbridge/fleet"
)

// target is the state of one target.
type target struct {
	id    string
	state fleet.InstanceState

	score          float64 // nats, from completed requests
	crossedAt      time.Duration
	aboveThreshold bool    // since crossedAt
	slowness       float64 // moving average, as a natural logarithm
	slownessKnown  bool
	bad            ring
	good           ring
	open           []*request
	queued         []queuedResponse
	lastEnd        time.Duration
	probesOK       uint32
	probesFailed   uint32
	coldStart      coldStart
	unhealthy      bool
	ejected        bool // unhealthy and withheld; other unhealthy targets are reduced
	ejection       ejectionState
	shed           shedState
	admitCredit    float64 // sum of shares since the last admitted request; see admitShare
	ejectionCount  int     // ejections and relapses that count for the backoff
	lastReturn     time.Duration
}

// request is an open request.
type request struct {
	id         uint64
	start      time.Duration
	target     *target
	node       uint16
	zone       uint8
	class      fleet.Class
	idempotent bool
	trial      bool // sent while the target was ejected
	failed     bool // a trial request that was failed because it was overdue
}

const maxOpen = 256 // open requests tracked per target

func newTarget(id string, state fleet.InstanceState) *target {
	return &target{
		id:        id,
		state:     state,
		bad:       ring{capacity: maxBadSamples},
		good:      ring{capacity: maxGoodSamples},
		coldStart: coldStart{active: true},
	}
}

func (t *target) addOpen(r *request) (dropped *request) {
	if len(t.open) == maxOpen {
		dropped = t.open[0]
		t.open = append(t.open[:0], t.open[1:]...)
	}
	t.open = append(t.open, r)
	return dropped
}

func (t *target) removeOpen(r *request) {
	for i, o := range t.open {
		if o == r {
			t.open = append(t.open[:i], t.open[i+1:]...)
			return
		}
	}
}

// inService reports whether the target counts towards the floor while it is
// not ejected.
func (t *target) inService() bool { return t.state == fleet.Ready && !t.coldStart.warmingUp() }

// active reports whether the target has an open request or completed one within
// activeWindow.
func (t *target) active(now time.Duration) bool {
	return len(t.open) > 0 || t.lastEnd > 0 && now-t.lastEnd < activeWindow
}
