package ctl

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"pgregory.net/rapid"

	"hyssopbridge/burn"
	"hyssopbridge/events"
	"hyssopbridge/operator"
)

// A wrong command line must be refused with a message that says what is wrong.
func TestUsageErrors(t *testing.T) {
	for line, want := range map[string]string{
		"status -nodes x":                   "flag provided but not defined: -nodes",
		"status x":                          `unexpected argument "x"`,
		"status -node localhost":            `"localhost" is not IP:port`,
		"status -node 127.0.0.1:1,":         `"" is not IP:port`,
		"status -kind eject":                `unknown kind "eject", want one of [ejection`,
		"status -since yesterday":           "invalid value",
		"status -since -1m":                 "-1m0s is negative",
		"drain":                             "want one TARGET after the flags, got 0",
		"drain a b":                         "want one TARGET after the flags, got 2",
		"drain -node 127.0.0.1:1,[::1]:2 a": "want one address",
		"drain -token-file /nonexistent a":  "read token",
		"report burn -json -html x":         "-json and -html exclude each other",
		"report burn x":                     `unexpected argument "x"`,
		"report":                            `unknown command "report"`,
	} {
		code, out, errs := command(strings.Fields(line)...)
		if code != exitUsage || !strings.Contains(errs, want) || out != "" {
			t.Errorf("%s: exit code %d, stdout %q, stderr %q", line, code, out, errs)
		}
	}
}

// The help of every command must list the exit codes.
func TestHelp(t *testing.T) {
	for _, line := range []string{"status -h", "drain -h", "report burn -h"} {
		code, out, errs := command(strings.Fields(line)...)
		if code != exitOK || !strings.Contains(out, "exit codes:") || !strings.Contains(out, "-json") || errs != "" {
			t.Errorf("%s: exit code %d, %s%s", line, code, out, errs)
		}
	}
}

// serveResponse starts a fake node that responds to every request with status and v.
func serveResponse(t *testing.T, status int, v any) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		if text, ok := v.(string); ok {
			fmt.Fprint(w, text)
			return
		}
		_ = json.NewEncoder(w).Encode(v)
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// serveTruncated starts a fake node whose responses end early.
func serveTruncated(t *testing.T) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "1000")
		fmt.Fprint(w, `{"node":"h1"`)
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// Failures must not look like results, and partial results must be marked as
// such.
func TestFailuresAndPartialResults(t *testing.T) {
	healthy := &operator.Status{Node: "h1", Time: time.Unix(0, 0), Totals: operator.Totals{Nodes: 2, Targets: 1}}
	empty := &operator.Status{Node: "h1", LogAgeMS: -1, HeardAgeMS: -1, Totals: operator.Totals{Nodes: 1}}
	stale := &operator.Status{Node: "h1", LogAgeMS: 60_000, HeardAgeMS: 60_000, ConfigVersion: 1, Totals: operator.Totals{Nodes: 2, Targets: 1}}
	omitted := &operator.Status{Node: "h1", ConfigVersion: 1, Totals: operator.Totals{Nodes: 2, Targets: 1}, Omitted: operator.Omitted{Targets: 7}}
	unreachable := "127.0.0.1:1"
	ok := serveResponse(t, 200, healthy)
	for name, c := range map[string]struct {
		args string
		code int
		want []string
	}{
		"unreachable":          {"status -node " + unreachable, exitError, []string{"node " + unreachable + " cannot be reached", "no node responded"}},
		"one unreachable":      {"status -node " + unreachable + "," + ok, exitPartial, []string{"cannot be reached", "partial result: 1 of 2 nodes did not respond", "FLEET as node h1"}},
		"truncated response":   {"status -node " + serveTruncated(t), exitError, []string{"the response ended early, after 12 bytes"}},
		"one truncated of two": {"status -node " + serveTruncated(t) + "," + ok, exitPartial, []string{"ended early", "partial result"}},
		"not JSON":             {"status -node " + serveResponse(t, 200, "hello"), exitError, []string{"the response is not valid"}},
		"not a node":           {"status -node " + serveResponse(t, 404, "not found"), exitError, []string{"is this the operator listener of a node?"}},
		"empty fleet":          {"status -node " + serveResponse(t, 200, empty), exitOK, []string{"empty fleet", "no target is announced", "no configuration yet", "the log was never reached"}},
		"stale status":         {"status -node " + serveResponse(t, 200, stale), exitOK, []string{"stale: the log was last confirmed 60s ago", "stale: no message from a peer for 60s"}},
		"items omitted":        {"status -node " + serveResponse(t, 200, omitted), exitPartial, []string{"partial: omitted 0 nodes, 0 services, 7 targets"}},
		"unknown service":      {"status -service x -node " + ok, exitError, []string{`node h1 knows no service "x"`}},
		"unknown target":       {"status -target x -node " + ok, exitError, []string{`node h1 knows no target "x"`}},
		"more events":          {"status -events -node " + serveResponse(t, 200, events.Page{More: true}), exitPartial, []string{"partial: a node did not respond, or older events"}},
		"no events":            {"status -events -node " + serveResponse(t, 200, events.Page{}), exitOK, []string{"no event matches"}},
		"drain, no token":      {"drain -node " + serveResponse(t, 401, operator.Problem{Message: "the token is not valid"}) + " t1", exitError, []string{"refused the request: the token is not valid", "-token-file"}},
		"drain, unreachable":   {"drain -node " + unreachable + " t1", exitError, []string{"cannot be reached"}},
		"burn, unreachable":    {"report burn -node " + unreachable, exitError, []string{"cannot be reached"}},
		"burn, node missing":   {"report burn -node " + serveResponse(t, 200, burn.Report{Live: []string{"h1", "h2"}}), exitPartial, []string{"no recent counts of 2 live nodes (h1, h2)", "no request was counted"}},
		"burn, damaged data":   {"report burn -node " + serveResponse(t, 200, burn.Report{Intervals: []burn.PackedInterval{{Data: []byte("x")}}}), exitPartial, []string{"1 intervals could not be read"}},
		"burn, bad file":       {"report burn -html /nonexistent/x -node " + serveResponse(t, 200, burn.Report{}), exitError, []string{"-html: open"}},
	} {
		code, out, errs := command(strings.Fields(c.args)...)
		for _, want := range c.want {
			if !strings.Contains(out+errs, want) {
				t.Errorf("%s: output lacks %q: %s%s", name, want, out, errs)
			}
		}
		if code != c.code {
			t.Errorf("%s: exit code %d, want %d", name, code, c.code)
		}
	}
}

// No line may exceed maxColumns, and control characters in names must not reach
// the terminal.
func TestTableWidth(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringN(0, 150, -1)
		number := rapid.Int64Range(-1, 1<<60)
		s := &operator.Status{
			Node: text.Draw(t, "node"), LogAgeMS: number.Draw(t, "age"), ConfigVersion: number.Draw(t, "version"),
			Nodes: []operator.Node{{ID: text.Draw(t, "id"), Zone: text.Draw(t, "zone"), State: "suspect", LinkFault: true, Lag: number.Draw(t, "lag")}},
			Services: []operator.Service{{Name: text.Draw(t, "service"), Mandate: "m", Announced: int(number.Draw(t, "n")), Clamped: int(number.Draw(t, "c")),
				Arbiter: text.Draw(t, "arbiter"), Lease: "unconfirmed"}},
			Targets:  []operator.Target{{ID: text.Draw(t, "target"), Condition: operator.ConditionDraining, Reason: text.Draw(t, "reason")}},
			Mandates: []operator.Mandate{{Name: text.Draw(t, "mandate"), Holder: text.Draw(t, "holder"), Withdrawn: true, Reason: text.Draw(t, "why")}},
			Omitted:  operator.Omitted{Nodes: int(number.Draw(t, "omitted"))},
		}
		r := &mergedEvents{Partial: true, Omitted: 1, Events: []events.Event{{Target: text.Draw(t, "event"), Reason: text.Draw(t, "what"), Evidence: text.Draw(t, "evidence"), Request: "r", Hop: "entry"}}}
		tally := burn.Tally{Good: number.Draw(t, "good"), Late: number.Draw(t, "late")}
		b := &burn.Summary{Missing: []string{text.Draw(t, "missing")}, Customers: []burn.TopContributor{{Name: text.Draw(t, "customer"), Bad: number.Draw(t, "bad")}},
			Services: []burn.ServiceSummary{{Service: text.Draw(t, "burned"), Tally: tally, Fast5m: 1e9, BudgetLeft: -1e9, Alarm: "fast", Classes: []burn.ClassSummary{{Class: "order", Tally: tally}}}}}
		var out strings.Builder
		writeStatus(&out, s)
		writeEvents(&out, r)
		writeBurn(&out, b)
		for _, l := range strings.Split(out.String(), "\n") {
			if utf8.RuneCountInString(l) > maxColumns {
				t.Fatalf("line of %d columns: %q", utf8.RuneCountInString(l), l)
			}
			if strings.ContainsFunc(l, func(r rune) bool { return r < ' ' || r == 0x7f }) {
				t.Fatalf("control character in %q", l)
			}
		}
	})
}
