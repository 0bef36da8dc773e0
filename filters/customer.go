package filters

import "encoding/json"

const maxCustomerBytes = 128

// CustomerSpec makes the customer filter. It reads the customer's name from the
// route's customer header.
type CustomerSpec struct{}

// Name implements Spec.
func (CustomerSpec) Name() string { return "customer" }

// New implements Spec. The filter takes no arguments.
func (CustomerSpec) New(args json.RawMessage) (Filter, error) {
	return customerFilter{}, decodeArgs(args, &struct{}{})
}

type customerFilter struct{}

// Request implements Filter.
func (customerFilter) Request(c *Context) error {
	values := c.Request.Header[c.Route.CustomerHeader]
	if len(values) == 0 {
		return nil
	}
	if len(values) > 1 {
		return badRequest("more than one %s", c.Route.CustomerHeader)
	}
	if !visibleASCII(values[0], maxCustomerBytes) {
		return badRequest("invalid %s", c.Route.CustomerHeader)
	}
	c.Customer = values[0]
	return nil
}

// Response implements Filter.
func (customerFilter) Response(*Context) {}

// visibleASCII reports whether s consists of 1 to limit bytes, all visible ASCII.
func visibleASCII(s string, limit int) bool {
	if s == "" || len(s) > limit {
		return false
	}
	for i := 0; i < len(s); i++ {
		if s[i] <= ' ' || s[i] >= 0x7f {
			return false
		}
	}
	return true
}
