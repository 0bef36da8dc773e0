package health

import "time"

// reducedShare is the share of requests that an unhealthy target still gets
// while the floor keeps it in service.
const reducedShare = 0.5

// Allow reports whether the node may send a request to the target now. A true
// result for an ejected target admits a trial request and counts as one sent.
// The result for an unlisted target is true.
func (d *Detector) Allow(now time.Duration, node, id string, idempotent bool) bool {
	t := d.targets[id]
	if t == nil {
		return true
	}
	if t.ejected {
		return d.allowTrial(now, t, idempotent)
	}
	if !t.shed.allows(now) {
		return false
	}
	if !d.linkAllows(now, node, t, idempotent) {
		return false
	}
	return !t.unhealthy || t.admitShare(reducedShare)
}
