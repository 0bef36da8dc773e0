package limits

import (
	"sync/atomic"

	"hyssopbridge/resultcode"
)

var errConnections = resultcode.New(resultcode.ConnectionLimit, "the connection limit is reached")

// ConnLimiter counts connections up to a limit that may change at run time.
type ConnLimiter struct {
	limit atomic.Int64
	open  atomic.Int64
}

// NewConnLimiter returns a counter with the given limit.
func NewConnLimiter(limit int) *ConnLimiter {
	c := new(ConnLimiter)
	c.SetLimit(limit)
	return c
}

// SetLimit changes the limit. Open connections stay open.
func (c *ConnLimiter) SetLimit(limit int) { c.limit.Store(int64(limit)) }

// Acquire counts a connection, or returns a *resultcode.Error with
// ConnectionLimit if the limit is reached.
func (c *ConnLimiter) Acquire() error {
	for {
		n := c.open.Load()
		if n >= c.limit.Load() {
			return errConnections
		}
		if c.open.CompareAndSwap(n, n+1) {
			return nil
		}
	}
}

// Release ends a connection that Acquire counted.
func (c *ConnLimiter) Release() { c.open.Add(-1) }

// Open returns the number of connections.
func (c *ConnLimiter) Open() int { return int(c.open.Load()) }
