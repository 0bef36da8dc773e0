package manifest

import "hyssopbridge/fleet"

// FormatVersion is the manifest format that this package reads.
const FormatVersion = 1

// Preference states whether failure detection for a service favors speed or few
// false ejections.
type Preference string

// Preferences.
const (
	PreferDetection Preference = "detection" // favors a short detection time
	PreferService   Preference = "service"   // favors few false ejections
)

// Manifest is one published document: the services of one mandate.
type Manifest struct {
	Version  int       `json:"version"`           // format version; required, 1
	Mandate  string    `json:"mandate"`           // name of the mandate; required
	Term     int64     `json:"term"`              // incremented when a withdrawn mandate is granted again; required, >= 1
	Holder   string    `json:"holder"`            // company that holds the mandate; required
	Services []Service `json:"services"`          // at least one
	Comment  string    `json:"comment,omitempty"` // free text
}

// Service describes one service, its limits and its routes.
type Service struct {
	Name        string     `json:"name"`
	Floor       int        `json:"floor"`                 // minimum number of targets that ejection leaves in service; default 1
	Prefer      Preference `json:"prefer,omitempty"`      // default "service"
	Slots       int        `json:"slots,omitempty"`       // upper bound on the slots of one target; default 5
	Connections int        `json:"connections,omitempty"` // upper bound on the connections of one target; default 300
	Queue       int        `json:"queue,omitempty"`       // maximum requests waiting at one target; default 2 x slots
	Routes      []Route    `json:"routes"`
	Objective   Objective  `json:"objective"`
}

// Route maps requests to a service.
type Route struct {
	Name           string      `json:"name"`              // unique within the service
	Host           string      `json:"host,omitempty"`    // exact host name; empty for any
	Path           string      `json:"path"`              // exact path, or a prefix that ends in "/*"
	Methods        []string    `json:"methods,omitempty"` // empty for any
	Class          fleet.Class `json:"class"`
	Idempotent     bool        `json:"idempotent"`                // whether a request may be executed more than once
	TimeoutMS      int         `json:"timeout_ms,omitempty"`      // total time in ms; for downloads, time to the first byte; default 10000
	Rate           *Rate       `json:"rate,omitempty"`            // per customer; absent for none
	MaxBodyBytes   int64       `json:"max_body_bytes,omitempty"`  // request body limit in bytes; default 1 MiB
	StallTimeoutMS int         `json:"stall_ms,omitempty"`        // longest gap between body bytes in ms; default 5000
	CustomerHeader string      `json:"customer_header,omitempty"` // header that names the customer; default "Customer-Id"
}

// Rate limits the requests of one customer across the fleet.
type Rate struct {
	PerSecond float64 `json:"per_second"`
	Burst     int     `json:"burst"`
}

// Objective is the service-level objective against which the burn report measures
// the error budget.
type Objective struct {
	Target      float64 `json:"target,omitempty"`       // fraction of good requests; default 0.999
	LatencyMS   int     `json:"latency_ms,omitempty"`   // response time in ms above which a request is late; not for downloads; default 1000
	WindowHours int     `json:"window_hours,omitempty"` // error budget window in hours; default 720
}

// Default values of optional fields.
const (
	DefaultFloor              = 1
	DefaultSlots              = 5
	DefaultConnections        = 300
	DefaultTimeoutMS          = 10_000
	DefaultMaxBodyBytes       = 1 << 20
	DefaultStallTimeoutMS     = 5_000
	DefaultObjectiveTarget    = 0.999
	DefaultObjectiveLatencyMS = 1_000
	DefaultWindowHours        = 720
	DefaultCustomerHeader     = "Customer-Id"
)

// SetDefaults sets optional fields that are absent to their defaults.
func (m *Manifest) SetDefaults() {
	for i := range m.Services {
		m.Services[i].setDefaults()
	}
}

func (s *Service) setDefaults() {
	setInt(&s.Floor, DefaultFloor)
	setInt(&s.Slots, DefaultSlots)
	setInt(&s.Connections, DefaultConnections)
	setInt(&s.Queue, 2*s.Slots)
	if s.Prefer == "" {
		s.Prefer = PreferService
	}
	if s.Objective.Target == 0 {
		s.Objective.Target = DefaultObjectiveTarget
	}
	setInt(&s.Objective.LatencyMS, DefaultObjectiveLatencyMS)
	setInt(&s.Objective.WindowHours, DefaultWindowHours)
	for i := range s.Routes {
		s.Routes[i].setDefaults()
	}
}

func (r *Route) setDefaults() {
	setInt(&r.TimeoutMS, DefaultTimeoutMS)
	setInt(&r.StallTimeoutMS, DefaultStallTimeoutMS)
	if r.MaxBodyBytes == 0 {
		r.MaxBodyBytes = DefaultMaxBodyBytes
	}
	if r.CustomerHeader == "" {
		r.CustomerHeader = DefaultCustomerHeader
	}
}

func setInt(p *int, v int) {
	if *p == 0 {
		*p = v
	}
}
