package standin

import (
	"context"
	"time"

	"hyssopbridge/platformlog"
)

// Options sets up a Log. Zero values mean no limit.
type Options struct {
	Now        func() time.Time // default time.Now
	Seed       uint64           // seed of the fault draws
	MaxAge     time.Duration    // records older than this expire
	MaxCount   int              // records of a stream beyond this expire, oldest first
	AppendRate float64          // appends per second that are taken; more are refused as unavailable
	// Sleep waits for a delay or until ctx ends; default a timer.
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

// Faults are the faults in force. Shares lie between 0 and 1 and are drawn for
// each append.
type Faults struct {
	Down           bool          // every call fails
	AppendsDown    bool          // appends fail, reads work
	ReadsDown      bool          // reads and bounds fail, appends work
	Delay          time.Duration // wait before every call takes effect
	LostRequests   float64       // share of appends that fail as unknown without effect
	LostResponses  float64       // share of appends that fail as unknown after their effect
	Duplicates     float64       // share of appends that a middlebox repeats at once
	LateDuplicates float64       // share of appends that a middlebox repeats after the next append
}

// SetFaults replaces the faults in force.
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

// delay waits as the faults in force say.
func (l *Log) delay(ctx context.Context) error {
	l.mu.Lock()
	d := l.faults.Delay
	l.mu.Unlock()
	if d <= 0 {
		return ctx.Err()
	}
	return l.opts.Sleep(ctx, d)
}

// draw reports whether a fault of the given share happens. The caller holds mu.
func (l *Log) draw(share float64) bool { return share > 0 && l.rng.Float64() < share }
