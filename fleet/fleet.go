package fleet

import "fmt"

// Class is the kind of work a route carries. Under load, background work is
// refused first and orders last.
type Class uint8

// Request classes, in the order in which they are refused under load.
const (
	Background Class = iota
	Download
	Interactive
	Order
)

// NumClasses is the number of request classes.
const NumClasses = 4

var classNames = [NumClasses]string{"background", "download", "interactive", "order"}

// String returns the manifest's name of the class.
func (c Class) String() string {
	if int(c) < len(classNames) {
		return classNames[c]
	}
	return fmt.Sprintf("class(%d)", c)
}

// ParseClass returns the class with the given manifest name.
func ParseClass(s string) (Class, error) {
	for i, name := range classNames {
		if name == s {
			return Class(i), nil
		}
	}
	return 0, fmt.Errorf("unknown class %q, want background, download, interactive or order", s)
}

// MarshalText implements encoding.TextMarshaler.
func (c Class) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (c *Class) UnmarshalText(b []byte) error {
	v, err := ParseClass(string(b))
	if err != nil {
		return err
	}
	*c = v
	return nil
}

// InstanceState is what a target announces about itself.
type InstanceState uint8

// Instance states.
const (
	Cold     InstanceState = iota // started recently; takes a reduced share of work
	Ready                         // takes a full share of work
	Draining                      // takes no new work
	Down                          // silent for longer than the announcement timeout
)

// String returns the name used in announcements and reports.
func (s InstanceState) String() string {
	switch s {
	case Cold:
		return "cold"
	case Ready:
		return "ready"
	case Draining:
		return "leaving"
	default:
		return "down"
	}
}

// Instance is one announced copy of a target.
type Instance struct {
	ID          string        // unique within the fleet
	Service     string        // service name of the manifest
	Incarnation int64         // start of the announcement series, in Unix ms
	Slots       int           // requests that may run at once
	Connections int           // connections that may be open at once
	State       InstanceState // last announced state
	Seq         int64         // raised on every change of the record
}

// Node identifies one running node process.
type Node struct {
	ID          string // host name of the node; stable over restarts
	Incarnation int64  // process start, in Unix ms
	PeerAddr    string // IP:port for requests from other nodes
	ControlAddr string // IP:port for control messages from other nodes
	Zone        string // availability zone
	Region      string
}

// NodeRecord is what the fleet knows about a node.
type NodeRecord struct {
	Node
	Seq       int64 // raised by the node on every change of its record
	Leaving   bool  // the node is shutting down
	Instances []Instance
}

// Endpoint is an instance together with the node beside it.
type Endpoint struct {
	Instance
	Node Node
}

// Member is a node in one incarnation, as named in a home group.
type Member struct {
	Node        string
	Incarnation int64 // Unix ms
}

// HomeGroup is the set of nodes that may act as home for keyed orders of a
// service, or as its arbiter, in one epoch.
type HomeGroup struct {
	Service string
	Epoch   int64 // offset of the log record that set the group
	Members []Member
}

// Ejection is one entry of an EjectionList.
type Ejection struct {
	Target  string  // instance ID
	Weight  float64 // evidence of being unhealthy; a higher value is ejected first
	Trial   float64 // share of idempotent work admitted while returning, 0 to 1
	Reason  string
	SinceMS int64 // Unix ms of the decision
}

// EjectionList holds the ejected targets of one service, worst first. A list
// replaces another when its (Epoch, Seq) is higher.
type EjectionList struct {
	Service string
	Epoch   int64 // epoch of the arbiter's lease
	Seq     int64
	Entries []Ejection
}
