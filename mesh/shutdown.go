package mesh

import (
	"context"
	"sync"
	"time"
)

// endMargin is how long before the end of the process a run must have ended, so
// that its response reaches the caller. It covers a pause of a throttled process,
// which is up to 100 ms.
const endMargin = 100 * time.Millisecond

// shutdown tells which runs can still end before the process does. A nil one
// stands for a process that does not stop.
type shutdown struct {
	now   func() time.Duration
	once  sync.Once
	begun context.Context // ends when a planned stop begins
	stop  context.CancelFunc
	// runsEnd is when the last response must be ready, and closed when the node no
	// longer accepts connections. Both are set before begun ends.
	runsEnd, closed time.Duration
}

func newShutdown(now func() time.Duration) *shutdown {
	begun, stop := context.WithCancel(context.Background())
	return &shutdown{now: now, begun: begun, stop: stop}
}

// begin states that the process ends after the time left, and that the node
// accepts no connections after settle.
func (s *shutdown) begin(left, settle time.Duration) {
	s.once.Do(func() {
		now := s.now()
		s.runsEnd, s.closed = now+left-endMargin, now+settle
		s.stop()
	})
}

func (s *shutdown) hasBegun() bool { return s != nil && s.begun.Err() != nil }

// allows reports whether a run that is sent now can end in time.
func (s *shutdown) allows(r runEstimate) bool {
	return !s.hasBegun() || s.now() < r.lastStart(s.runsEnd)
}

// limit returns a context that ends when the run may no longer be sent.
func (s *shutdown) limit(ctx context.Context, r runEstimate) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	if s == nil {
		return ctx, cancel
	}
	unwatch := context.AfterFunc(s.begun, func() {
		if last := r.lastStart(s.runsEnd); last < r.deadline {
			sleep(ctx, last-s.now())
			cancel()
		}
	})
	return ctx, func() {
		unwatch()
		cancel()
	}
}

// retryAfter returns when a caller that was refused may try again: when this node
// accepts no connections, so that another node or the next process serves it.
func (s *shutdown) retryAfter() time.Duration {
	wait := defaultRetryAfter
	if s.hasBegun() {
		wait = max(wait, s.closed-s.now())
	}
	return wait + upTo(defaultRetryAfter)
}

// runEstimate is what is known of the end of a run before it is sent.
type runEstimate struct {
	likely   time.Duration // run time that few runs exceed
	deadline time.Duration // of the request, by which it is answered in any case
}

// lastStart returns the latest time at which a run may be sent that must end by
// the given time.
func (r runEstimate) lastStart(end time.Duration) time.Duration {
	if r.deadline <= end {
		return r.deadline
	}
	return end - r.likely
}
