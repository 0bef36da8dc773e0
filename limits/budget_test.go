package limits

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// retryLoad is the result of a simulation: the requests that a failing service
// receives per request of a caller, and the share of the callers' requests that
// succeed.
type retryLoad struct {
	load, success float64
}

// sendWithRetries sends a request to a service that fails with probability
// failing, up to the given number of attempts while allow permits retries.
func sendWithRetries(r *rand.Rand, failing float64, attempts int, allow func() bool) (sent int, ok bool) {
	for {
		sent++
		if r.Float64() >= failing {
			return sent, true
		}
		if sent == attempts || !allow() {
			return sent, false
		}
	}
}

// simulateRetries simulates 20 entry nodes for 60 s. With hops, the host nodes
// retry as well, each with its own budget, which the fleet does not do.
func simulateRetries(perNode, failing float64, budgeted, hops bool) retryLoad {
	const nodes, attempts, seconds = 20, 3, 60
	r := rand.New(rand.NewPCG(3, 5))
	var entry, host [nodes]*RetryBudget
	for i := range nodes {
		entry[i], host[i] = NewRetryBudget(uint64(i)), NewRetryBudget(uint64(100+i))
	}
	allow := func(b *RetryBudget, now time.Duration) func() bool {
		return func() bool { return !budgeted || b.Allow(now) }
	}
	requests, sent, succeeded := 0, 0, 0
	for now := time.Duration(0); now < seconds*time.Second; now += 10 * time.Millisecond {
		for n := range nodes {
			if r.Float64() >= perNode/100 {
				continue
			}
			requests++
			entry[n].RecordRequest(now)
			for a := range attempts {
				maxAtHost := 1
				if hops {
					host[n].RecordRequest(now)
					maxAtHost = attempts
				}
				sentAtHost, ok := sendWithRetries(r, failing, maxAtHost, allow(host[n], now))
				sent += sentAtHost
				if ok {
					succeeded++
					break
				}
				if a == attempts-1 || !allow(entry[n], now)() {
					break
				}
			}
		}
	}
	return retryLoad{float64(sent) / float64(requests), float64(succeeded) / float64(requests)}
}

// Guards against retries that add more than about a tenth to the load of a
// failing service, whatever the traffic of a single node. Run it with -v for the
// figures in docs/measurements/requests.md.
func TestRetryLoadOfFleet(t *testing.T) {
	for _, perNode := range []float64{0.1, 1, 50} {
		for _, failing := range []float64{0.05, 0.5, 1} {
			got := simulateRetries(perNode, failing, true, false)
			unlimited := simulateRetries(perNode, failing, false, false)
			both := simulateRetries(perNode, failing, true, true)
			unlimitedBoth := simulateRetries(perNode, failing, false, true)
			t.Logf("%.1f requests/s per node, %.2f failing: load %.3f success %.3f; at both hops %.3f; without budget %.3f, at both hops %.3f",
				perNode, failing, got.load, got.success, both.load, unlimited.load, unlimitedBoth.load)
			if limit := 1 + retryShare*1.25; got.load > limit {
				t.Errorf("load is %.3f times the callers' requests, want at most %.3f", got.load, limit)
			}
			if failing < 1 && perNode >= 1 && got.load < 1.03 {
				t.Errorf("load %.3f, want at least 1.03: retries were not made", got.load)
			}
		}
	}
}

// Guards against a budget that permits more than its share of the requests in a
// window, beyond the rounding of one retry, or that refuses a retry within it.
func TestBudgetHoldsInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewRetryBudget(rapid.Uint64().Draw(t, "seed"))
		now := time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
			for range rapid.IntRange(0, 30).Draw(t, "requests") {
				b.RecordRequest(now)
			}
			requests, before := b.Used(now)
			allowed := b.Allow(now)
			_, after := b.Used(now)
			if allowed != (after == before+1) {
				t.Fatalf("Allow returned %v, but retries went from %d to %d", allowed, before, after)
			}
			if allowed && float64(after) > retryShare*float64(requests)+1 {
				t.Fatalf("%d retries granted for %d requests", after, requests)
			}
			if !allowed && float64(before+1) <= retryShare*float64(requests) {
				t.Fatalf("retry refused after %d retries for %d requests", before, requests)
			}
		}
	})
}

// Guards against a retry that is returned some time after it was counted and then
// permits one more than allowed, once the time of its count has left the window.
func TestReturnedRetryLeavesNoCredit(t *testing.T) {
	b := NewRetryBudget(1)
	b.Spend(time.Second, 1)
	b.Return(time.Second, 7*time.Second)
	for now := 7 * time.Second; now < 30*time.Second; now += time.Second {
		if _, retries := b.Used(now); retries != 0 {
			t.Fatalf("%d retries counted at %v, want 0", retries, now)
		}
	}
	b.Spend(30*time.Second, 1)
	b.Return(30*time.Second, 50*time.Second)
	if _, retries := b.Used(50 * time.Second); retries != 0 {
		t.Errorf("%d retries counted after one that has left the window was returned, want 0", retries)
	}
}
