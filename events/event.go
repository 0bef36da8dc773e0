package events

import (
	"fmt"
	"time"
)

// Kind is the kind of an event.
type Kind uint8

// Event kinds.
const (
	Ejection Kind = iota // a target was ejected
	Recovery             // an ejected target gets its full share of requests again
	Health               // another decision of the failure detector
	Refusal              // a request ended without being run
	Failure              // a request was run, or may have been, without a complete response
	Retry                // a request was answered after more than one attempt
	Drain                // a drain of a target started or ended
	Manifest             // a mandate was published or withdrawn
	Join                 // a node joined
	Leave                // a node left or was declared dead
	Link                 // a link fault between this node and another started or ended
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

// UnknownKindError reports a name that is not the name of a Kind.
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

// isRequestKind reports whether events of the kind are about a single request.
func (k Kind) isRequestKind() bool { return k == Refusal || k == Failure || k == Retry }

// Event is one entry of a Log.
type Event struct {
	Seq      uint64    `json:"seq"` // sequence number within the node's process
	Time     time.Time `json:"time"`
	Kind     Kind      `json:"kind"`
	Node     string    `json:"node"` // node that recorded the event
	Service  string    `json:"service,omitempty"`
	Target   string    `json:"target,omitempty"` // ID of a target, mandate or node, depending on the kind
	Reason   string    `json:"reason"`
	Evidence string    `json:"evidence,omitempty"`
	Version  int64     `json:"version"` // version of the configuration in force
	Request  string    `json:"request,omitempty"`
	Hop      string    `json:"hop,omitempty"` // entry, home or host
}
