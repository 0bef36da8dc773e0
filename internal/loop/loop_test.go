package loop

import (
	"context"
	"testing"
	"time"
)

// Guards against a loop that continues after its context ends, and against a
// wake-up that is lost while steps are due.
func TestOnWake(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	wake, ended := make(chan struct{}), make(chan struct{})
	steps, woken := 0, 0
	go func() {
		defer close(ended)
		OnWake(ctx, time.Millisecond, func() { steps++ }, wake, func() { woken++ })
	}()
	for range 3 {
		wake <- struct{}{}
	}
	cancel()
	<-ended
	if woken != 3 {
		t.Errorf("woken %d times, want 3", woken)
	}
}
