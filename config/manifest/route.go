package manifest

import (
	"fmt"
	"slices"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// Ranges of route limits.
const (
	maxTimeoutMS    = 3_600_000
	minStallMS      = 10
	maxStallMS      = 600_000
	maxBodyBytes    = 1 << 40
	maxRate         = 1_000_000
	maxHeaderLength = 64
)

var methods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

func (r *report) checkRoutes(service string, s *Service) {
	if len(s.Routes) == 0 {
		r.add(service+".routes", "at least one route is required")
	}
	first := make(map[string]int)
	for i := range s.Routes {
		route := &s.Routes[i]
		key := routeKey(service, i)
		r.checkName(key+".name", route.Name)
		if j, ok := first[route.Name]; ok && route.Name != "" {
			r.add(key+".name", "route %q is already defined in line %d", route.Name, r.line(routeKey(service, j)+".name"))
		} else {
			first[route.Name] = i
		}
		r.checkRoute(key, route)
	}
}

func routeKey(service string, i int) string { return fmt.Sprintf("%s.routes[%d]", service, i) }

func (r *report) checkRoute(key string, route *Route) {
	r.checkHost(key+".host", route.Host)
	r.checkPath(key+".path", route.Path)
	r.checkMethods(key+".methods", route.Methods)
	if !r.has(key + ".class") {
		r.add(key+".class", "is required")
	}
	if !r.has(key + ".idempotent") {
		r.add(key+".idempotent", "is required")
	}
	r.checkRange(key+".timeout_ms", int64(route.TimeoutMS), 1, maxTimeoutMS)
	r.checkRange(key+".stall_ms", int64(route.StallTimeoutMS), minStallMS, maxStallMS)
	r.checkRange(key+".max_body_bytes", route.MaxBodyBytes, 1, maxBodyBytes)
	r.checkCustomerHeader(key+".customer_header", route.CustomerHeader)
	if route.Rate != nil {
		r.checkRate(key+".rate", route.Rate)
	}
}

func (r *report) checkRate(key string, rate *Rate) {
	if !(rate.PerSecond > 0 && rate.PerSecond <= maxRate) {
		r.add(key+".per_second", "is %v, must be above 0 and at most %d", rate.PerSecond, maxRate)
	}
	if rate.Burst < 1 || rate.Burst > maxRate {
		r.add(key+".burst", "is %d, must be 1 to %d", rate.Burst, maxRate)
	}
}

func (r *report) checkMethods(key string, list []string) {
	if r.has(key) && len(list) == 0 {
		r.add(key, "is empty; leave it out to match any method")
	}
	for i, method := range list {
		at := fmt.Sprintf("%s[%d]", key, i)
		if !slices.Contains(methods, method) {
			r.add(at, "is %q, want one of %s", method, strings.Join(methods, ", "))
		}
		if slices.Contains(list[:i], method) {
			r.add(at, "method %q appears twice", method)
		}
	}
}

func (r *report) checkCustomerHeader(key, name string) {
	if !r.has(key) {
		return
	}
	switch {
	case name == "" || len(name) > maxHeaderLength || !httpguts.ValidHeaderFieldName(name):
		r.add(key, "%.64q is not a header name", name)
	case strings.HasPrefix(strings.ToLower(name), "hb-"):
		r.add(key, "%q is reserved: headers that begin with Hb- are removed from requests", name)
	}
}
