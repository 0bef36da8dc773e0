package filters

import (
	"encoding/json"
	"time"
)

// TimeoutHeader is the header in which a caller states, in ms, how long it will
// wait for the response.
const TimeoutHeader = "Request-Timeout-Ms"

const maxTimeoutDigits = 9 // about 11 days in ms

// DeadlineSpec makes the deadline filter. The deadline is the route's timeout or
// the caller's Request-Timeout-Ms, whichever is shorter.
type DeadlineSpec struct{}

// Name implements Spec.
func (DeadlineSpec) Name() string { return "deadline" }

// New implements Spec. The filter takes no arguments.
func (DeadlineSpec) New(args json.RawMessage) (Filter, error) {
	return deadlineFilter{}, decodeArgs(args, &struct{}{})
}

type deadlineFilter struct{}

// Request implements Filter.
func (deadlineFilter) Request(c *Context) error {
	timeout := c.Route.Timeout
	if values := c.Request.Header[TimeoutHeader]; len(values) > 0 {
		requested, ok := parseMillis(values[0])
		if !ok || len(values) > 1 {
			return badRequest("invalid %s", TimeoutHeader)
		}
		timeout = min(timeout, requested)
	}
	c.Deadline = c.Now + timeout
	return nil
}

// Response implements Filter.
func (deadlineFilter) Response(*Context) {}

// parseMillis parses a positive number of milliseconds in plain decimal digits.
func parseMillis(s string) (time.Duration, bool) {
	if s == "" || len(s) > maxTimeoutDigits {
		return 0, false
	}
	ms := 0
	for i := 0; i < len(s); i++ {
		if s[i] < '0' || s[i] > '9' {
			return 0, false
		}
		ms = ms*10 + int(s[i]-'0')
	}
	return time.Duration(ms) * time.Millisecond, ms > 0
}
