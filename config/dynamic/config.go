package dynamic

import (
	"errors"
	"fmt"
	"math"
	"net"
	"strings"
	"time"
)

// Limits bound the size of a caller's request, the time to send its header
// section and the idle time of a connection.
type Limits struct {
	HeaderBytes   int           // maximum size of a request's header section
	BodyBytes     int64         // maximum size of a request body
	HeaderTimeout time.Duration // from the first byte to the end of the header section
	IdleTimeout   time.Duration // between requests on a keep-alive connection
}

// Service is a group of interchangeable targets.
type Service struct {
	Name        string
	HealthPath  string
	Connections int // connections that one target accepts in total
}

// Share is the part of a route's requests that goes to one service: Weight
// divided by the sum of the route's weights. Weights need not be whole numbers.
type Share struct {
	Service string
	Weight  float64
}

// Route holds the settings for requests to one host name under one path prefix.
type Route struct {
	Name       string
	Host       string        // lower case, without port
	Prefix     string        // begins and ends with a slash
	Idempotent bool          // whether a request may be executed more than once
	Download   bool          // responses are large; such routes are idempotent
	Timeout    time.Duration // maximum time that a caller waits for a response
	Objective  time.Duration // response time that requests should not exceed
	Priority   int           // 0 is the highest
	Attempts   int           // maximum attempts per request that may have run it, including hedges
	Shares     []Share       // at least one; weights are positive
	Public     bool          // callers need no key
}

// Config is one version of the configuration. It is immutable.
type Config struct {
	Version      int64
	Services     map[string]Service
	Limits       Limits
	KeysRequired bool // requests need the key of a customer, except on public routes
	customers    map[keyHash]*Customer
	routes       map[string]map[string]*Route // by host, then by prefix
	routeCount   int
}

// New validates its arguments and returns the configuration. The error joins
// every problem found; the configuration is nil if there is one.
// New retains routes and converts their host names to lower case.
func New(version int64, services []Service, limits Limits, customers Customers, routes []Route) (*Config, error) {
	c := &Config{
		Version:      version,
		Services:     make(map[string]Service, len(services)),
		Limits:       limits,
		KeysRequired: customers.KeysRequired || len(customers.Accounts) > 0,
		routes:       map[string]map[string]*Route{},
	}
	errs := []error{checkVersionAndLimits(version, limits)}
	for _, s := range services {
		if s.Name == "" {
			errs = append(errs, errors.New("service without a name"))
		}
		c.Services[s.Name] = s
	}
	errs = append(errs, c.addCustomers(customers.Accounts))
	for i := range routes {
		errs = append(errs, c.addRoute(&routes[i]))
	}
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	return c, nil
}

func checkVersionAndLimits(version int64, l Limits) error {
	if version <= 0 {
		return fmt.Errorf("version %d is not positive", version)
	}
	if l.HeaderBytes <= 0 || l.BodyBytes < 0 || l.HeaderTimeout <= 0 || l.IdleTimeout <= 0 {
		return fmt.Errorf("limits must be positive: %+v", l)
	}
	return nil
}

func (c *Config) addRoute(r *Route) error {
	if err := c.checkRoute(r); err != nil {
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
	c.routeCount++
	return nil
}

func (c *Config) checkRoute(r *Route) error {
	switch {
	case r.Host == "":
		return errors.New("no host name")
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return fmt.Errorf("prefix %q does not begin and end with a slash", r.Prefix)
	case r.Timeout <= 0 || r.Objective <= 0:
		return fmt.Errorf("timeout %v and objective %v must be positive", r.Timeout, r.Objective)
	case r.Attempts < 1:
		return fmt.Errorf("attempts is %d, must be at least 1", r.Attempts)
	case len(r.Shares) == 0:
		return errors.New("no service")
	}
	for _, s := range r.Shares {
		if _, ok := c.Services[s.Service]; !ok {
			return fmt.Errorf("service %q is not defined", s.Service)
		}
		if !(s.Weight > 0) || math.IsInf(s.Weight, 1) { // also refuses NaN
			return fmt.Errorf("weight %g of service %q is not a positive number", s.Weight, s.Service)
		}
	}
	return nil
}

// Routes returns the number of routes.
func (c *Config) Routes() int { return c.routeCount }

// Match returns the route of host with the longest prefix of path, or nil. host
// may include a port.
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
