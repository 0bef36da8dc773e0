package burn

import (
	"cmp"
	"slices"
	"strings"

	"hyssopbridge/config/manifest"
)

// Objective is the objective of a service as defined by one revision of its
// mandate.
type Objective struct {
	Service  string `json:"service"`
	Revision int64  `json:"revision"`
	manifest.Objective
}

// Report holds the counts of one or more nodes. Its intervals and objectives are
// sorted and unique.
type Report struct {
	Live       []string         `json:"live"` // nodes that the reporting nodes considered alive
	Objectives []Objective      `json:"objectives"`
	Intervals  []PackedInterval `json:"slots"`
	Truncated  bool             `json:"cut"` // the oldest intervals did not fit into the response
}

func compareIntervals(a, b PackedInterval) int {
	return cmp.Or(cmp.Compare(a.StartS, b.StartS), cmp.Compare(a.LengthS, b.LengthS),
		strings.Compare(a.Node, b.Node), cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Part, b.Part))
}

func compareObjectives(a, b Objective) int {
	return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Target, b.Target),
		cmp.Compare(a.LatencyMS, b.LatencyMS), cmp.Compare(a.WindowHours, b.WindowHours))
}

// Merge returns a report with the newest version of each interval and objective
// of the given reports. It is idempotent, commutative and associative.
func Merge(reports ...*Report) *Report {
	intervals := map[Key]PackedInterval{}
	objectives := map[string]Objective{}
	out := &Report{Live: []string{}}
	for _, r := range reports {
		out.Live = append(out.Live, r.Live...)
		out.Truncated = out.Truncated || r.Truncated
		for _, p := range r.Intervals {
			if old, held := intervals[p.Key]; !held || p.newer(&old) {
				intervals[p.Key] = p
			}
		}
		for _, o := range r.Objectives {
			if old, held := objectives[o.Service]; !held || compareObjectives(o, old) > 0 {
				objectives[o.Service] = o
			}
		}
	}
	out.Intervals = sortedValues(intervals, compareIntervals)
	out.Objectives = sortedValues(objectives, func(a, b Objective) int { return strings.Compare(a.Service, b.Service) })
	slices.Sort(out.Live)
	out.Live = slices.Compact(out.Live)
	return out
}

func sortedValues[K comparable, V any](m map[K]V, compare func(a, b V) int) []V {
	list := make([]V, 0, len(m))
	for _, v := range m {
		list = append(list, v)
	}
	slices.SortFunc(list, compare)
	return list
}

// Missing returns the live nodes without an interval in the last minutes before
// nowS. The report may lack requests of these nodes.
func (r *Report) Missing(nowS int64) []string {
	const recentS = 10 * MinuteS
	recent := map[string]bool{}
	for i := range r.Intervals {
		if r.Intervals[i].EndS() >= nowS-recentS {
			recent[r.Intervals[i].Node] = true
		}
	}
	var out []string
	for _, node := range r.Live {
		if !recent[node] {
			out = append(out, node)
		}
	}
	return out
}
