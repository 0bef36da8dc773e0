package loadbalancer

import "hyssopbridge/fleet"

// applyEjections returns the entries of list that take effect in this node's
// view, by target ID. inService holds the IDs of the targets in service. Entries
// for targets in service are applied in list order as long as at least floor
// targets remain in service. Entries for other targets, such as cold ones, do
// not reduce the number in service; they are applied if the number of targets in
// service is at or above the floor.
func applyEjections(list *fleet.EjectionList, inService map[string]bool, floor int) map[string]*fleet.Ejection {
	if list == nil || len(list.Entries) == 0 {
		return nil
	}
	remaining := len(inService) - max(floor, 0)
	below := remaining < 0
	ejected := make(map[string]*fleet.Ejection)
	for i := range list.Entries {
		e := &list.Entries[i]
		switch {
		case ejected[e.Target] != nil:
		case !inService[e.Target]:
			if !below {
				ejected[e.Target] = e
			}
		case remaining > 0:
			remaining--
			ejected[e.Target] = e
		}
	}
	return ejected
}
