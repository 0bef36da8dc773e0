package standin

import (
	"context"
	"time"

	"hyssopbridge/platformlog"
)

// Options configures a Log. Zero limits mean no limit.
type Options struct {
	Now        func() time.Time // default time.Now
	Seed       uint64           // seed of the random faults
	MaxAge     time.Duration    // records older than this expire
	MaxCount   int              // records of a stream in excess of this number expire, oldest first
	AppendRate float64          // accepted appends per second; others fail with ErrUnavailable
	// Sleep waits for d or until ctx ends; default platformlog.Wait.
	Sleep func(ctx context.Context, d time.Duration) error
}

func (o *Options) setDefaults() {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Sleep == nil {
		o.Sleep = platformlog.Wait
	}
}

// Faults selects the faults to simulate. Probabilities are between 0 and 1 and
// apply to each append independently.
type Faults struct {
	Down           bool          // every call fails
	AppendsDown    bool          // appends fail, reads work
	ReadsDown      bool          // reads and bounds fail, appends work
	Delay          time.Duration // delay before every call takes effect
	LostRequests   float64       // probability that an append fails with ErrUnknownOutcome and has no effect
	LostResponses  float64       // probability that an append fails with ErrUnknownOutcome although it took effect
	Duplicates     float64       // probability that a middlebox resends an append immediately
	LateDuplicates float64       // probability that a middlebox resends an append after the next append
}

// SetFaults replaces the current faults.
func (l *Log) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// SetDown makes every call fail with ErrUnavailable while down is true.
func (l *Log) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults.Down = down
}

// delay waits for the delay of the current faults.
func (l *Log) delay(ctx context.Context) error {
	l.mu.Lock()
	d := l.faults.Delay
	l.mu.Unlock()
	if d <= 0 {
		return ctx.Err()
	}
	return l.opts.Sleep(ctx, d)
}

// drawFault reports whether a fault with the given probability occurs. The
// caller holds mu.
func (l *Log) drawFault(probability float64) bool {
	return probability > 0 && l.rng.Float64() < probability
}
