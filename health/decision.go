package health

import "time"

// Kind is the action of a decision.
type Kind uint8

// Kinds of decisions.
const (
	Eject     Kind = iota // all entry nodes withhold the target
	Return                // an ejected target gets its full share of requests again
	Reduce                // unhealthy, but the floor keeps it in service with fewer requests
	Restore               // a reduced target gets its full share of requests again
	Withhold              // one node, or the nodes of one zone, withhold the target
	Reconnect             // that node or zone uses the target again
	Hold                  // ejection is suspended: most targets are bad at once
	Resume                // ejection is possible again
	Relapse               // the return failed; the target stays ejected
)

var kindNames = [...]string{"eject", "return", "reduce", "restore", "withhold", "reconnect", "hold", "resume", "relapse"}

// String returns the name used in reports.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "unknown"
}

// Evidence summarizes the observations behind a decision.
type Evidence struct {
	Score        float64 // nats
	Threshold    float64 // nats
	Bad          int     // bad requests
	Pending      int     // of these, still open
	Failures     int     // of these, ended with an error, timeout or truncation
	Nodes        int     // nodes that saw bad requests
	Zones        int     // zones that saw bad requests
	Slowness     float64 // latency relative to the median of the class
	FailedProbes uint32  // failed probes since the last decision about the target
}

// Decision is one change in the state of a target, link or service.
type Decision struct {
	At       time.Duration
	Kind     Kind
	Target   string
	Node     string // for Withhold and Reconnect of one node
	Zone     string // for Withhold and Reconnect of all nodes of a zone
	Reason   string
	Evidence Evidence
}

const maxDecisions = 4096 // decisions kept until the next call of Decisions

func (d *Detector) emit(decision Decision) {
	if len(d.decisions) == maxDecisions {
		d.decisions = append(d.decisions[:0], d.decisions[1:]...)
	}
	d.decisions = append(d.decisions, decision)
}

// Decisions returns the decisions since the last call, oldest first.
func (d *Detector) Decisions() []Decision {
	out := d.decisions
	d.decisions = nil
	return out
}
