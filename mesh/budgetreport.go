package mesh

import (
	"math"
	"strings"
	"time"

	"github.com/apex/log"
)

// Metrics of what the retry budget counts and of the estimate behind it;
// docs/METRICS-PLATFORM.md describes them.
const (
	metricBudgetRequests    = "mesh_budget_arrivals_total.request"
	metricBudgetRetries     = "mesh_budget_arrivals_total.retry"
	metricBudgetRetryCalls  = "mesh_budget_arrivals_total.call_of_retry"
	metricCallsOfFirstRuns  = "mesh_calls_total.first_run"
	metricCallsOfRetries    = "mesh_calls_total.retried_run"
	metricCallsOfClients    = "mesh_calls_total.client"
	metricRunsHungAnswered  = "mesh_runs_total.hung_answered"
	metricCallsPerRunPrefix = "mesh_calls_per_run."
)

// metricRuns are the names of the counters of runs by source, first those of first
// attempts and then those of retries.
var metricRuns = [numSources][2]string{
	idempotentRuns:    {"mesh_runs_total.idempotent_first", "mesh_runs_total.idempotent_retry"},
	nonIdempotentRuns: {"mesh_runs_total.non_idempotent_first", "mesh_runs_total.non_idempotent_retry"},
}

// budgetReportInterval is the interval between two log lines about the retry
// budget, one window of it.
const budgetReportInterval = 10 * time.Second

// budgetReport logs the totals behind the retry budget, so that they can be
// compared with what the targets got.
type budgetReport struct {
	metrics *metrics
	calls   *outboundCalls
	log     *eventLog
	retried float64 // retries and their calls at the last line
}

// update sets the gauges and logs the totals if there were retries, or calls of
// retried runs, since the last line.
func (b *budgetReport) update() {
	for s, name := range sourceNames {
		sum := 0.0
		for _, n := range b.calls.callsPerRun(callSource(s)) {
			sum += n
		}
		b.metrics.set(metricCallsPerRunPrefix+name, sum)
	}
	retried := b.metrics.sum(metricBudgetRetries) + b.metrics.sum(metricBudgetRetryCalls)
	for _, names := range metricRuns {
		retried += b.metrics.sum(names[1])
	}
	if retried > b.retried {
		b.retried = retried
		b.log.retryTotals(b.metrics)
	}
}

// sourceNames are the names of the kinds of runs in metrics.
var sourceNames = [numSources]string{idempotentRuns: "idempotent", nonIdempotentRuns: "non_idempotent"}

// retryTotals logs the totals since the start of the process of what the retry
// budget counts.
func (l *eventLog) retryTotals(m *metrics) {
	f := log.Fields{}
	names := []string{
		metricBudgetRequests, metricBudgetRetries, metricBudgetRetryCalls,
		metricCallsOfFirstRuns, metricCallsOfRetries, metricCallsOfClients, metricRunsHungAnswered,
	}
	for s, runs := range metricRuns {
		names = append(names, runs[0], runs[1], metricCallsPerRunPrefix+sourceNames[s])
	}
	for _, name := range names {
		base, kind, _ := strings.Cut(strings.TrimPrefix(name, "mesh_"), ".")
		f[strings.TrimSuffix(base, "_total")+"_"+kind] = math.Round(1000*m.sum(name)) / 1000
	}
	l.log.WithFields(f).Info("retry budget totals")
}
