package operator

import "time"

// MaxItems bounds each list of a Status.
const MaxItems = 500

// StatusQuery selects a part of the Status. Empty fields select everything.
type StatusQuery struct {
	Service string
	Target  string
	Limit   int // items of each list; default and maximum MaxItems
}

// ItemLimit returns the maximum length of each list.
func (q *StatusQuery) ItemLimit() int {
	if q.Limit <= 0 || q.Limit > MaxItems {
		return MaxItems
	}
	return q.Limit
}

// Status is one node's view of the fleet. Ages are in ms; -1 means that the part
// was never received.
type Status struct {
	Node          string    `json:"node"`
	Time          time.Time `json:"time"`
	UptimeMS      int64     `json:"uptime_ms"`
	Leaving       bool      `json:"leaving"`
	ConfigVersion int64     `json:"config_version"`
	LogOffset     int64     `json:"log_offset"` // offset up to which the fleet is known to have read the log
	LogAgeMS      int64     `json:"log_age_ms"`
	LogReader     bool      `json:"log_reader"`   // this node reads the log for its region
	HeardAgeMS    int64     `json:"heard_age_ms"` // since the last message of any peer
	Totals        Totals    `json:"totals"`
	Nodes         []Node    `json:"nodes"`
	Services      []Service `json:"services"`
	Targets       []Target  `json:"targets"` // without ready targets, unless the query names a service or target
	Mandates      []Mandate `json:"mandates"`
	Omitted       Omitted   `json:"omitted"`
}

// Totals counts the whole fleet, including items omitted from the lists.
type Totals struct {
	Nodes          int `json:"nodes"`
	NodesBehind    int `json:"nodes_behind"`
	NodesUnhealthy int `json:"nodes_unsound"` // suspect, dead, leaving, or with a link fault
	NodesLeft      int `json:"nodes_left"`    // left within the last hour; not listed in Nodes
	Services       int `json:"services"`
	AtFloor        int `json:"services_at_floor"`
	Targets        int `json:"targets"`
	Ejected        int `json:"targets_ejected"`
	Clamped        int `json:"targets_gray"`
	Draining       int `json:"targets_draining"`
	Down           int `json:"targets_down"`
	Cold           int `json:"targets_cold"`
	Mandates       int `json:"mandates"`
	Withdrawn      int `json:"mandates_withdrawn"`
	LeasesHeld     int `json:"leases_held"` // by this node
	// WithoutGroup counts the services without a home group.
	WithoutGroup int `json:"services_without_group"`
}

// Omitted counts the items left out of each list because of its maximum length.
type Omitted struct {
	Nodes    int `json:"nodes"`
	Services int `json:"services"`
	Targets  int `json:"targets"`
	Mandates int `json:"mandates"`
}

// Any reports whether any item was omitted.
func (o Omitted) Any() bool { return o != Omitted{} }

// Node is a node of the fleet.
type Node struct {
	ID            string `json:"id"`
	Zone          string `json:"zone"`
	Region        string `json:"region"`
	Incarnation   int64  `json:"incarnation"` // process start, Unix ms
	State         string `json:"state"`       // alive, suspect, leaving or dead
	LinkFault     bool   `json:"link_fault"`  // unreachable from this node, reachable from others
	ConfigVersion int64  `json:"config_version"`
	Lag           int64  `json:"lag"`          // log offsets behind the newest version known here; -1: unknown
	HeardAgeMS    int64  `json:"heard_age_ms"` // since the last message of the node
}

// Service is a service of a live mandate, or one that only has announced targets.
type Service struct {
	Name      string `json:"name"`
	Mandate   string `json:"mandate,omitempty"` // empty if no live mandate has the service
	Floor     int    `json:"floor"`
	Prefer    string `json:"prefer,omitempty"`
	Announced int    `json:"announced"`
	InService int    `json:"in_service"` // ready and reachable from this node
	Ejected   int    `json:"withheld"`
	Clamped   int    `json:"clamped"` // ejected, but the floor keeps them in service
	AtFloor   bool   `json:"at_floor"`
	Epoch     int64  `json:"epoch"` // of the home group; 0 if there is none
	Members   int    `json:"members"`
	Arbiter   string `json:"arbiter,omitempty"`
	Lease     string `json:"lease"` // held (by this node), elsewhere, unconfirmed or none
	ListEpoch int64  `json:"list_epoch"`
	ListSeq   int64  `json:"list_seq"`
	ListAgeMS int64  `json:"list_age_ms"` // since the ejection list was received
}

// Target is one running copy of a service.
type Target struct {
	ID           string `json:"id"`
	Service      string `json:"service"`
	Node         string `json:"node"`
	Zone         string `json:"zone"`
	Condition    string `json:"condition"` // one of the Condition constants
	Reason       string `json:"reason,omitempty"`
	SinceMS      int64  `json:"since_ms"` // age of the ejection; -1: not ejected
	TrialPercent int    `json:"trial_percent"`
}

// Conditions of a target.
const (
	ConditionReady    = "ready"
	ConditionClamped  = "gray"     // ejected, but the floor keeps it in service
	ConditionEjected  = "ejected"  // gets no requests
	ConditionTrial    = "trial"    // ejected, with a limited share of trial requests
	ConditionDraining = "draining" // takes no new requests
	ConditionDown     = "down"     // no longer announced
	ConditionCold     = "cold"     // in cold start, with reduced capacity
)

// Mandate is a mandate, live or withdrawn.
type Mandate struct {
	Name      string `json:"name"`
	Holder    string `json:"holder"`
	Term      int64  `json:"term"`
	Revision  int64  `json:"revision"`
	Services  int    `json:"services"`
	Withdrawn bool   `json:"withdrawn"`
	Reason    string `json:"reason,omitempty"`
}
