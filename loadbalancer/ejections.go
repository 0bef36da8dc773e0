package loadbalancer

import "hyssopbridge/fleet"

// withheld returns the ejections of list that this view applies, by target ID.
// ready lists the IDs of the targets in service. Entries of targets in service
// are applied in list order while at least floor targets in service remain.
// Entries of other targets, such as cold ones, do not lower the healthy
// capacity; they are applied only while the view is at or above the floor.
func withheld(list *fleet.EjectionList, inService map[string]bool, floor int) map[string]*fleet.Ejection {
	if list == nil || len(list.Entries) == 0 {
		return nil
	}
	left := len(inService) - max(floor, 0)
	below := left < 0
	out := make(map[string]*fleet.Ejection)
	for i := range list.Entries {
		e := &list.Entries[i]
		switch {
		case out[e.Target] != nil:
		case !inService[e.Target]:
			if !below {
				out[e.Target] = e
			}
		case left > 0:
			left--
			out[e.Target] = e
		}
	}
	return out
}
