package health

import (
	"time"

	"hyssopbridge/fleet"
)

// target is what a Detector knows about one target.
type target struct {
	id    string
	state fleet.InstanceState

	score       float64 // nats, from completed requests
	crossed     time.Duration
	crossing    bool // score has been above the threshold since crossed
	level       float64
	levelKnown  bool
	bad         ring
	good        ring
	open        []*request
	lessons     []lesson
	lastEnd     time.Duration
	probesOK    uint32
	probesFail  uint32
	cold        coldState
	condemned   bool
	ejected     bool // condemned and withheld; other condemned ones take less work
	ejection    ejectionState
	shed        shedState
	thinning    float64 // share of work admitted since the last admitted request
	everEjected int     // ejections that count for the backoff
	lastReturn  time.Duration
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
	failed     bool // its age has already ended a trial
}

const maxOpen = 256 // open requests followed per target

func newTarget(id string, state fleet.InstanceState) *target {
	return &target{
		id:    id,
		state: state,
		bad:   ring{max: badRing},
		good:  ring{max: goodRing},
		cold:  coldState{cold: true},
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

// inService reports whether the target counts towards the floor when it is
// not ejected.
func (t *target) inService() bool { return t.state == fleet.Ready && !t.cold.unproven() }

// active reports whether the target was used lately.
func (t *target) active(now time.Duration) bool {
	return len(t.open) > 0 || t.lastEnd > 0 && now-t.lastEnd < activeTime
}
