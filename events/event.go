package events

import (
	"fmt"
	"time"
)

// Kind is what an event reports.
type Kind uint8

// Kinds of events.
const (
	Ejection Kind = iota // the fleet withholds a target
	Recovery             // an ejected target takes its full share again
	Health               // another decision of the health core
	Refusal              // a request ended without having been run
	Failure              // a request was run, or may have been, and not answered whole
	Retry                // a request was answered after more than one attempt
	Drain                // a drain of a target began or ended
	Manifest             // a mandate was published or withdrawn
	Join                 // a node joined
	Leave                // a node left or was found dead
	Link                 // a link fault between this node and another began or ended
	NumKinds
)

var kindNames = [NumKinds]string{
	"ejection", "return", "health", "refusal", "failure", "retry", "drain", "manifest", "join", "leave", "link",
}

// String returns the name used in queries and reports.
func (k Kind) String() string {
	if k < NumKinds {
		return kindNames[k]
	}
	return fmt.Sprintf("kind(%d)", k)
}

// UnknownKindError reports a name that is no kind.
type UnknownKindError struct{ Name string }

// Error implements error.
func (e *UnknownKindError) Error() string {
	return fmt.Sprintf("unknown kind %.40q, want one of %v", e.Name, kindNames)
}

// ParseKind returns the kind with the given name, or an *UnknownKindError.
func ParseKind(name string) (Kind, error) {
	for i, n := range kindNames {
		if n == name {
			return Kind(i), nil
		}
	}
	return 0, &UnknownKindError{name}
}

// MarshalText implements encoding.TextMarshaler.
func (k Kind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (k *Kind) UnmarshalText(b []byte) error {
	v, err := ParseKind(string(b))
	if err != nil {
		return err
	}
	*k = v
	return nil
}

// ofRequest reports whether events of the kind concern a single request.
func (k Kind) ofRequest() bool { return k == Refusal || k == Failure || k == Retry }

// Event is one entry of a Log.
type Event struct {
	Seq      uint64    `json:"seq"` // order within the node's process
	Time     time.Time `json:"time"`
	Kind     Kind      `json:"kind"`
	Node     string    `json:"node"` // node that noted the event
	Service  string    `json:"service,omitempty"`
	Target   string    `json:"target,omitempty"` // instance ID, mandate or node, by kind
	Reason   string    `json:"reason"`
	Evidence string    `json:"evidence,omitempty"`
	Version  int64     `json:"version"` // configuration in force
	Request  string    `json:"request,omitempty"`
	Hop      string    `json:"hop,omitempty"` // entry, home or host
}
