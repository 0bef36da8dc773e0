package admission

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against a share of rejections that takes longer than about a second to
// show that a target began or ceased to reject, or that keeps the target from
// requests for good once it gets none.
func TestRejectionShareFollowsTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(5, 200).Draw(t, "sends per second")
		var m rejectionMeter
		now := time.Duration(0)
		send := func(until time.Duration, rejects bool) {
			for ; now < until; now += time.Duration(float64(time.Second) / rate) {
				m.observeSend(now)
				if rejects {
					m.observeRejection(now, now)
				}
			}
		}
		send(5*time.Second, false)
		if got := m.share(now); got != 0 {
			t.Fatalf("share %.2f of a target that accepts all", got)
		}
		send(6*time.Second, true)
		if got := m.share(now); got < 0.5 {
			t.Fatalf("share %.2f after 1 s in which all were rejected, want at least 0.5", got)
		}
		send(10*time.Second, true)
		full := m.share(now)
		if full > 1 {
			t.Fatalf("share %.2f", full)
		}
		silent := m
		if got := silent.share(now + 3*time.Second); got > 0.5*full {
			t.Fatalf("share %.2f after 3 s without a send, %.2f before", got, full)
		}
		send(11*time.Second, false)
		if got := m.share(now); got > 0.5 {
			t.Fatalf("share %.2f after 1 s in which all were accepted, want at most 0.5", got)
		}
	})
}
