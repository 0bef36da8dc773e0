package operator

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"hyssopbridge/events"
	"hyssopbridge/fleet"
	"hyssopbridge/resultcode"
)

const docPath = "../docs/METRICS.md"

func docTable() string {
	var b strings.Builder
	b.WriteString("# Metrics\n\n" +
		"`GET /v1/metrics` on the operator listener answers with JSON, `GET /v1/metrics?format=text` with a line per value. " +
		"This table is checked against `operator/metricdefs.go` by a test.\n\n" +
		"CLASS is a request class, or `none` for requests without a route. CODE is a result code, see RESULT_CODES.md. " +
		"METHOD is a method between nodes, or `other`. KIND is a kind of event. " +
		"A histogram has a count, a maximum and quantiles. A gauge whose name ends in `_total` only rises.\n\n")
	b.WriteString("| Name | Kind | Unit | Meaning |\n| --- | --- | --- | --- |\n")
	for _, d := range Definitions() {
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", d.Name, d.Kind, d.Unit, d.Meaning)
	}
	return b.String()
}

// documentedName maps a registered metric name to its name in Definitions.
func documentedName(name string) string {
	base, rest, labelled := strings.Cut(name, ".")
	switch {
	case !labelled:
		return name
	case strings.HasPrefix(base, "requests_"):
		return base + ".CLASS.CODE"
	case strings.HasPrefix(base, "peer_"):
		return base + ".METHOD"
	case strings.HasPrefix(base, "events_"):
		if _, err := events.ParseKind(rest); err == nil {
			return base + ".KIND"
		}
		return name
	}
	return base + ".CLASS"
}

// Every registered metric must be in the operators' table with the same
// description, every documented metric must be registered, and every name must
// end in its unit.
func TestDocumentedMetrics(t *testing.T) {
	if os.Getenv("UPDATE_DOCS") != "" {
		if err := os.WriteFile(docPath, []byte(docTable()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	if got, err := os.ReadFile(docPath); err != nil || string(got) != docTable() {
		t.Errorf("%s differs from the code (%v); run UPDATE_DOCS=1 go test ./operator", docPath, err)
	}
	registered := map[string]bool{}
	NewMetrics().Registry().Each(func(name string, _ any) { registered[documentedName(name)] = true })
	for _, d := range Definitions() {
		if !registered[d.Name] {
			t.Errorf("%s is documented but not registered", d.Name)
		}
		delete(registered, d.Name)
		base, _, _ := strings.Cut(d.Name, ".")
		unit := d.Kind == kindCounter && strings.HasSuffix(base, "_total")
		for _, u := range []string{"_total", "_us", "_ms", "_bytes", "_offset", "_offsets", "_requests", "_connections", "_nodes", "_targets", "_services", "_mandates", "_leases", "_records"} {
			unit = unit || strings.HasSuffix(base, u)
		}
		if !unit && base != "services" && base != "goroutines" {
			t.Errorf("%s has no unit in its name", d.Name)
		}
	}
	for name := range registered {
		t.Errorf("%s is registered but not documented", name)
	}
}

// Unknown method names from a peer must not create metrics, and requests must be
// counted under their class.
func TestMetricsCounts(t *testing.T) {
	m := NewMetrics()
	before := len(m.Registry().GetAll())
	for i := range 100 {
		m.RecordPeerCall(fmt.Sprintf("method-%d", i), 1, 2)
	}
	m.RecordRequest(fleet.Order, true, resultcode.NoLease, resultcode.RanNo, 3, time.Millisecond)
	m.RecordRequest(fleet.Order, false, resultcode.NoRoute, resultcode.RanNo, 0, time.Millisecond)
	var b strings.Builder
	m.WriteText(&b)
	for _, line := range []string{"peer_calls_total.other 100", "peer_sent_bytes_total.other 200", "requests_total.order.1305 1",
		"requests_total.none.1102 1", "refusals_total.order 1", "retries_total.order 2", "request_latency_us.order.max 1000"} {
		if !strings.Contains(b.String(), line+"\n") {
			t.Errorf("metrics lack the line %q", line)
		}
	}
	if after := len(m.Registry().GetAll()); after != before {
		t.Errorf("%d metrics registered after the calls, want %d", after, before)
	}
}

// BenchmarkRequest measures the cost of recording one request.
func BenchmarkRequest(b *testing.B) {
	m := NewMetrics()
	b.ReportAllocs()
	for b.Loop() {
		m.RecordRequest(fleet.Interactive, true, resultcode.Answered, resultcode.RanYes, 1, 3*time.Millisecond)
	}
}
