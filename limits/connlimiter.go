package limits

import (
	"sync/atomic"

	"hyssopbridge/resultcode"
)

var errConnectionLimit = resultcode.New(resultcode.ConnectionLimit, "the connection limit has been reached")

// ConnLimiter limits the number of open connections. The limit may change at
// run time.
type ConnLimiter struct {
	limit atomic.Int64
	open  atomic.Int64
}

// NewConnLimiter returns a ConnLimiter without open connections.
func NewConnLimiter(limit int) *ConnLimiter {
	l := new(ConnLimiter)
	l.SetLimit(limit)
	return l
}

// SetLimit changes the limit. Connections that are already open stay open.
func (l *ConnLimiter) SetLimit(limit int) { l.limit.Store(int64(limit)) }

// Acquire counts a new connection, or returns a *resultcode.Error with code
// ConnectionLimit if the limit has been reached.
func (l *ConnLimiter) Acquire() error {
	for {
		n := l.open.Load()
		if n >= l.limit.Load() {
			return errConnectionLimit
		}
		if l.open.CompareAndSwap(n, n+1) {
			return nil
		}
	}
}

// Release must be called once for each connection that Acquire counted, when
// the connection is closed.
func (l *ConnLimiter) Release() { l.open.Add(-1) }

// Open returns the number of open connections.
func (l *ConnLimiter) Open() int { return int(l.open.Load()) }

// Full reports whether the limit has been reached.
func (l *ConnLimiter) Full() bool { return l.open.Load() >= l.limit.Load() }
