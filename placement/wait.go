package placement

import (
	"time"

	"hyssopbridge/admission"
)

// TimeToSlot estimates when the service would have a slot for a request that is
// refused now, if requests run for runTime on average: after the requests that
// run or wait beyond the slots of the healthy targets have ended. ok is false if
// no target of the service is known to be healthy.
func (v *View) TimeToSlot(service string, runTime time.Duration) (wait time.Duration, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	slots, ahead := 0, 0
	for _, h := range v.byService[service] {
		s := &h.status
		if s.Phase != admission.Serving || s.Stopping || s.Ejected {
			continue
		}
		slots += s.Slots
		ahead += s.Running + s.Waiting
	}
	if slots == 0 {
		return 0, false
	}
	return runTime * time.Duration(max(0, ahead+1-slots)) / time.Duration(slots), true
}
