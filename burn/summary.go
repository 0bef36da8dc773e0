package burn

import (
	"cmp"
	"slices"
	"strings"

	"hyssopbridge/config/manifest"
)

// Thresholds of the alarms: a burn rate of 1 spends exactly the budget over the
// objective's window. With a window of 30 days, 14.4 spends 2% of the budget in
// 1 h and 6 spends 5% in 6 h.
const (
	FastBurnRate = 14.4
	SlowBurnRate = 6
	// MinBadRequests is the number of bad requests in the longer window below which
	// there is no alarm: one bad request of a quiet service is a high rate.
	MinBadRequests = 10
)

// Windows of the burn rates, in seconds. An alarm needs both windows of a pair,
// so that it ends soon after its cause.
const (
	fastShortS = 5 * MinuteS
	fastLongS  = HourS
	slowShortS = 30 * MinuteS
	slowLongS  = 6 * HourS
)

// maxTop bounds the spenders of a Summary.
const maxTop = 20

// Tally counts requests.
type Tally struct {
	Good     int64 `json:"good"`
	Late     int64 `json:"late"`
	Failed   int64 `json:"failed"`
	Refused  int64 `json:"refused"`
	Lost     int64 `json:"lost"`
	Excluded int64 `json:"excluded"`
}

// Bad returns the requests that spent the budget.
func (t *Tally) Bad() int64 { return t.Late + t.Failed + t.Refused + t.Lost }

// Counted returns the requests that the objective counts.
func (t *Tally) Counted() int64 { return t.Good + t.Bad() }

func (t *Tally) add(v *[numVerdicts]uint32) {
	t.Good += int64(v[Good])
	t.Late += int64(v[Late])
	t.Failed += int64(v[Failed])
	t.Refused += int64(v[Refused])
	t.Lost += int64(v[Lost])
	t.Excluded += int64(v[Excluded])
}

// rate returns the burn rate for a share of requests that may be bad.
func (t *Tally) rate(allowed float64) float64 {
	if t.Counted() == 0 || allowed <= 0 {
		return 0
	}
	return float64(t.Bad()) / float64(t.Counted()) / allowed
}

// ClassSummary is the part of a class.
type ClassSummary struct {
	Class string `json:"class"`
	Tally
	P50MS float64 `json:"p50_ms"` // of answered requests
	P99MS float64 `json:"p99_ms"`
}

// ServiceSummary is the state of one objective.
type ServiceSummary struct {
	Service  string  `json:"service"`
	Target   float64 `json:"target"` // share of good requests
	WindowH  int     `json:"window_hours"`
	Assumed  bool    `json:"assumed"`       // no node knows the objective; the defaults are used
	CoveredH int     `json:"covered_hours"` // hours of the window that have slots
	Tally
	BudgetLeft float64        `json:"budget_left"` // share; negative when overspent
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
	MaxOvercount int64  `json:"over"` // Bad exceeds the true count by at most this
}

// Summary is what a Report says at a time.
type Summary struct {
	NowS      int64            `json:"now_s"`
	Nodes     int              `json:"nodes"` // that have slots
	Missing   []string         `json:"missing"`
	Truncated bool             `json:"cut"`
	Damaged   int              `json:"damaged"` // slots that could not be read
	Services  []ServiceSummary `json:"services"`
	Targets   []TopContributor `json:"targets"`
	Customers []TopContributor `json:"customers"`
}

// Partial reports whether requests may be missing.
func (s *Summary) Partial() bool { return len(s.Missing) > 0 || s.Truncated || s.Damaged > 0 }

// Summarize evaluates a report at a time.
func Summarize(r *Report, nowS int64) *Summary {
	b := newSummaryBuilder(r, nowS)
	nodes := map[string]bool{}
	for i := range r.Intervals {
		nodes[r.Intervals[i].Node] = true
		b.addSlot(&r.Intervals[i])
	}
	s := &Summary{NowS: nowS, Nodes: len(nodes), Missing: r.Missing(nowS), Truncated: r.Truncated, Damaged: b.damaged,
		Services: []ServiceSummary{}, Targets: top(b.targets), Customers: top(b.customers)}
	for _, v := range b.services {
		s.Services = append(s.Services, v.finish())
	}
	slices.SortFunc(s.Services, func(a, b ServiceSummary) int {
		return cmp.Or(cmp.Compare(a.BudgetLeft, b.BudgetLeft), strings.Compare(a.Service, b.Service))
	})
	return s
}

func top(m map[spenderKey]*TopContributor) []TopContributor {
	list := make([]TopContributor, 0, len(m))
	for _, t := range m {
		list = append(list, *t)
	}
	slices.SortFunc(list, func(a, b TopContributor) int {
		return cmp.Or(cmp.Compare(b.Bad, a.Bad), strings.Compare(a.Service, b.Service), strings.Compare(a.Name, b.Name))
	})
	return list[:min(len(list), maxTop)]
}

func defaultObjective(service string) Objective {
	return Objective{Service: service, Objective: manifest.Objective{
		Target: manifest.DefaultObjectiveTarget, LatencyMS: manifest.DefaultObjectiveLatencyMS, WindowHours: manifest.DefaultWindowHours}}
}
