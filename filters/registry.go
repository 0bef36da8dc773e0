package filters

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"hyssopbridge/limits"
)

// Config names a filter in a chain and gives its arguments.
type Config struct {
	Name string          `json:"name"`
	Args json.RawMessage `json:"args,omitempty"` // empty for the filter's defaults
}

// Registry holds Specs by name.
type Registry struct {
	specs map[string]Spec
}

// UnknownFilterError reports a filter name that is not registered.
type UnknownFilterError struct {
	Name  string
	Known []string
}

// Error implements error.
func (e *UnknownFilterError) Error() string {
	return fmt.Sprintf("unknown filter %q, want one of %v", e.Name, e.Known)
}

// Resources are the node's components that the built-in filters use.
type Resources struct {
	RateLimits  *limits.RateLimiter  // nil disables rate limiting
	ClassLimits *limits.ClassLimiter // nil disables class shedding
	Clock       func() time.Duration // the node's monotonic clock; nil uses Context.Now
}

// NewRegistry returns a registry with the built-in filters.
func NewRegistry(res Resources) *Registry {
	r := &Registry{specs: make(map[string]Spec)}
	for _, s := range []Spec{
		HeaderSpec{}, RequestIDSpec{}, CustomerSpec{}, DeadlineSpec{},
		RateLimitSpec{RateLimits: res.RateLimits, Clock: res.Clock}, ClassShedSpec{ClassLimits: res.ClassLimits}, IdempotencySpec{},
	} {
		r.Register(s)
	}
	return r
}

// Register adds a Spec, replacing any of the same name.
func (r *Registry) Register(s Spec) { r.specs[s.Name()] = s }

// Names returns the registered names in alphabetical order.
func (r *Registry) Names() []string {
	var names []string
	for name := range r.specs {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Chain builds a chain from the configurations of its filters. The error names
// the filter that could not be made.
func (r *Registry) Chain(configs []Config) (*Chain, error) {
	filters := make([]Filter, 0, len(configs))
	for _, c := range configs {
		s, ok := r.specs[c.Name]
		if !ok {
			return nil, &UnknownFilterError{c.Name, r.Names()}
		}
		f, err := s.New(c.Args)
		if err != nil {
			return nil, fmt.Errorf("filter %s: %w", c.Name, err)
		}
		filters = append(filters, f)
	}
	return NewChain(filters...), nil
}

// BeforeRouting returns the default filters that run before routing.
func BeforeRouting() []Config {
	return []Config{{Name: HeaderSpec{}.Name()}, {Name: RequestIDSpec{}.Name()}}
}

// AfterRouting returns the default filters that run after routing. Rate limiting
// comes after class shedding, so that a request shed by the node does not count
// against its customer.
func AfterRouting() []Config {
	return []Config{
		{Name: CustomerSpec{}.Name()}, {Name: DeadlineSpec{}.Name()}, {Name: IdempotencySpec{}.Name()},
		{Name: ClassShedSpec{}.Name()}, {Name: RateLimitSpec{}.Name()},
	}
}
