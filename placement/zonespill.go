package placement

import (
	"math"
	"time"

	"hyssopbridge/admission"
)

const (
	// spillFrom is the load of this node's zone up to which requests stay in the
	// zone: callers gain nothing from targets with more free slots, and traffic
	// between zones is charged for.
	spillFrom = 0.5
	// Requests go to another zone while the load of this node's zone is higher by
	// more than minSpillDifference, or by more than spillDeviations/sqrt(slots) if
	// the zones are small. The loads of zones with even demand differ by chance
	// with a standard deviation of about 1/sqrt(slots) at half of their capacity.
	minSpillDifference = 0.035
	spillDeviations    = 0.25
	// spillRate is the change of a share per second and unit of load. With 0.5,
	// differences lasted so long that TestEqualTargetsAreEquallyBusy missed its
	// bound in 2 of 20 runs.
	spillRate = 1.2
	// spillMargin is what has to add up before the first request goes to another
	// zone. It keeps differences by chance from moving requests.
	spillMargin = 0.25
	// maxSpillStep bounds the time for which one comparison counts, since the
	// loads between two requests are not known.
	maxSpillStep = time.Second
	// statusHalfWeight is the age at which a status counts half in the load of
	// its zone. A host that stated a high load gets fewer requests, and so states
	// a lower one later than others would.
	statusHalfWeight = 300 * time.Millisecond
)

// zoneSpill moves requests for a service from this node's zone to less loaded
// ones. For each other zone it adds up over time by how much the loads differ,
// so that lasting differences are evened out and short ones are not followed.
type zoneSpill struct {
	zones []zoneShare
	at    time.Duration // of the latest comparison
}

// zoneShare is a zone with the share of requests that prefers it.
type zoneShare struct {
	zone  string
	sum   float64 // of the differences, from 0 to 1+spillMargin
	load  float64 // requests that run or wait, per slot, times weight
	slots float64
	// weight is the number of slots, less for old statuses.
	weight float64
}

func (z *zoneShare) meanLoad() float64 { return z.load / z.weight }

func (z *zoneShare) share() float64 { return max(0, z.sum-spillMargin) }

// preferredZone returns the zone whose targets the request uses unless they are
// full: this node's own, or another one with the probability of its share.
func (v *View) preferredZone(r Request, list []*host, now time.Duration) string {
	spill := v.spills[r.Service]
	if spill == nil {
		spill = &zoneSpill{at: now}
		v.spills[r.Service] = spill
	}
	spill.update(list, v.cfg.Zone, now)
	if r.Download {
		return v.cfg.Zone
	}
	total := 0.0
	for i := range spill.zones {
		total += spill.zones[i].share()
	}
	if total == 0 {
		return v.cfg.Zone
	}
	chance := v.rand.Float64() * max(1, total)
	for i := range spill.zones {
		z := &spill.zones[i]
		if chance -= z.share(); chance < 0 {
			return z.zone
		}
	}
	return v.cfg.Zone
}

// update compares the load of the node's own zone with that of the others.
func (s *zoneSpill) update(list []*host, ownZone string, now time.Duration) {
	own := s.measure(list, ownZone, now)
	step := min(now-s.at, maxSpillStep).Seconds()
	s.at = now
	for i := range s.zones {
		z := &s.zones[i]
		if z.zone == ownZone || z.slots == 0 || own.slots == 0 {
			z.sum = 0
			continue
		}
		least := max(minSpillDifference, spillDeviations/math.Sqrt(min(own.slots, z.slots)))
		excess := min(own.meanLoad()-z.meanLoad()-least, own.meanLoad()-spillFrom)
		z.sum = min(1+spillMargin, max(0, z.sum+step*spillRate*excess))
	}
}

// measure sets the loads of the zones by the targets that get ordinary requests,
// and returns that of the node's own zone.
func (s *zoneSpill) measure(list []*host, ownZone string, now time.Duration) (own zoneShare) {
	for i := range s.zones {
		z := &s.zones[i]
		z.load, z.slots, z.weight = 0, 0, 0
	}
	for _, h := range list {
		if h.status.Phase != admission.Serving || h.status.Stopping || h.status.Ejected {
			continue
		}
		slots := float64(max(1, h.status.Slots))
		weight := slots / (1 + float64(now-h.statusAt)/float64(statusHalfWeight))
		z := s.zone(h.Zone)
		z.load += h.load() * weight
		z.slots += slots
		z.weight += weight
	}
	return *s.zone(ownZone)
}

func (s *zoneSpill) zone(name string) *zoneShare {
	for i := range s.zones {
		if s.zones[i].zone == name {
			return &s.zones[i]
		}
	}
	s.zones = append(s.zones, zoneShare{zone: name})
	return &s.zones[len(s.zones)-1]
}
