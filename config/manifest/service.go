package manifest

import "fmt"

// Ranges of service limits.
const (
	maxFloor       = 100_000
	maxSlots       = 10_000
	maxConnections = 100_000
	maxQueue       = 100_000
	maxWindowHours = 24 * 366
)

func (r *report) checkServices(m *Manifest) {
	first := make(map[string]int)
	routes := 0
	for i := range m.Services {
		s := &m.Services[i]
		key := fmt.Sprintf("services[%d]", i)
		r.checkName(key+".name", s.Name)
		if j, ok := first[s.Name]; ok && s.Name != "" {
			r.add(key+".name", "service %q is already defined in line %d", s.Name, r.line(fmt.Sprintf("services[%d].name", j)))
		} else {
			first[s.Name] = i
		}
		r.checkService(key, s)
		routes += len(s.Routes)
	}
	if routes > MaxRoutes {
		r.add("services", "%d routes, at most %d are allowed", routes, MaxRoutes)
	}
}

func (r *report) checkService(key string, s *Service) {
	if s.Prefer != "" && s.Prefer != PreferDetection && s.Prefer != PreferService {
		r.add(key+".prefer", "is %q, want %q or %q", s.Prefer, PreferDetection, PreferService)
	}
	r.checkRange(key+".floor", int64(s.Floor), 1, maxFloor)
	r.checkRange(key+".slots", int64(s.Slots), 1, maxSlots)
	r.checkRange(key+".connections", int64(s.Connections), 1, maxConnections)
	r.checkRange(key+".queue", int64(s.Queue), 1, maxQueue)
	r.checkSlots(key, s)
	r.checkObjective(key+".objective", s.Objective)
	r.checkRoutes(key, s)
}

// checkSlots compares slots with connections after defaults: a slot that no
// connection can reach is never used.
func (r *report) checkSlots(key string, s *Service) {
	slots, connections := s.Slots, s.Connections
	setInt(&slots, DefaultSlots)
	setInt(&connections, DefaultConnections)
	if slots > connections && connections > 0 {
		r.add(key+".slots", "%d slots exceed %d connections", slots, connections)
	}
}

func (r *report) checkObjective(key string, o Objective) {
	if r.has(key+".target") && !(o.Target > 0 && o.Target < 1) {
		r.add(key+".target", "is %v, must be above 0 and below 1", o.Target)
	}
	r.checkRange(key+".latency_ms", int64(o.LatencyMS), 1, maxTimeoutMS)
	r.checkRange(key+".window_hours", int64(o.WindowHours), 1, maxWindowHours)
}

// CheckFloors reports services whose floor exceeds the number of instances that
// are known, by service name. A service that is not in the map is not checked.
func CheckFloors(name string, data []byte, instances map[string]int) []Problem {
	m, r := read(name, data)
	if m == nil {
		return nil
	}
	r.problems = nil
	for i := range m.Services {
		s := &m.Services[i]
		floor := s.Floor
		setInt(&floor, DefaultFloor)
		if n, known := instances[s.Name]; known && floor > n {
			r.add(fmt.Sprintf("services[%d].floor", i), "floor %d exceeds the %d known instances of %q", floor, n, s.Name)
		}
	}
	return r.sorted()
}
