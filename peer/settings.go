package peer

import (
	"net"
	"time"
)

// Limits of the protocol.
const (
	MaxMessageBytes  = 1 << 20
	PenaltyDuration  = time.Second // refusal of a sender that exceeded a limit
	MaxConnectionAge = time.Hour   // after which a server closes a connection
	// MaxConcurrentCalls bounds the calls in progress on one connection.
	MaxConcurrentCalls = 64
	// connectionBufferBytes is the size of each read and write buffer. The
	// default of 32 KiB would take 64 KiB for each of several hundred
	// connections.
	connectionBufferBytes = 4 << 10
)

// Settings configures the transport. Zero fields take the stated defaults.
type Settings struct {
	CertFile string // certificate chain, PEM; plain text is used if no file is set
	KeyFile  string // private key, PEM
	CAFile   string // certificate authorities of the fleet, PEM
	// AllowPlainText allows plain text on addresses that are not loopback.
	AllowPlainText       bool
	ReloadInterval       time.Duration // time between checks for changed files; default 1 s
	MessagesPerSecond    int           // limit per sender; default 200
	MaxConnections       int           // open at a server; default 4096
	MaxCachedConnections int           // cached by a client; default 512
	IdleTimeout          time.Duration // after which a client closes an unused connection; default 30 s
	DialTimeout          time.Duration // default 1 s
	CallTimeout          time.Duration // for calls whose context has no deadline; default 2 s
}

func (s Settings) withDefaults() Settings {
	setDefault(&s.ReloadInterval, time.Second)
	setDefault(&s.MessagesPerSecond, 200)
	setDefault(&s.MaxConnections, 4096)
	setDefault(&s.MaxCachedConnections, 512)
	setDefault(&s.IdleTimeout, 30*time.Second)
	setDefault(&s.DialTimeout, time.Second)
	setDefault(&s.CallTimeout, 2*time.Second)
	return s
}

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

func (s Settings) useTLS() bool { return s.CertFile != "" || s.KeyFile != "" || s.CAFile != "" }

// checkPlainText returns an error of kind ErrPlainText if addr must not be used
// without TLS.
func (s Settings) checkPlainText(addr string) error {
	if s.useTLS() || s.AllowPlainText || isLoopback(addr) {
		return nil
	}
	return &Error{Kind: ErrPlainText, Addr: addr}
}

func isLoopback(addr string) bool {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}

// Local describes this node in the headers it sends.
type Local struct {
	Node        string
	Incarnation int64 // process start, Unix ms
	// Progress returns the configuration version and the log progress; if it is
	// nil, zeros are sent. It must be safe for concurrent use.
	Progress func() Progress
	// OnHeader, if not nil, receives the header of each accepted envelope. It
	// must be safe for concurrent use and must not block.
	OnHeader func(from Identity, h Header)
	// OnTraffic, if not nil, receives the body sizes of each call, as client
	// and as server, in bytes. It must be safe for concurrent use and must not
	// block.
	OnTraffic func(method string, received, sent int)
}

// Progress is the configuration and log state of a node.
type Progress struct {
	ConfigVersion int64 // last log offset applied to the configuration
	LogOffset     int64 // last offset read from the log
	LogAgeMS      int64 // time since that read
}

func (l Local) header(method string) Header {
	h := Header{Node: l.Node, Incarnation: l.Incarnation, Method: method}
	if l.Progress != nil {
		h.Progress = l.Progress()
	}
	return h
}

func (l Local) notifyHeader(from Identity, h Header) {
	if l.OnHeader != nil {
		l.OnHeader(from, h)
	}
}

func (l Local) notifyTraffic(method string, received, sent int) {
	if l.OnTraffic != nil {
		l.OnTraffic(method, received, sent)
	}
}

// Identity is the sender of a message.
type Identity struct {
	Node        string
	Incarnation int64  // Unix ms
	Addr        string // remote IP:port of the connection
	Verified    bool   // the certificate contains the node ID
}
