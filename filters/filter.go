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
	// Name returns the name under which the Registry holds the Spec.
	Name() string
	// New makes a filter. args may be nil.
	New(args json.RawMessage) (Filter, error)
}

// Filter is one element of a Chain. It must be safe for concurrent use.
type Filter interface {
	// Request checks a request. It returns a *resultcode.Error to refuse it.
	Request(*Context) error
	// Response may change the response header before it is sent.
	Response(*Context)
}

// Finisher is implemented by filters that hold a resource during a request.
type Finisher interface {
	// Done is called once for each request that passed the filter, after the
	// last byte of the response or after a later filter refused the request.
	Done(*Context)
}

// Context carries one request through the filters.
type Context struct {
	Request        *http.Request  // its header is modified in place
	RemoteIP       string         // IP address of the caller, without port
	Now            time.Duration  // arrival time on the node's monotonic clock
	Route          *routing.Route // set by the caller between the two chains
	RequestID      string         // set by request-id
	Customer       string         // set by customer; empty if the caller sent none
	Deadline       time.Duration  // set by deadline, on the same clock as Now
	Key            string         // idempotency key, set by idempotency; empty if the caller sent none
	ResponseHeader http.Header    // must be set before Response
	Result         resultcode.Code
}

// Remaining returns the time until the deadline.
func (c *Context) Remaining(now time.Duration) time.Duration { return c.Deadline - now }
