package routing

import (
	"net/textproto"
	"strings"
	"time"

	"hyssopbridge/config/manifest"
	"hyssopbridge/fleet"
)

// Service holds the settings of a manifest's service that are needed to handle
// requests.
type Service struct {
	Name        string
	Mandate     string
	Term        int64
	Holder      string
	Floor       int // minimum number of targets that ejection leaves in service
	Prefer      manifest.Preference
	Slots       int // upper bound on the slots of one target
	Connections int // upper bound on the connections of one target
	Queue       int // maximum requests waiting at one target
	Objective   manifest.Objective
	Routes      []*Route
	Classes     [fleet.NumClasses]bool // classes that the routes use
}

// Route returns the route of s with the given name.
func (s *Service) Route(name string) (*Route, bool) {
	for _, r := range s.Routes {
		if r.Name == name {
			return r, true
		}
	}
	return nil, false
}

// Route is a route prepared for matching requests. It is immutable.
type Route struct {
	Service        *Service
	Name           string
	ID             string   // "service/route", the value of Hb-Route
	Host           string   // lower case; empty for any
	Path           string   // normalized; for a prefix, up to and including the last slash
	Prefix         bool     // whether Path is a prefix
	Methods        []string // empty for any
	Class          fleet.Class
	Idempotent     bool
	Timeout        time.Duration  // total; for downloads, to the first byte
	StallTimeout   time.Duration  // longest gap between body bytes
	MaxBodyBytes   int64          // maximum size of a request body
	Rate           *manifest.Rate // per customer; nil for none
	CustomerHeader string         // canonical header name
}

// RouteID returns the ID of a route.
func RouteID(service, route string) string { return service + "/" + route }

func newService(m *manifest.Manifest, s *manifest.Service) *Service {
	return &Service{
		Name:        s.Name,
		Mandate:     m.Mandate,
		Term:        m.Term,
		Holder:      m.Holder,
		Floor:       s.Floor,
		Prefer:      s.Prefer,
		Slots:       s.Slots,
		Connections: s.Connections,
		Queue:       s.Queue,
		Objective:   s.Objective,
	}
}

func newRoute(svc *Service, r *manifest.Route) (*Route, error) {
	out := &Route{
		Service:        svc,
		Name:           r.Name,
		ID:             RouteID(svc.Name, r.Name),
		Host:           strings.ToLower(canonicalHost(r.Host)),
		Methods:        r.Methods,
		Class:          r.Class,
		Idempotent:     r.Idempotent,
		Timeout:        time.Duration(r.TimeoutMS) * time.Millisecond,
		StallTimeout:   time.Duration(r.StallTimeoutMS) * time.Millisecond,
		MaxBodyBytes:   r.MaxBodyBytes,
		Rate:           r.Rate,
		CustomerHeader: textproto.CanonicalMIMEHeaderKey(r.CustomerHeader),
	}
	return out, out.setPath(r.Path)
}

func (r *Route) setPath(pattern string) error {
	path := pattern
	if strings.HasSuffix(pattern, "/*") {
		r.Prefix = true
		path = strings.TrimSuffix(pattern, "*")
	}
	if strings.Contains(path, "*") {
		return newPathError("'*' is allowed only as the last segment", strings.Index(path, "*"))
	}
	path, err := Normalize(path)
	if err != nil {
		return err
	}
	if r.Prefix && strings.Count(path, "/") > maxPrefixDepth {
		return newPathError("prefix has too many segments", 0)
	}
	r.Path = path
	return nil
}

// canonicalHost removes the port and a final dot.
func canonicalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && strings.IndexByte(host[i:], ']') < 0 {
		host = host[:i]
	}
	return strings.TrimSuffix(host, ".")
}
