package filters

import (
	"encoding/json"
	"net/http"
	"time"

	"hyssopbridge/resultcode"
	"hyssopbridge/routing"
)

// Spec describes a kind of filter.
type Spec interface {
	// Name returns the name in the Registry.
	Name() string
	// New makes a filter. args may be nil.
	New(args json.RawMessage) (Filter, error)
}

// Filter is one step of a Chain. It is used by many requests at once.
type Filter interface {
	// Request checks a request. An error refuses it; it is a *resultcode.Error.
	Request(*Context) error
	// Response may change the response header before it is sent.
	Response(*Context)
}

// Finisher is implemented by filters that hold something during a request.
type Finisher interface {
	// Done runs after the last byte of the response or after a refusal, once
	// for each request that passed the filter.
	Done(*Context)
}

// Context is one request on its way through the filters.
type Context struct {
	Request        *http.Request  // its header is changed in place
	RemoteIP       string         // address of the caller, without port
	Now            time.Duration  // arrival on the node's monotonic clock
	Route          *routing.Route // set between the two chains
	RequestID      string         // set by request-id
	Customer       string         // set by customer; empty if the caller named none
	Deadline       time.Duration  // set by deadline, on the same clock as Now
	Key            string         // set by idempotency; empty if the caller gave none
	ResponseHeader http.Header    // set before Response
	Result         resultcode.Code
}

// Remaining returns the time until the deadline.
func (c *Context) Remaining(now time.Duration) time.Duration { return c.Deadline - now }
