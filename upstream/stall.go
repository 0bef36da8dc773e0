package upstream

import (
	"context"
	"errors"
	"io"
	"time"
)

// ErrStalled is the cause of a context that a StallTimer ended.
var ErrStalled = errors.New("transfer is stalled")

// StallTimer ends a context when an exchange makes no progress. In contrast to a
// deadline it lets a long body take its time on a slow or busy link: giving such a
// transfer up and beginning again costs the link more and ends no sooner.
type StallTimer struct {
	limit  time.Duration
	step   int
	timer  *time.Timer
	cancel context.CancelCauseFunc
	read   int // bytes since the last progress
	// OnProgress, if set, is called for each step read.
	OnProgress func()
}

// NewStallTimer returns a context that ends with ErrStalled when the exchange has
// not begun to send its body within first, or when reading step bytes of it takes
// longer than limit. The step also bounds how slowly a server may send. Stop must
// be called.
func NewStallTimer(ctx context.Context, first, limit time.Duration, step int) (context.Context, *StallTimer) {
	ctx, cancel := context.WithCancelCause(ctx)
	t := &StallTimer{limit: limit, step: step, cancel: cancel}
	t.timer = time.AfterFunc(first, func() { cancel(ErrStalled) })
	return ctx, t
}

// Body returns a reader of the body of the exchange that notes its progress.
func (t *StallTimer) Body(r io.Reader) io.Reader {
	t.timer.Reset(t.limit)
	return stallReader{t, r}
}

// Stop ends the context.
func (t *StallTimer) Stop() {
	t.timer.Stop()
	t.cancel(context.Canceled)
}

type stallReader struct {
	timer *StallTimer
	r     io.Reader
}

// Read implements io.Reader.
func (s stallReader) Read(p []byte) (int, error) {
	n, err := s.r.Read(p)
	t := s.timer
	if t.read += n; t.read >= t.step {
		t.read = 0
		t.timer.Reset(t.limit)
		if t.OnProgress != nil {
			t.OnProgress()
		}
	}
	return n, err
}
