package control

import (
	"context"
	"errors"
	"fmt"

	"hyssopbridge/platformlog"
)

// readMax is the maximum number of entries per read by a logFold.
const readMax = 512

// logFold folds the log into its own state, one read at a time.
type logFold struct {
	log   platformlog.Log
	state *State
	// restored is set when the state was loaded from a checkpoint round, so
	// that the outcomes of the records before it were not observed.
	restored bool
}

// foldToHead folds to the head of the log. It calls each, if not nil, with
// every outcome.
func (f *logFold) foldToHead(ctx context.Context, each func(Outcome)) error {
	for {
		n, err := f.read(ctx, each)
		if err != nil || n == 0 {
			return err
		}
	}
}

// read folds the entries of one read and returns how many there were.
func (f *logFold) read(ctx context.Context, each func(Outcome)) (int, error) {
	entries, err := f.log.Read(ctx, Stream, f.state.Version()+1, readMax)
	var expired *platformlog.ExpiredError
	if errors.As(err, &expired) {
		return 1, f.restore(ctx, expired.First)
	}
	if err != nil {
		return 0, err
	}
	for i := range entries {
		out := f.state.Apply(entries[i])
		if out.Kind == Gap {
			return 0, fmt.Errorf("%w: %w", platformlog.ErrUnavailable, out.Err)
		}
		if each != nil {
			each(out)
		}
	}
	return len(entries), nil
}

// restore loads the state of the first usable checkpoint round.
func (f *logFold) restore(ctx context.Context, first int64) error {
	s := newScanner(first)
	for {
		entries, err := f.log.Read(ctx, Stream, s.next, readMax)
		var expired *platformlog.ExpiredError
		if errors.As(err, &expired) && expired.First > s.next {
			s = newScanner(expired.First)
			continue
		}
		if err != nil {
			return err
		}
		if len(entries) == 0 {
			return ErrNoCheckpoint
		}
		if s.restore(f.state, entries) {
			f.restored = true
			return nil
		}
	}
}
