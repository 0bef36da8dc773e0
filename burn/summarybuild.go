package burn

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"hyssopbridge/fleet"
)

type contributorKey struct{ service, name string }

// summaryBuilder adds up the intervals of a report.
type summaryBuilder struct {
	nowS       int64
	objectives map[string]Objective
	services   map[string]*serviceBuilder
	targets    map[contributorKey]*TopContributor
	customers  map[contributorKey]*TopContributor
	damaged    int
}

// serviceBuilder adds up the requests of one service.
type serviceBuilder struct {
	ServiceSummary
	classes [fleet.NumClasses]*classBuilder
	windows map[int64]*Tally // by window length in s
	hours   map[int64]bool   // starts of the hours for which there are intervals
}

type classBuilder struct {
	tally   Tally
	latency *hdrhistogram.Histogram
}

func newSummaryBuilder(r *Report, nowS int64) *summaryBuilder {
	b := &summaryBuilder{nowS: nowS, objectives: map[string]Objective{}, services: map[string]*serviceBuilder{},
		targets: map[contributorKey]*TopContributor{}, customers: map[contributorKey]*TopContributor{}}
	for _, o := range r.Objectives {
		b.objectives[o.Service] = o
	}
	return b
}

func (b *summaryBuilder) service(name string) *serviceBuilder {
	v := b.services[name]
	if v != nil {
		return v
	}
	o, known := b.objectives[name]
	if !known {
		o = defaultObjective(name)
	}
	v = &serviceBuilder{hours: map[int64]bool{}, windows: map[int64]*Tally{}}
	for _, length := range []int64{fastShortS, fastLongS, slowShortS, slowLongS} {
		v.windows[length] = &Tally{}
	}
	v.ServiceSummary = ServiceSummary{Service: name, Target: o.Target, WindowH: o.WindowHours, Assumed: !known}
	b.services[name] = v
	return v
}

func (b *summaryBuilder) addInterval(p *PackedInterval) {
	content, err := p.Unpack()
	if err != nil {
		b.damaged++
		return
	}
	for i := range content.Counts {
		c := &content.Counts[i]
		if c.Class >= fleet.NumClasses {
			b.damaged++
			return
		}
		b.service(c.Service).add(b.nowS, p, c)
	}
	if p.LengthS == HourS {
		b.addContributors(b.targets, p, content.Targets)
		b.addContributors(b.customers, p, content.Customers)
	}
}

func (b *summaryBuilder) addContributors(to map[contributorKey]*TopContributor, p *PackedInterval, list []Contributor) {
	for _, e := range list {
		if !overlapsWindow(p, b.nowS, int64(b.service(e.Service).WindowH)*HourS) {
			continue
		}
		key := contributorKey{e.Service, e.Name}
		t := to[key]
		if t == nil {
			t = &TopContributor{Service: e.Service, Name: e.Name}
			to[key] = t
		}
		t.Bad += int64(e.Bad)
		t.MaxOvercount += int64(e.MaxOvercount)
	}
}

// overlapsWindow reports whether the interval overlaps the window that ends at
// nowS.
func overlapsWindow(p *PackedInterval, nowS, windowS int64) bool {
	return p.EndS() > nowS-windowS && p.StartS <= nowS
}

func (v *serviceBuilder) add(nowS int64, p *PackedInterval, c *Count) {
	if p.LengthS == MinuteS {
		for length, t := range v.windows {
			if overlapsWindow(p, nowS, length) {
				t.add(&c.ByCategory)
			}
		}
		return
	}
	if !overlapsWindow(p, nowS, int64(v.WindowH)*HourS) {
		return
	}
	if p.Part == PartCounts {
		v.hours[p.StartS] = true
	}
	v.Tally.add(&c.ByCategory)
	class := v.classes[c.Class]
	if class == nil {
		class = &classBuilder{latency: hdrhistogram.New(1, maxLatency, latencyDigits)}
		v.classes[c.Class] = class
	}
	class.tally.add(&c.ByCategory)
	for i := 0; i+1 < len(c.Latency); i += 2 {
		_ = class.latency.RecordValues(min(int64(c.Latency[i]), maxLatency), int64(c.Latency[i+1]))
	}
}

func (v *serviceBuilder) finish() ServiceSummary {
	s := v.ServiceSummary
	allowed := 1 - s.Target
	s.CoveredH = len(v.hours)
	s.BudgetLeft = 1 - s.rate(allowed)
	s.Fast5m, s.Fast1h = v.windows[fastShortS].rate(allowed), v.windows[fastLongS].rate(allowed)
	s.Slow30m, s.Slow6h = v.windows[slowShortS].rate(allowed), v.windows[slowLongS].rate(allowed)
	s.Alarm = v.alarm(&s)
	s.Classes = []ClassSummary{}
	for i, c := range v.classes {
		if c != nil {
			s.Classes = append(s.Classes, c.finish(fleet.Class(i)))
		}
	}
	return s
}

func (v *serviceBuilder) alarm(s *ServiceSummary) string {
	switch {
	case s.Fast5m > FastBurnRate && s.Fast1h > FastBurnRate && v.windows[fastLongS].Bad() >= MinBadRequests:
		return "fast"
	case s.Slow30m > SlowBurnRate && s.Slow6h > SlowBurnRate && v.windows[slowLongS].Bad() >= MinBadRequests:
		return "slow"
	}
	return "none"
}

func (c *classBuilder) finish(class fleet.Class) ClassSummary {
	const perMS = 10 // latencyUnits
	return ClassSummary{Class: class.String(), Tally: c.tally,
		P50MS: float64(c.latency.ValueAtQuantile(50)) / perMS, P99MS: float64(c.latency.ValueAtQuantile(99)) / perMS}
}
