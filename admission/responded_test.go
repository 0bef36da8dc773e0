package admission

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a target that counts as stalled because callers read its
// responses slowly: an order was refused for 30 s as "unproven".
func TestSlowReaderIsNoStall(t *testing.T) {
	riskWith := func(open int) (status Status) {
		synctest.Test(t, func(t *testing.T) {
			start := time.Now()
			g := NewGate(func() time.Duration { return time.Since(start) }, DefaultDetectorConfig(), func() {})
			g.SetTarget(Target{ID: "t", Service: "s", Slots: 10, Phase: Serving})
			first, _ := g.Reserve(t.Context(), Request{Service: "s", Idempotent: true})
			first.Claim()
			first.Release(Success)
			for range open {
				r, reason := g.Reserve(t.Context(), Request{Service: "s", Idempotent: true, OverdueAfter: time.Second})
				if r == nil || r.Claim() != None {
					t.Fatal(reason)
				}
				r.ResponseStarted()
				time.AfterFunc(20*time.Second, func() { r.Release(Neutral) })
			}
			time.Sleep(30 * time.Second)
			status = g.Status()
		})
		return status
	}
	want, got := riskWith(0), riskWith(4)
	if got.Ejected || got.Risk > want.Risk {
		t.Errorf("risk %.3f, ejected %v after four responses that were read slowly; %.3f without them", got.Risk, got.Ejected, want.Risk)
	}
}
