package static

import "time"

// Settings holds the settings of one node. Durations are strings such as "10s".
type Settings struct {
	Node   string `json:"node"`             // host name of the node; required
	Zone   string `json:"zone"`             // availability zone; required
	Region string `json:"region,omitempty"` // default "default"

	Listen   string `json:"listen"`             // IP:port for callers; required
	Peer     string `json:"peer"`               // IP:port for requests from other nodes; required
	Control  string `json:"control"`            // IP:port for control messages from other nodes; required
	Announce string `json:"announce,omitempty"` // IP:port for target announcements, loopback only; default "127.0.0.1:7400"
	Operator string `json:"operator,omitempty"` // IP:port of the operator listener; default "127.0.0.1:7401"

	Join []string `json:"join,omitempty"` // control addresses of other nodes; default none
	Log  string   `json:"log"`            // base URL of the platform's log; required

	LogRetention Duration `json:"log_retention,omitempty"` // how long the log keeps records; the same on all nodes; default "24h"

	TLS               *TLS   `json:"tls,omitempty"`                 // TLS for callers; absent for plain HTTP
	PeerTLS           *TLS   `json:"peer_tls,omitempty"`            // mutual TLS between nodes; may be absent on loopback addresses only
	AllowPlainPeers   bool   `json:"allow_plain_peers"`             // allows unencrypted traffic between nodes on non-loopback addresses; default false
	OperatorTokenFile string `json:"operator_token_file,omitempty"` // file with the token required for requests that change state; default none, which is allowed on a loopback address only

	DrainLimit      Duration `json:"drain_limit,omitempty"`       // maximum wait for requests in flight on shutdown; default "10m"
	MaxConnections  int      `json:"max_connections,omitempty"`   // maximum caller connections; default 10000
	MaxPerCaller    int      `json:"max_per_caller,omitempty"`    // maximum caller connections from one IP; default 1000
	MaxHeaderBytes  int      `json:"max_header_bytes,omitempty"`  // maximum size of a request's header section; default 32768
	HeaderTimeout   Duration `json:"header_timeout,omitempty"`    // maximum time to receive the header section; default "5s"
	BodyIdleTimeout Duration `json:"body_idle_timeout,omitempty"` // longest gap between body bytes from a caller; default "10s"

	LogLevel string `json:"log_level,omitempty"` // debug, info, warn or error; default "info"

	// TraceFile and TraceService record this node's traffic for one service, at
	// most 1 min and 16 MiB, as input for hyssopctl replay; default none.
	TraceFile    string `json:"trace_file,omitempty"`
	TraceService string `json:"trace_service,omitempty"`
}

// TLS names certificate and key files, which are reloaded when they change.
type TLS struct {
	Cert string `json:"cert"`         // certificate file, PEM
	Key  string `json:"key"`          // key file, PEM
	CA   string `json:"ca,omitempty"` // CA file that peer certificates must chain to, PEM; required between nodes
}

// Duration is a time.Duration written as a string such as "1.5s".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

const (
	defaultRegion         = "default"
	defaultAnnounce       = "127.0.0.1:7400"
	defaultOperator       = "127.0.0.1:7401"
	defaultDrainLimit     = Duration(10 * time.Minute)
	defaultMaxConnections = 10_000
	defaultMaxPerCaller   = 1_000
	defaultMaxHeaderBytes = 32 << 10
	defaultHeaderTimeout  = Duration(5 * time.Second)
	defaultBodyIdle       = Duration(10 * time.Second)
	defaultLogRetention   = Duration(24 * time.Hour)
	defaultLogLevel       = "info"
)

// SetDefaults sets optional fields that are absent to their defaults.
func (s *Settings) SetDefaults() {
	setDefault(&s.Region, defaultRegion)
	setDefault(&s.Announce, defaultAnnounce)
	setDefault(&s.Operator, defaultOperator)
	setDefault(&s.DrainLimit, defaultDrainLimit)
	setDefault(&s.MaxConnections, defaultMaxConnections)
	setDefault(&s.MaxPerCaller, defaultMaxPerCaller)
	setDefault(&s.MaxHeaderBytes, defaultMaxHeaderBytes)
	setDefault(&s.HeaderTimeout, defaultHeaderTimeout)
	setDefault(&s.BodyIdleTimeout, defaultBodyIdle)
	setDefault(&s.LogRetention, defaultLogRetention)
	setDefault(&s.LogLevel, defaultLogLevel)
}

func setDefault[T comparable](p *T, v T) {
	var zero T
	if *p == zero {
		*p = v
	}
}
