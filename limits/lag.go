package limits

import (
	"sync"
	"time"
)

// lagRate is the rate, in bytes per second, of a transfer that does not fall
// behind. It only ranks the transfers at a limit, so one below it is not cut
// while there is room.
const lagRate = 64 << 10

// Lag measures how far a transfer is behind lagRate: the time for which it was
// blocked, less the time that its bytes account for. A transfer that sends single
// bytes falls behind like one that sends none. The zero value is ready to use.
type Lag struct {
	mu      sync.Mutex
	behind  time.Duration
	blocked bool
	since   time.Duration // start of the current read or write
}

// Begin states that a read or write begins.
func (l *Lag) Begin(now time.Duration) {
	l.mu.Lock()
	l.blocked, l.since = true, now
	l.mu.Unlock()
}

// End states that the read or write has ended after n bytes.
func (l *Lag) End(now time.Duration, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.blocked {
		return
	}
	accounted := time.Duration(n) * time.Second / lagRate
	l.behind = max(0, l.behind+now-l.since-accounted)
	l.blocked = false
}

// At returns how far the transfer is behind.
func (l *Lag) At(now time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.blocked {
		return l.behind + now - l.since
	}
	return l.behind
}

// Reset forgets the transfer, since its bytes are complete.
func (l *Lag) Reset() {
	l.mu.Lock()
	l.behind, l.blocked = 0, false
	l.mu.Unlock()
}
