package control

import (
	"context"
	"errors"
	"time"

	"hyssopbridge/platformlog"
)

// PublisherConfig sets up a Publisher.
type PublisherConfig struct {
	Log platformlog.Log
	// Snapshot, if set, gives the state from which the publisher reads on, as
	// Watcher.Current does. Without it the publisher reads the retained log.
	Snapshot func() *Snapshot
	// NewID returns a unique record ID; default 128 random bits in hex.
	NewID func() string
	// ResolveTimeout bounds the time to learn a record's outcome after it was
	// appended; default 15 s.
	ResolveTimeout time.Duration
	// Wait waits for d or until ctx ends; default a timer.
	Wait func(ctx context.Context, d time.Duration) error
}

// Waits between reads while a record's outcome is open.
const (
	settleBase = 50 * time.Millisecond
	settleMax  = time.Second
)

// defaultSettleTimeout is three times the log client's request timeout.
const defaultSettleTimeout = 15 * time.Second

// Publisher appends operations to the log and learns their outcome from it.
// It may be used by several goroutines.
type Publisher struct{ cfg PublisherConfig }

// NewPublisher returns a publisher.
func NewPublisher(cfg PublisherConfig) *Publisher {
	if cfg.NewID == nil {
		cfg.NewID = newID
	}
	if cfg.ResolveTimeout == 0 {
		cfg.ResolveTimeout = defaultSettleTimeout
	}
	if cfg.Wait == nil {
		cfg.Wait = platformlog.Wait
	}
	return &Publisher{cfg: cfg}
}

// head returns a private fold at the head of the log.
func (p *Publisher) head(ctx context.Context) (*logFold, error) {
	var from *Snapshot
	if p.cfg.Snapshot != nil {
		from = p.cfg.Snapshot()
	}
	f := &logFold{log: p.cfg.Log, state: NewState(from)}
	if err := f.toHead(ctx, nil); err != nil {
		return nil, &UnavailableError{Err: err}
	}
	f.jumped = false
	return f, nil
}

// commit appends r, whose base matches the head, and returns its outcome. The
// error is nil, an UnavailableError, an UnknownOutcomeError, or an InvalidError for a
// record that cannot be encoded.
func (p *Publisher) commit(ctx context.Context, f *logFold, r *Record) (Outcome, error) {
	rec, err := EncodeRecord(r)
	if err != nil {
		return Outcome{}, &InvalidError{Reason: err.Error()}
	}
	s := &settlement{p: p, fold: f, record: r, rec: rec, from: f.state.Version() + 1}
	_, err = p.cfg.Log.Append(ctx, rec)
	if errors.Is(err, platformlog.ErrUnavailable) {
		return Outcome{}, &UnavailableError{Err: err}
	}
	s.appended = err == nil
	return s.run(ctx)
}
