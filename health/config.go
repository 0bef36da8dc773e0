package health

import (
	"time"

	"hyssopbridge/config/manifest"
	"hyssopbridge/fleet"
)

// Config configures the Detector of one service.
type Config struct {
	Service string
	Prefer  manifest.Preference // default manifest.PreferService
	Floor   int                 // minimum number of targets that ejection leaves in service
	Seed    uint64              // seed of the jitter of trial times
}

// RequestStart is a request that an entry node sent to a target.
type RequestStart struct {
	ID         uint64 // unique among the open requests of the service
	Node       string // entry node
	Zone       string // availability zone of the entry node
	Target     string
	Class      fleet.Class
	Idempotent bool
}

// Outcome is how a request ended.
type Outcome uint8

// Outcomes of requests.
const (
	OK Outcome = iota
	Error
	Timeout
	Truncated
	Shed
)

var outcomeNames = [...]string{"ok", "error", "timeout", "truncated", "shed"}

// String returns the name used in traces.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "unknown"
}

// ParseOutcome returns the outcome with the given trace name; ok is false for
// an unknown name.
func ParseOutcome(s string) (o Outcome, ok bool) {
	for i, name := range outcomeNames {
		if name == s {
			return Outcome(i), true
		}
	}
	return 0, false
}

// failure reports whether the outcome is a failed response.
func (o Outcome) failure() bool { return o == Error || o == Timeout || o == Truncated }

// RequestEnd is the outcome of a request passed to ObserveStart.
type RequestEnd struct {
	ID      uint64
	Outcome Outcome
	Latency time.Duration
}

// ProbeResult is the result of a health check request.
type ProbeResult struct {
	Node    string
	Target  string
	OK      bool
	Latency time.Duration
}

// Target is one announced instance of the service.
type Target struct {
	ID    string
	Zone  string
	Slots int
	State fleet.InstanceState
}
