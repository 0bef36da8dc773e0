package static

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"time"

	"github.com/tailscale/hujson"
)

// Bounds of numeric settings.
const (
	maxConnectionsLimit = 1_000_000
	minHeaderBytes      = 1 << 10
	maxHeaderBytes      = 1 << 20
	maxDrainLimit       = 24 * time.Hour
	maxLogRetention     = 10 * 365 * 24 * time.Hour
	maxTimeout          = 10 * time.Minute
)

// check returns a Problem for every setting that is missing or invalid.
func (d *document) check(s *Settings) []error {
	c := checker{doc: d}
	c.name("node", s.Node)
	c.name("zone", s.Zone)
	c.name("region", s.Region)
	c.addresses(s)
	c.logURL(s.Log)
	c.tlsFiles("tls", s.TLS, false)
	c.tlsFiles("peer_tls", s.PeerTLS, true)
	c.peerEncryption(s)
	c.file("operator_token_file", s.OperatorTokenFile)
	c.number("max_connections", s.MaxConnections, 1, maxConnectionsLimit)
	c.number("max_per_caller", s.MaxPerCaller, 1, maxConnectionsLimit)
	c.number("max_header_bytes", s.MaxHeaderBytes, minHeaderBytes, maxHeaderBytes)
	c.duration("drain_limit", s.DrainLimit, time.Second, maxDrainLimit)
	c.duration("log_retention", s.LogRetention, time.Minute, maxLogRetention)
	c.duration("header_timeout", s.HeaderTimeout, 100*time.Millisecond, maxTimeout)
	c.duration("body_idle_timeout", s.BodyIdleTimeout, 100*time.Millisecond, maxTimeout)
	c.logLevel(s.LogLevel)
	if (s.TraceFile == "") != (s.TraceService == "") {
		c.fail("trace_file", "trace_file and trace_service must be set together")
	}
	return c.problems
}

// checker collects the problems of a settings file.
type checker struct {
	doc      *document
	problems []error
}

// fail records a problem with a key, with its line if the file contains the key.
func (c *checker) fail(key, format string, args ...any) {
	p := Problem{File: c.doc.file, Key: key, Text: fmt.Sprintf(format, args...)}
	if offset, ok := c.doc.keyOffset(key); ok {
		p.Line = c.doc.line(offset)
	}
	c.problems = append(c.problems, p)
}

// keyOffset returns the byte offset of a top-level key.
func (d *document) keyOffset(key string) (offset int, ok bool) {
	obj, isObject := d.root.Value.(*hujson.Object)
	if !isObject {
		return 0, false
	}
	for i := range obj.Members {
		if obj.Members[i].Name.Value.(hujson.Literal).String() == key {
			return obj.Members[i].Name.StartOffset, true
		}
	}
	return 0, false
}

func (c *checker) name(key, v string) {
	if v == "" {
		c.fail(key, "required")
		return
	}
	for _, r := range v {
		if r <= ' ' || r > '~' {
			c.fail(key, "%q has a character outside printable ASCII", v)
			return
		}
	}
}

func (c *checker) addresses(s *Settings) {
	used := map[string]string{}
	for _, a := range []struct{ key, value string }{
		{"listen", s.Listen}, {"peer", s.Peer}, {"control", s.Control},
		{"announce", s.Announce}, {"operator", s.Operator},
	} {
		c.address(a.key, a.value)
		if other, duplicate := used[a.value]; duplicate && a.value != "" && portOf(a.value) != 0 {
			c.fail(a.key, "address %s is also used by %s", a.value, other)
		}
		used[a.value] = a.key
	}
	for _, join := range s.Join {
		c.address("join", join)
	}
	if !loopback(s.Announce) {
		c.fail("announce", "%s is not a loopback address", s.Announce)
	}
	if !loopback(s.Operator) && s.OperatorTokenFile == "" {
		c.fail("operator", "%s is not a loopback address and operator_token_file is not set", s.Operator)
	}
}

func (c *checker) address(key, v string) {
	if v == "" {
		c.fail(key, "required")
		return
	}
	if _, err := netip.ParseAddrPort(v); err != nil {
		c.fail(key, "%q is not IP:port", v)
	}
}

// portOf returns the port of an IP:port, or 0 if it is invalid.
func portOf(v string) uint16 {
	a, err := netip.ParseAddrPort(v)
	if err != nil {
		return 0
	}
	return a.Port()
}

// loopback reports whether v is a loopback address. It also returns true for an
// invalid address, which checker.address reports.
func loopback(v string) bool {
	a, err := netip.ParseAddrPort(v)
	return err != nil || a.Addr().IsLoopback()
}

func (c *checker) logURL(v string) {
	if v == "" {
		c.fail("log", "required")
		return
	}
	u, err := url.Parse(v)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		c.fail("log", "%q is not an http or https URL", v)
	}
}

func (c *checker) tlsFiles(key string, t *TLS, needCA bool) {
	if t == nil {
		return
	}
	c.requiredFile(key, "cert", t.Cert)
	c.requiredFile(key, "key", t.Key)
	if needCA || t.CA != "" {
		c.requiredFile(key, "ca", t.CA)
	}
}

func (c *checker) requiredFile(key, sub, path string) {
	if path == "" {
		c.fail(key, "%s: required", sub)
		return
	}
	c.file(key, path)
}

func (c *checker) file(key, path string) {
	if path == "" {
		return
	}
	if _, err := os.Stat(path); err != nil {
		c.fail(key, "%v", err)
	}
}

// peerEncryption refuses unencrypted traffic between nodes on addresses other than
// loopback, unless the settings allow it.
func (c *checker) peerEncryption(s *Settings) {
	if s.PeerTLS != nil || s.AllowPlainPeers {
		return
	}
	for _, a := range []struct{ key, value string }{{"peer", s.Peer}, {"control", s.Control}} {
		if !loopback(a.value) {
			c.fail(a.key, "%s is not a loopback address; set peer_tls or allow_plain_peers", a.value)
		}
	}
}

func (c *checker) number(key string, v, low, high int) {
	if v < low || v > high {
		c.fail(key, "%d is outside %d to %d", v, low, high)
	}
}

func (c *checker) duration(key string, v Duration, low, high time.Duration) {
	if v.Std() < low || v.Std() > high {
		c.fail(key, "%v is outside %v to %v", v.Std(), low, high)
	}
}

func (c *checker) logLevel(v string) {
	switch v {
	case "debug", "info", "warn", "error":
	default:
		c.fail("log_level", "%q is not debug, info, warn or error", v)
	}
}
