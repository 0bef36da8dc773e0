package mesh

import (
	"bytes"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"hyssopbridge/admission"
)

// Guards against metrics that are missing from the operators' page or no longer
// exist, and against output that a collector cannot parse.
func TestMetricsPage(t *testing.T) {
	m := newMetrics()
	m.request(nil, nil, time.Millisecond)
	m.reservation(admission.TargetBusy)
	m.target(admission.Success, time.Millisecond)
	m.queueLeft(admission.TargetEjected)
	m.count("mesh_datagrams_total.invalid")
	m.count(metricCrossZoneFetches)
	m.count(metricConfigsRefused)
	m.countN(metricConfigBytesReceived, 1)
	m.count(metricForeignAnswers)
	m.count(metricMemoryRevoked)
	m.count(metricMemoryRefused)
	m.count(metricConnLimit + ".callers_closed")
	m.count(metricBudgetWaits + budgetWaitSent)
	m.count(metricQuotaGranted)
	m.count(metricQuotaRefunded)
	m.count(metricQuotaSent)
	m.count(metricVersionChecks)
	m.add(metricBudgetRetryCalls, 0.5)
	m.add(metricCallsOfRetries, 0.5)
	m.add(metricRunsHungAnswered, 1)
	m.set(metricCallsPerRunPrefix+sourceNames[idempotentRuns], 1.3)
	var out bytes.Buffer
	m.write(&out)
	line := regexp.MustCompile(`^([a-z_]+?)(_count)?(\{[a-z]+="[a-z0-9_.]+"\})? [0-9.]+$`)
	var served []string
	for _, text := range strings.Split(strings.TrimSpace(out.String()), "\n") {
		parts := line.FindStringSubmatch(text)
		if parts == nil {
			t.Fatalf("invalid line %q", text)
		}
		served = append(served, parts[1])
	}
	page, err := os.ReadFile("../docs/METRICS-PLATFORM.md")
	if err != nil {
		t.Fatal(err)
	}
	var documented []string
	for _, name := range regexp.MustCompile("(?m)^\\| `([a-z_]+)").FindAllStringSubmatch(string(page), -1) {
		documented = append(documented, name[1])
	}
	slices.Sort(served)
	served = slices.Compact(served)
	slices.Sort(documented)
	if !slices.Equal(served, documented) {
		t.Errorf("served %v, documented %v", served, documented)
	}
}
