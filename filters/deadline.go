package filters

import (
	"encoding/json"
	"time"
)

// TimeoutHeader is the field in which a caller states the time after which it
// no longer needs the answer, in ms.
const TimeoutHeader = "Request-Timeout-Ms"

const maxTimeoutDigits = 9

// DeadlineSpec makes the deadline filter. The deadline is the route's timeout,
// shortened by the caller's Request-Timeout-Ms.
type DeadlineSpec struct{}

// Name implements Spec.
func (DeadlineSpec) Name() string { return "deadline" }

// New implements Spec; there are no arguments.
func (DeadlineSpec) New(args json.RawMessage) (Filter, error) {
	return deadlineFilter{}, decodeArgs(args, &struct{}{})
}

type deadlineFilter struct{}

// Request implements Filter.
func (deadlineFilter) Request(c *Context) error {
	timeout := c.Route.Timeout
	if values := c.Request.Header[TimeoutHeader]; len(values) > 0 {
		asked, ok := parseMillis(values[0])
		if !ok || len(values) > 1 {
			return bad("invalid %s", TimeoutHeader)
		}
		timeout = min(timeout, asked)
	}
	c.Deadline = c.Now + timeout
	return nil
}

// Response implements Filter.
func (deadlineFilter) Response(*Context) {}

// parseMillis reads a positive number of milliseconds.
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
