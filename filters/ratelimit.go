package filters

import (
	"encoding/json"
	"time"

	"hyssopbridge/limits"
	"hyssopbridge/resultcode"
)

var errRateLimited = resultcode.New(resultcode.RateLimited, "the customer exceeded the rate limit of the route")

// RateLimitSpec makes the rate-limit filter. It limits the requests of each
// customer on a route; callers that name no customer are limited by IP address.
type RateLimitSpec struct {
	RateLimits *limits.RateLimiter  // nil disables the filter
	Clock      func() time.Duration // nil uses Context.Now
}

// Name implements Spec.
func (RateLimitSpec) Name() string { return "rate-limit" }

// New implements Spec. The filter takes no arguments.
func (s RateLimitSpec) New(args json.RawMessage) (Filter, error) {
	return rateLimitFilter{s}, decodeArgs(args, &struct{}{})
}

type rateLimitFilter struct{ spec RateLimitSpec }

// Request implements Filter.
func (f rateLimitFilter) Request(c *Context) error {
	if c.Route.Rate == nil || f.spec.RateLimits == nil {
		return nil
	}
	now := c.Now
	if f.spec.Clock != nil {
		now = f.spec.Clock()
	}
	caller := c.Customer
	if caller == "" {
		caller = c.RemoteIP
	}
	r := limits.Rate{PerSecond: c.Route.Rate.PerSecond, Burst: float64(max(1, c.Route.Rate.Burst))}
	if !f.spec.RateLimits.Allow(now, limits.NewRateKey(c.Route.ID, caller), r) {
		return errRateLimited
	}
	return nil
}

// Response implements Filter.
func (rateLimitFilter) Response(*Context) {}
