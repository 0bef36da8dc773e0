package replay

import (
	"fmt"
	"math"
	"time"

	"hyssopbridge/fleet"
	"hyssopbridge/health"
)

// Version is the version of the trace format.
const Version = 1

// State is the actual state of a target, as opposed to what the detector
// infers.
type State uint8

// States in truth lines.
const (
	Healthy State = iota
	Gray
	Failed
	Starting
)

var stateNames = [...]string{"healthy", "gray", "failed", "starting"}

func (s State) String() string { return stateNames[s] }

// unhealthy reports whether a target in this state should be ejected.
func (s State) unhealthy() bool { return s == Gray || s == Failed }

func parseState(s string) (State, error) {
	for i, name := range stateNames {
		if name == s {
			return State(i), nil
		}
	}
	return 0, fmt.Errorf("unknown state %q, want healthy, gray, failed or starting", s)
}

// TargetInfo is a target in the header.
type TargetInfo struct {
	ID    string `json:"id"`
	Zone  string `json:"zone"`
	Slots int    `json:"slots"`
}

// NodeInfo is a node in the header.
type NodeInfo struct {
	ID   string `json:"id"`
	Zone string `json:"zone"`
}

// Kind is the type of an event.
type Kind uint8

// Kinds of events.
const (
	Start Kind = iota
	End
	Probe
	Truth
)

// Event is one line after the header. Kind determines which fields are set.
type Event struct {
	At         time.Duration
	Latency    time.Duration // End, Probe
	ID         uint64        // Start, End
	Target     int32         // index in Trace.Targets; Start, Probe, Truth
	Node       int32         // index in Trace.Nodes; Start, Probe
	Kind       Kind
	Class      fleet.Class    // Start
	Idempotent bool           // Start
	Outcome    health.Outcome // End
	OK         bool           // Probe
	State      State          // Truth
}

// Trace is a header with its events in order of time.
type Trace struct {
	File     string // name used in reports
	Service  string
	Floor    int
	Duration time.Duration
	Targets  []TargetInfo
	Nodes    []NodeInfo
	Events   []Event
}

// fromMillis converts milliseconds, the unit of the format.
func fromMillis(ms float64) time.Duration { return time.Duration(math.Round(ms * 1e6)) }

// toMillis converts to milliseconds, rounded to 1 µs.
func toMillis(d time.Duration) float64 { return math.Round(float64(d)/1e3) / 1e3 }
