package membership

import "hyssopbridge/fleet"

// Status is the liveness status of a member.
type Status uint8

// Statuses. Within an incarnation and refutation, a later one replaces an
// earlier one.
const (
	Alive Status = iota
	Suspect
	Dead
	Left // announced by the node itself
)

// String returns the name used in reports.
func (s Status) String() string {
	return [...]string{"alive", "suspect", "dead", "left"}[s&3]
}

// Kind is the purpose of a Message.
type Kind uint8

// Kinds of messages.
const (
	Ping         Kind = iota + 1
	Ack               // response to Ping
	PingRequest       // asks the receiver to probe Target
	IndirectAck       // Target responded to a probe by the sender
	Push              // new updates
	StateRequest      // requests the table after Cursor
	State             // page of the table, or records that the receiver lacks
	Busy              // refuses a StateRequest and names other nodes
	Fetch             // requests the records of IDs
	Digest            // hash of each bucket of the table
	Summary           // versions of the members in a differing bucket
)

// Message is the unit of communication between cores.
type Message struct {
	_       struct{} `cbor:",toarray"`
	Kind    Kind
	From    Sender
	Number  uint64 // number of the probe; nonzero in the pages of a transfer
	Target  string // node ID to probe
	Addr    string // control address of Target
	Cursor  string // ID after which a page starts
	More    bool   // there are further pages after Cursor
	Updates []Update
	IDs     []string
	Hashes  []uint64 // of the digest, by bucket
	Bucket  int
	Known   []Version
}

// Sender identifies the sender of a Message.
type Sender struct {
	_           struct{} `cbor:",toarray"`
	ID          string
	Incarnation int64
	Addr        string // control address
}

// Content says which instances an Update carries.
type Content uint8

// Kinds of content.
const (
	NoContent Content = iota // none; the receiver fetches them if Seq is new to it
	Delta                    // the instances that changed after Base
	Full                     // all instances
)

// Update is the state of a member as the sender knows it.
type Update struct {
	_           struct{} `cbor:",toarray"`
	ID          string
	Incarnation int64
	Refutation  int64
	Status      Status
	AgeMS       int64 // time since death, for Dead and Left
	Seq         int64
	Base        int64
	Leaving     bool
	Content     Content
	PeerAddr    string
	ControlAddr string
	Zone        string
	Region      string
	Instances   []InstanceUpdate
}

// removed is the state of an instance that its node no longer lists.
const removed fleet.InstanceState = 255

// InstanceUpdate is an instance in an Update.
type InstanceUpdate struct {
	_           struct{} `cbor:",toarray"`
	ID          string
	Service     string
	Incarnation int64
	Slots       int
	Connections int
	State       fleet.InstanceState
	Seq         int64
	At          int64 // sequence of the node's record at the last change
}

// Version is the version of a member in a Summary.
type Version struct {
	_           struct{} `cbor:",toarray"`
	ID          string
	Incarnation int64
	Refutation  int64
	Status      Status
	Seq         int64
	Leaving     bool
}

// Outgoing is a message to send. A reply may be returned in the response to the
// message that caused it.
type Outgoing struct {
	Node  string // empty when only the address is known
	Addr  string // control address
	Reply bool
	Msg   *Message
}

// Upper bounds of the encoded sizes without strings, in bytes.
const (
	updateBytes   = 60
	instanceBytes = 44
)

func (u *Update) size() int {
	n := updateBytes + len(u.ID) + len(u.PeerAddr) + len(u.ControlAddr) + len(u.Zone) + len(u.Region)
	return n + instancesSize(u.Instances)
}

func instancesSize(list []InstanceUpdate) int {
	n := 0
	for i := range list {
		n += instanceBytes + len(list[i].ID) + len(list[i].Service)
	}
	return n
}
