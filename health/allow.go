package health

import "time"

// reducedShare is the share of work of a condemned target that the floor keeps
// in service.
const reducedShare = 0.5

// Allow reports whether the node may send a request to the target now. A true
// answer for an ejected target is a trial and counts as used. The answer for an
// unlisted target is true.
func (c *Detector) Allow(now time.Duration, node, id string, idempotent bool) bool {
	t := c.targets[id]
	if t == nil {
		return true
	}
	if t.ejected {
		return c.allowTrial(now, t, idempotent)
	}
	if !t.shed.allows(now) {
		return false
	}
	if !c.linkAllows(now, node, t, idempotent) {
		return false
	}
	return !t.condemned || t.thin(reducedShare)
}
