package mesh

import (
	"testing"
	"time"

	"hyssopbridge/admission"
	"hyssopbridge/placement"
)

// Guards against callers that are refused under overload and all return at once,
// or long before the queues of the service have become shorter.
func TestRetryAfterFollowsQueues(t *testing.T) {
	now := func() time.Duration { return time.Minute }
	route := simRoute("r", "s", false, 2*time.Second, 4*time.Second, 1, 0)
	d := &dispatcher{view: placement.NewView(placement.DefaultConfig("self", "z"), now, 1), latencies: newLatencies()}
	spread := func() (least, most time.Duration) {
		least = time.Hour
		for range 200 {
			after := d.retryAfter(&route, "s")
			least, most = min(least, after), max(most, after)
		}
		return least, most
	}
	if least, most := spread(); least < defaultRetryAfter || most > 2*defaultRetryAfter || most < least*3/2 {
		t.Errorf("wait of %v to %v without a known target", least, most)
	}
	d.view.Update(placement.Host{Addr: "h", Zone: "z"}, admission.Status{Target: "t", Service: "s", Phase: admission.Serving, Slots: 2, Running: 2, Waiting: 7, Tested: true})
	queue := d.latencies.expected(&route) * 8 / 2 // eight of ten requests end before the next one gets a slot
	if least, most := spread(); least < queue || most > 2*queue || most < least*3/2 {
		t.Errorf("wait of %v to %v behind a queue of %v", least, most, queue)
	}
}
