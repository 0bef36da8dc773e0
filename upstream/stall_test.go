package upstream

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a slow transfer that is ended although it proceeds, and against one
// that never ends because some bytes arrive now and then.
func TestStallTimer(t *testing.T) {
	const (
		first, limit = 2 * time.Second, time.Second
		step         = 100
	)
	for name, c := range map[string]struct {
		begin, pause time.Duration // before the body, and before each part of it
		part, parts  int
		completes    bool
	}{
		"slow":        {1900 * time.Millisecond, 900 * time.Millisecond, step, 60, true},
		"late":        {2100 * time.Millisecond, 0, step, 1, false},
		"interrupted": {0, 1100 * time.Millisecond, step, 2, false},
		"trickling":   {0, 200 * time.Millisecond, 10, 60, false},
		"short":       {0, 900 * time.Millisecond, 10, 1, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			ctx, stall := NewStallTimer(t.Context(), first, limit, step)
			defer stall.Stop()
			r, w := io.Pipe()
			context.AfterFunc(ctx, func() { w.CloseWithError(context.Cause(ctx)) })
			var sending sync.WaitGroup
			defer sending.Wait()
			sending.Go(func() {
				defer w.Close()
				for range c.parts {
					time.Sleep(c.pause)
					if _, err := w.Write(make([]byte, c.part)); err != nil {
						return
					}
				}
			})
			time.Sleep(c.begin)
			b, err := io.ReadAll(stall.Body(r))
			if c.completes && (err != nil || len(b) != c.part*c.parts) {
				t.Errorf("%s: %d bytes, error %v", name, len(b), err)
			}
			if !c.completes && !errors.Is(err, ErrStalled) {
				t.Errorf("%s: error %v", name, err)
			}
		})
	}
}
