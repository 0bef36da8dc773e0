package fleet

import "fmt"

// Class is the request class of a route. Under load, background requests are
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

// String returns the name of the class in manifests.
func (c Class) String() string {
	if int(c) < len(classNames) {
		return classNames[c]
	}
	return fmt.Sprintf("class(%d)", c)
}

// ParseClass returns the class with the given name in manifests.
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

// InstanceState is the state of a target as its node sees it. It follows from the
// target's announcements, their absence, and an operator's drain command.
type InstanceState uint8

// Instance states.
const (
	Cold     InstanceState = iota // started recently; receives a reduced share of requests
	Ready                         // receives a full share of requests
	Draining                      // receives no new requests
	Down                          // no announcement within the timeout
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

// Instance describes one target, a running copy of a back-end service, as it
// announced itself.
type Instance struct {
	ID          string        // unique in the fleet
	Service     string        // service name in the manifest
	Incarnation int64         // start of its series of announcements, in Unix ms
	Slots       int           // maximum concurrent requests
	Connections int           // maximum open connections
	State       InstanceState // last announced state
	Seq         int64         // incremented on every change of the record
}

// Node identifies one running node process.
type Node struct {
	ID          string // host name; the same after a restart
	Incarnation int64  // process start, in Unix ms
	PeerAddr    string // IP:port for requests from other nodes
	ControlAddr string // IP:port for control messages from other nodes
	Zone        string // availability zone
	Region      string
}

// NodeRecord is the state of a node that is distributed to the fleet.
type NodeRecord struct {
	Node
	Seq       int64 // incremented by the node on every change of its record
	Leaving   bool  // the node is draining: it is shutting down and takes no new work
	Instances []Instance
}

// Endpoint is an instance and its host node.
type Endpoint struct {
	Instance
	Node Node
}

// Member identifies one incarnation of a node in a home group.
type Member struct {
	Node        string
	Incarnation int64 // Unix ms
}

// HomeGroup is the set of nodes that, in one epoch, may be a home node (which
// keeps the records of keyed orders) or the arbiter (which publishes the ejection
// list) of a service.
type HomeGroup struct {
	Service string
	Epoch   int64 // offset of the log record that defined the group
	Members []Member
}

// Ejection is the entry of one unhealthy target in an EjectionList.
type Ejection struct {
	Target  string  // instance ID
	Weight  float64 // severity of the target's failures; the highest is ejected first
	Trial   float64 // share of idempotent requests that the target gets while it is ejected, 0 to 1
	Reason  string
	SinceMS int64 // time of the decision, in Unix ms
}

// EjectionList holds the unhealthy targets of one service, worst first. A node
// ejects as many of them, from the front, as the floor permits. Of two lists, the
// one with the higher (Epoch, Seq) is in force.
type EjectionList struct {
	Service string
	Epoch   int64 // epoch of the arbiter's lease
	Seq     int64
	Entries []Ejection
}
