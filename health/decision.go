package health

import "time"

// Kind is what a decision does.
type Kind uint8

// Kinds of decisions.
const (
	Eject     Kind = iota // the whole fleet withholds the target
	Return                // an ejected target takes its full share again
	Reduce                // condemned, but the floor keeps it in service with less work
	Restore               // a reduced target takes its full share again
	Withhold              // one node or zone withholds the target
	Reconnect             // the node or zone uses the target again
	Hold                  // nothing is ejected for now: most targets are bad at once
	Resume                // ejection is possible again
	Relapse               // a trial failed; the target stays ejected
)

var kindNames = [...]string{"eject", "return", "reduce", "restore", "withhold", "reconnect", "hold", "resume", "relapse"}

// String returns the name used in reports.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "unknown"
}

// Evidence is what a decision rests on.
type Evidence struct {
	Score        float64 // nats
	Threshold    float64 // nats
	Bad          int     // bad requests counted
	Pending      int     // of which still open
	Failures     int     // of which error, timeout or truncated
	Nodes        int     // nodes that saw bad requests
	Zones        int     // zones that saw bad requests
	Slowness     float64 // latency relative to the median of the class
	FailedProbes uint32  // failed probes since the last decision about the target
}

// Decision is one entry of a Detector's output.
type Decision struct {
	At       time.Duration
	Kind     Kind
	Target   string
	Node     string // Withhold and Reconnect of one node
	Zone     string // Withhold and Reconnect of a zone's nodes
	Reason   string
	Evidence Evidence
}

const maxDecisions = 4096 // kept until Decisions is called

func (c *Detector) decide(d Decision) {
	if len(c.decisions) == maxDecisions {
		c.decisions = append(c.decisions[:0], c.decisions[1:]...)
	}
	c.decisions = append(c.decisions, d)
}

// Decisions returns the decisions since the last call, oldest first.
func (c *Detector) Decisions() []Decision {
	out := c.decisions
	c.decisions = nil
	return out
}
