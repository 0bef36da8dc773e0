package replay

import (
	"time"

	"hyssopbridge/health"
)

const (
	ejectionGrace = 2 * time.Second  // an ejection this soon after an unhealthy interval is not false
	settleTime    = 10 * time.Second // requests to a healthy target count from this long after its unhealthy interval
)

// Ejection is an entry of Score.Ejections.
type Ejection struct {
	TimeMS float64 `json:"t_ms"`
	Target string  `json:"target"`
	Node   string  `json:"node"` // empty if all nodes withhold the target
	Reason string  `json:"reason"`
}

// Score compares the decisions of a replay with the truth lines of the trace.
type Score struct {
	File               string     `json:"file"`
	Service            string     `json:"service"`
	Prefer             string     `json:"prefer"`
	UnhealthyIntervals int        `json:"sick_intervals"`
	DetectionMS        []*float64 `json:"detection_ms"` // nil where the target was not ejected within the interval
	UnhealthyRequests  int        `json:"sick_requests"`
	UnhealthyOffered   int        `json:"sick_offered"`
	Ejections          []Ejection `json:"ejections"`
	FalseEjections     int        `json:"false_ejections"`
	HealthyWithheld    int        `json:"healthy_withheld"`
	HealthyOffered     int        `json:"healthy_offered"`
	FloorViolations    int        `json:"floor_violations"`

	// Intervals holds the requests of each unhealthy interval. It is not part of
	// the output.
	Intervals []Interval `json:"-"`
}

// Interval is a time in which a target was unhealthy.
type Interval struct {
	Target    string
	Start     time.Duration
	Delivered int
	Offered   int
}

type targetState struct {
	state        State
	wasUnhealthy bool
	unhealthyEnd time.Duration // of the last interval; valid while healthy
	interval     int           // index of the last interval
	ejected      bool
}

type scorer struct {
	trace   *Trace
	score   *Score
	targets []targetState
	byID    map[string]int
	ejected int
}

func newScorer(t *Trace, prefer string) *scorer {
	s := &scorer{
		trace: t,
		score: &Score{
			File:        t.File,
			Service:     t.Service,
			Prefer:      prefer,
			DetectionMS: []*float64{},
			Ejections:   []Ejection{},
		},
		targets: make([]targetState, len(t.Targets)),
		byID:    map[string]int{},
	}
	for i, info := range t.Targets {
		s.byID[info.ID] = i
	}
	return s
}

func (s *scorer) onTruth(e *Event) {
	t := &s.targets[e.Target]
	was := t.state.unhealthy()
	t.state = e.State
	switch {
	case !was && t.state.unhealthy():
		s.openInterval(e, t)
	case was && !t.state.unhealthy():
		t.unhealthyEnd = e.At
	}
}

func (s *scorer) openInterval(e *Event, t *targetState) {
	t.wasUnhealthy = true
	t.interval = len(s.score.Intervals)
	s.score.UnhealthyIntervals++
	s.score.Intervals = append(s.score.Intervals, Interval{Target: s.trace.Targets[e.Target].ID, Start: e.At})
	s.score.DetectionMS = append(s.score.DetectionMS, nil)
	if t.ejected {
		s.score.DetectionMS[t.interval] = new(float64)
	}
}

func (s *scorer) onStart(e *Event, delivered bool) {
	t := &s.targets[e.Target]
	if t.state.unhealthy() {
		s.onUnhealthyStart(t, delivered)
		return
	}
	if t.wasUnhealthy && e.At-t.unhealthyEnd <= settleTime {
		return
	}
	s.score.HealthyOffered++
	if !delivered {
		s.score.HealthyWithheld++
	}
}

func (s *scorer) onUnhealthyStart(t *targetState, delivered bool) {
	in := &s.score.Intervals[t.interval]
	s.score.UnhealthyOffered++
	in.Offered++
	if delivered {
		s.score.UnhealthyRequests++
		in.Delivered++
	}
}

func (s *scorer) onDecision(d health.Decision) {
	switch d.Kind {
	case health.Eject:
		s.onEject(d)
	case health.Return, health.Reduce:
		s.onReturn(d)
	case health.Withhold:
		s.onWithhold(d)
	}
}

func (s *scorer) onEject(d health.Decision) {
	t := &s.targets[s.byID[d.Target]]
	s.score.Ejections = append(s.score.Ejections, Ejection{TimeMS: toMillis(d.At), Target: d.Target, Reason: d.Reason})
	if !t.ejected {
		t.ejected = true
		s.ejected++
	}
	if len(s.targets)-s.ejected < s.trace.Floor {
		s.score.FloorViolations++
	}
	if t.state.unhealthy() {
		s.recordDetection(d, t)
		return
	}
	if !t.wasUnhealthy || d.At-t.unhealthyEnd > ejectionGrace {
		s.score.FalseEjections++
	}
}

func (s *scorer) recordDetection(d health.Decision, t *targetState) {
	if s.score.DetectionMS[t.interval] != nil {
		return
	}
	ms := toMillis(d.At - s.score.Intervals[t.interval].Start)
	s.score.DetectionMS[t.interval] = &ms
}

func (s *scorer) onReturn(d health.Decision) {
	t := &s.targets[s.byID[d.Target]]
	if t.ejected {
		t.ejected = false
		s.ejected--
	}
}

// onWithhold adds an entry for each node that withholds the target.
func (s *scorer) onWithhold(d health.Decision) {
	for _, n := range s.trace.Nodes {
		if n.ID == d.Node || d.Node == "" && n.Zone == d.Zone {
			s.score.Ejections = append(s.score.Ejections, Ejection{TimeMS: toMillis(d.At), Target: d.Target, Node: n.ID, Reason: d.Reason})
		}
	}
}

func (s *scorer) result() *Score { return s.score }

// LateShare returns the share of the offered requests that targets got in
// their third and later unhealthy intervals, or 0 if there are none.
func (s *Score) LateShare() float64 {
	seen := map[string]int{}
	delivered, offered := 0, 0
	for _, in := range s.Intervals {
		seen[in.Target]++
		if seen[in.Target] > 2 {
			delivered += in.Delivered
			offered += in.Offered
		}
	}
	if offered == 0 {
		return 0
	}
	return float64(delivered) / float64(offered)
}
