package mesh

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"hyssopbridge/admission"
	"hyssopbridge/config/dynamic"
	"hyssopbridge/placement"
)

// retryHosts is a reserver for a host "bad", whose target responds with errors,
// and a host "good". The first reservations at the latter time out.
type retryHosts struct {
	good     *admission.Gate
	timeouts int
}

func (h *retryHosts) reserve(ctx context.Context, addr string, r admission.Request) (reservation, error) {
	if addr == "bad" {
		return respondingWith(http.StatusInternalServerError), nil
	}
	if h.timeouts > 0 {
		h.timeouts--
		sleepFor(ctx, reserveTimeout)
		return nil, errNoAnswer
	}
	if reserved, reason := h.good.Reserve(ctx, r); reserved == nil {
		return nil, refusal{reason}
	}
	return respondingWith(http.StatusOK), nil
}

// respondingWith is a reservation at a target that responds with the status.
type respondingWith int

func (s respondingWith) run(context.Context, *request) (*response, error) {
	return &response{status: int(s), header: http.Header{}}, nil
}

func (respondingWith) cancel() {}

// Guards against a read that gets the error of its first target although the
// other one would serve it within the objective: the other host answers late, as
// on a busy machine, or its target has had no success yet. Guards also against an
// error that is held back until the deadline because the other host never answers.
func TestRetryAtBusyOrUntestedHost(t *testing.T) {
	const objective = 5 * time.Second
	for name, c := range map[string]struct {
		timeouts int
		tested   bool
		status   int
	}{
		"late answers":          {5, true, http.StatusOK},
		"untested":              {0, false, http.StatusOK},
		"late answer, untested": {1, false, http.StatusOK},
		"no answer":             {1e6, true, http.StatusInternalServerError},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				now := func() time.Duration { return time.Since(start) }
				gate := admission.NewGate(now, admission.DefaultDetectorConfig(), nil)
				gate.SetTarget(admission.Target{ID: "good", Service: testService, Slots: 4, Phase: admission.Serving})
				if c.tested {
					r, _ := gate.Reserve(t.Context(), admission.Request{Service: testService, Idempotent: true})
					r.Claim()
					r.Release(admission.Success)
				}
				view := placement.NewView(placement.DefaultConfig("", "z"), now, 1)
				status := gate.Status()
				status.AdmitsRetries = true
				view.Update(placement.Host{Addr: "good", Zone: "z"}, status)
				status.Target, status.Tested, status.Risk = "bad", true, 0
				view.Update(placement.Host{Addr: "bad", Zone: "z"}, status)
				for range 4 {
					view.Begin("good") // so that the bad one is asked first
				}
				d := &dispatcher{
					zone: "z", view: view, remote: &retryHosts{gate, c.timeouts},
					latencies: newLatencies(), hedgeDelays: newHedgeDelays(), log: discardEventLog(), metrics: newMetrics(),
					budgetQueues: newBudgetQueues(now, func() RetryPolicy { return RetryPolicy{Ratio: 1, Slack: 1e6} }, view.Nodes, 1),
				}
				route := &dynamic.Route{Name: "read", Idempotent: true, Objective: objective, Timeout: 2 * objective, Attempts: 2}
				q := &request{id: "r", method: http.MethodGet, header: http.Header{}, idempotent: true, deadline: deadlineIn(route.Timeout, now)}
				resp, err := d.serve(t.Context(), q, route, testService, start)
				if err != nil || resp.status != c.status || now() > objective {
					t.Errorf("response %+v, error %v after %v", resp, err, now())
				}
			})
		})
	}
}
