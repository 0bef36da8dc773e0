package replay

import (
	"time"

	"hyssopbridge/health"
)

const (
	graceAfterSick = 2 * time.Second  // an ejection this soon after a sick interval is not false
	settleAfter    = 10 * time.Second // withheld work counts from this long after a sick interval
)

// Ejection is an entry of Score.Ejections.
type Ejection struct {
	TimeMS float64 `json:"t_ms"`
	Target string  `json:"target"`
	Node   string  `json:"node"` // empty for an ejection by the whole fleet
	Reason string  `json:"reason"`
}

// Score is the result of a replay.
type Score struct {
	File               string     `json:"file"`
	Service            string     `json:"service"`
	Prefer             string     `json:"prefer"`
	UnhealthyIntervals int        `json:"sick_intervals"`
	DetectionMS        []*float64 `json:"detection_ms"` // nil where not ejected within the interval
	UnhealthyRequests  int        `json:"sick_requests"`
	UnhealthyOffered   int        `json:"sick_offered"`
	Ejections          []Ejection `json:"ejections"`
	FalseEjections     int        `json:"false_ejections"`
	HealthyWithheld    int        `json:"healthy_withheld"`
	HealthyOffered     int        `json:"healthy_offered"`
	FloorViolations    int        `json:"floor_violations"`

	// Intervals holds the requests of each sick interval; it is not printed.
	Intervals []Interval `json:"-"`
}

// Interval is one sick interval.
type Interval struct {
	Target    string
	Start     time.Duration
	Delivered int
	Offered   int
}

type targetTruth struct {
	state    State
	everSick bool
	sickEnd  time.Duration // of the last interval, valid when not sick
	interval int           // index of the last interval
	ejected  bool
}

type scorer struct {
	trace   *Trace
	score   *Score
	targets []targetTruth
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
		targets: make([]targetTruth, len(t.Targets)),
		byID:    map[string]int{},
	}
	for i, info := range t.Targets {
		s.byID[info.ID] = i
	}
	return s
}

func (s *scorer) onTruth(e *Event) {
	t := &s.targets[e.Target]
	was := t.state.sick()
	t.state = e.State
	switch {
	case !was && t.state.sick():
		s.openInterval(e, t)
	case was && !t.state.sick():
		t.sickEnd = e.At
	}
}

func (s *scorer) openInterval(e *Event, t *targetTruth) {
	t.everSick = true
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
	if t.state.sick() {
		s.onSickStart(t, delivered)
		return
	}
	if t.everSick && e.At-t.sickEnd <= settleAfter {
		return
	}
	s.score.HealthyOffered++
	if !delivered {
		s.score.HealthyWithheld++
	}
}

func (s *scorer) onSickStart(t *targetTruth, delivered bool) {
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
	if t.state.sick() {
		s.detect(d, t)
		return
	}
	if !t.everSick || d.At-t.sickEnd > graceAfterSick {
		s.score.FalseEjections++
	}
}

func (s *scorer) detect(d health.Decision, t *targetTruth) {
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

// onWithhold lists an entry per node that withholds the target.
func (s *scorer) onWithhold(d health.Decision) {
	for _, n := range s.trace.Nodes {
		if n.ID == d.Node || d.Node == "" && n.Zone == d.Zone {
			s.score.Ejections = append(s.score.Ejections, Ejection{TimeMS: toMillis(d.At), Target: d.Target, Node: n.ID, Reason: d.Reason})
		}
	}
}

func (s *scorer) finish() *Score { return s.score }

// LateShare is the share of offered work that the sick intervals of targets got
// after the second interval of the same target; 0 if there are none.
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
