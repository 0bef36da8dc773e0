package dynamic

import (
	"errors"
	"fmt"
	"net"
	"strings"
	"time"
)

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes   int           // header section of a request
	BodyBytes     int64         // body of a request
	HeaderTimeout time.Duration // from the first byte to the end of the header section
	IdleTimeout   time.Duration // between requests on a kept connection
}

// Service is a group of interchangeable targets.
type Service struct {
	Name        string
	HealthPath  string
	Connections int // connections that one target accepts from all callers
}

// Share is the part of a route's requests that goes to one service.
type Share struct {
	Service string
	Weight  int
}

// Route describes the requests of one host name below one path prefix.
type Route struct {
	Name       string
	Host       string        // lower case, without port
	Prefix     string        // begins and ends with a slash
	Idempotent bool          // a request may run more than once
	Download   bool          // large answers; such routes are idempotent
	Timeout    time.Duration // longest time that a caller is kept waiting
	Objective  time.Duration // time within which an answer is worth its full value
	Priority   int           // 0 is the most urgent
	Attempts   int           // targets that one request may be sent to
	Shares     []Share       // at least one; weights are positive
}

// Config is one version of the configuration.
type Config struct {
	Version  int64
	Services map[string]Service
	Limits   Limits
	routes   map[string]map[string]*Route // host, prefix
	count    int
}

// New checks the parts and returns the configuration. The error joins every
// fault that was found; no configuration is returned with an error.
func New(version int64, services []Service, limits Limits, routes []Route) (*Config, error) {
	c := &Config{
		Version:  version,
		Services: make(map[string]Service, len(services)),
		Limits:   limits,
		routes:   map[string]map[string]*Route{},
	}
	errs := []error{checkHead(version, limits)}
	for _, s := range services {
		if s.Name == "" {
			errs = append(errs, errors.New("service without a name"))
		}
		c.Services[s.Name] = s
	}
	for i := range routes {
		errs = append(errs, c.add(&routes[i]))
	}
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	return c, nil
}

func checkHead(version int64, l Limits) error {
	if version <= 0 {
		return fmt.Errorf("version %d is not positive", version)
	}
	if l.HeaderBytes <= 0 || l.BodyBytes < 0 || l.HeaderTimeout <= 0 || l.IdleTimeout <= 0 {
		return errors.New("limits must be positive")
	}
	return nil
}

func (c *Config) add(r *Route) error {
	if err := c.check(r); err != nil {
		return fmt.Errorf("route %q: %w", r.Name, err)
	}
	r.Host = strings.ToLower(r.Host)
	byPrefix := c.routes[r.Host]
	if byPrefix == nil {
		byPrefix = map[string]*Route{}
		c.routes[r.Host] = byPrefix
	}
	if byPrefix[r.Prefix] != nil {
		return fmt.Errorf("route %q: host %q has prefix %q twice", r.Name, r.Host, r.Prefix)
	}
	byPrefix[r.Prefix] = r
	c.count++
	return nil
}

func (c *Config) check(r *Route) error {
	switch {
	case r.Host == "":
		return errors.New("no host name")
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return fmt.Errorf("prefix %q does not begin and end with a slash", r.Prefix)
	case r.Timeout <= 0 || r.Objective <= 0:
		return errors.New("timeout and objective must be positive")
	case r.Attempts < 1:
		return errors.New("attempts must be at least 1")
	case len(r.Shares) == 0:
		return errors.New("no service")
	}
	for _, s := range r.Shares {
		if _, ok := c.Services[s.Service]; !ok {
			return fmt.Errorf("service %q is not defined", s.Service)
		}
		if s.Weight <= 0 {
			return fmt.Errorf("weight %d of service %q is not positive", s.Weight, s.Service)
		}
	}
	return nil
}

// Routes returns the number of routes.
func (c *Config) Routes() int { return c.count }

// Match returns the route with the longest prefix that begins path, or nil.
// host may carry a port.
func (c *Config) Match(host, path string) *Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	byPrefix := c.routes[strings.ToLower(host)]
	if byPrefix == nil {
		return nil
	}
	for end := len(path); end > 0; end-- {
		if path[end-1] != '/' {
			continue
		}
		if r := byPrefix[path[:end]]; r != nil {
			return r
		}
	}
	return nil
}
