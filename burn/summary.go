package burn

import (
	"cmp"
	"slices"
	"strings"

	"hyssopbridge/config/manifest"
)

// Burn rates above which an alarm is raised. A burn rate of 1 spends exactly the
// budget over the objective's window. With a window of 30 days, 14.4 spends 2% of
// the budget in 1 h and 6 spends 5% in 6 h.
const (
	FastBurnRate = 14.4
	SlowBurnRate = 6
	// MinBadRequests is the number of bad requests in the longer window below
	// which there is no alarm, because a single bad request of a service with
	// little traffic is already a high rate.
	MinBadRequests = 10
)

// Windows of the burn rates, in seconds. Both windows of a pair must exceed the
// threshold for an alarm, so that it ends soon after its cause.
const (
	fastShortS = 5 * MinuteS
	fastLongS  = HourS
	slowShortS = 30 * MinuteS
	slowLongS  = 6 * HourS
)

// maxTopContributors bounds the targets, and also the customers, in a Summary.
const maxTopContributors = 20

// Tally counts requests by Category.
type Tally struct {
	Good     int64 `json:"good"`
	Late     int64 `json:"late"`
	Failed   int64 `json:"failed"`
	Refused  int64 `json:"refused"`
	Lost     int64 `json:"lost"`
	Excluded int64 `json:"excluded"`
}

// Bad returns the number of requests that spent error budget.
func (t *Tally) Bad() int64 { return t.Late + t.Failed + t.Refused + t.Lost }

// Counted returns the number of requests that count towards the objective.
func (t *Tally) Counted() int64 { return t.Good + t.Bad() }

func (t *Tally) add(v *[numCategories]uint32) {
	t.Good += int64(v[Good])
	t.Late += int64(v[Late])
	t.Failed += int64(v[Failed])
	t.Refused += int64(v[Refused])
	t.Lost += int64(v[Lost])
	t.Excluded += int64(v[Excluded])
}

// rate returns the burn rate if the given share of requests may be bad.
func (t *Tally) rate(allowed float64) float64 {
	if t.Counted() == 0 || allowed <= 0 {
		return 0
	}
	return float64(t.Bad()) / float64(t.Counted()) / allowed
}

// ClassSummary holds the requests of one class of a service.
type ClassSummary struct {
	Class string `json:"class"`
	Tally
	P50MS float64 `json:"p50_ms"` // of answered requests
	P99MS float64 `json:"p99_ms"`
}

// ServiceSummary is the state of the objective of one service.
type ServiceSummary struct {
	Service  string  `json:"service"`
	Target   float64 `json:"target"` // share of good requests
	WindowH  int     `json:"window_hours"`
	Assumed  bool    `json:"assumed"`       // no node reported the objective; the defaults are used
	CoveredH int     `json:"covered_hours"` // hours of the window for which there are intervals
	Tally
	BudgetLeft float64        `json:"budget_left"` // share of the budget; negative if overspent
	Fast5m     float64        `json:"burn_5m"`
	Fast1h     float64        `json:"burn_1h"`
	Slow30m    float64        `json:"burn_30m"`
	Slow6h     float64        `json:"burn_6h"`
	Alarm      string         `json:"alarm"` // fast, slow or none
	Classes    []ClassSummary `json:"classes"`
}

// TopContributor is a target or customer with bad requests in the window.
type TopContributor struct {
	Service      string `json:"service"`
	Name         string `json:"name"`
	Bad          int64  `json:"bad"`
	MaxOvercount int64  `json:"over"` // Bad exceeds the true count by up to this
}

// Summary is the evaluation of a Report at one point in time.
type Summary struct {
	NowS      int64            `json:"now_s"`
	Nodes     int              `json:"nodes"` // number of nodes with intervals
	Missing   []string         `json:"missing"`
	Truncated bool             `json:"cut"`
	Damaged   int              `json:"damaged"` // intervals that could not be read
	Services  []ServiceSummary `json:"services"`
	Targets   []TopContributor `json:"targets"`
	Customers []TopContributor `json:"customers"`
}

// Partial reports whether the summary may lack requests.
func (s *Summary) Partial() bool { return len(s.Missing) > 0 || s.Truncated || s.Damaged > 0 }

// Summarize evaluates a report at the time nowS.
func Summarize(r *Report, nowS int64) *Summary {
	b := newSummaryBuilder(r, nowS)
	nodes := map[string]bool{}
	for i := range r.Intervals {
		nodes[r.Intervals[i].Node] = true
		b.addInterval(&r.Intervals[i])
	}
	s := &Summary{NowS: nowS, Nodes: len(nodes), Missing: r.Missing(nowS), Truncated: r.Truncated, Damaged: b.damaged,
		Services: []ServiceSummary{}, Targets: topContributors(b.targets), Customers: topContributors(b.customers)}
	for _, v := range b.services {
		s.Services = append(s.Services, v.finish())
	}
	slices.SortFunc(s.Services, func(a, b ServiceSummary) int {
		return cmp.Or(cmp.Compare(a.BudgetLeft, b.BudgetLeft), strings.Compare(a.Service, b.Service))
	})
	return s
}

func topContributors(m map[contributorKey]*TopContributor) []TopContributor {
	list := make([]TopContributor, 0, len(m))
	for _, t := range m {
		list = append(list, *t)
	}
	slices.SortFunc(list, func(a, b TopContributor) int {
		return cmp.Or(cmp.Compare(b.Bad, a.Bad), strings.Compare(a.Service, b.Service), strings.Compare(a.Name, b.Name))
	})
	return list[:min(len(list), maxTopContributors)]
}

func defaultObjective(service string) Objective {
	return Objective{Service: service, Objective: manifest.Objective{
		Target: manifest.DefaultObjectiveTarget, LatencyMS: manifest.DefaultObjectiveLatencyMS, WindowHours: manifest.DefaultWindowHours}}
}
