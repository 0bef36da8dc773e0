package replay

import (
	"bytes"
	"errors"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hyssopbridge/config/manifest"
	"hyssopbridge/health"
)

const testHeader = `{"type":"header","version":1,"service":"reserve","floor":1,"duration_ms":1000,"targets":[{"id":"t0","zone":"z1","slots":5}],"nodes":[{"id":"n0","zone":"z1"}],"extra":true}`

// Read must reject invalid traces and name the line of the error.
func TestReadRejectsInvalidLines(t *testing.T) {
	start := `{"type":"start","t_ms":5,"id":1,"node":"n0","target":"t0","class":"order","idempotent":false}`
	end := `{"type":"end","t_ms":9,"id":1,"outcome":"ok","latency_ms":4}`
	cases := map[string]struct {
		lines []string
		line  int
	}{
		"empty":            {nil, 1},
		"no header":        {[]string{start}, 1},
		"unknown version":  {[]string{strings.Replace(testHeader, `"version":1`, `"version":2`, 1)}, 1},
		"second header":    {[]string{testHeader, strings.Replace(testHeader, `"service"`, `"t_ms":1,"service"`, 1)}, 2},
		"unknown type":     {[]string{testHeader, `{"type":"stop","t_ms":1}`}, 2},
		"not JSON":         {[]string{testHeader, start, `{"type":`}, 3},
		"time goes back":   {[]string{testHeader, start, strings.Replace(end, `"t_ms":9`, `"t_ms":4`, 1)}, 3},
		"negative time":    {[]string{testHeader, strings.Replace(start, `"t_ms":5`, `"t_ms":-5`, 1)}, 2},
		"missing time":     {[]string{testHeader, strings.Replace(start, `"t_ms":5,`, ``, 1)}, 2},
		"unknown target":   {[]string{testHeader, strings.Replace(start, `"t0"`, `"t9"`, 1)}, 2},
		"unknown node":     {[]string{testHeader, strings.Replace(start, `"n0"`, `"n9"`, 1)}, 2},
		"unknown class":    {[]string{testHeader, strings.Replace(start, `"order"`, `"bulk"`, 1)}, 2},
		"unknown outcome":  {[]string{testHeader, start, strings.Replace(end, `"ok"`, `"fine"`, 1)}, 3},
		"end without open": {[]string{testHeader, end}, 2},
		"ends twice":       {[]string{testHeader, start, end, end}, 4},
		"starts twice":     {[]string{testHeader, start, start}, 3},
		"unknown state":    {[]string{testHeader, `{"type":"truth","t_ms":1,"target":"t0","state":"odd"}`}, 2},
		"probe without ok": {[]string{testHeader, `{"type":"probe","t_ms":1,"target":"t0","node":"n0","latency_ms":1}`}, 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := Read(strings.NewReader(strings.Join(c.lines, "\n")), "x.jsonl")
			var le *LineError
			if !errors.As(err, &le) || le.File != "x.jsonl" || le.Line != c.line {
				t.Errorf("error %v, want line %d", err, c.line)
			}
		})
	}
	good := strings.Join([]string{testHeader, start, end}, "\n")
	if tr, err := Read(strings.NewReader(good), "x"); err != nil || len(tr.Events) != 2 {
		t.Errorf("reading a valid trace with an unknown key: %v", err)
	}
}

// A generated trace must pass the checks of Read and be the same after Write and
// Read.
func TestGeneratedTracesRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Params{
			Scenario: rapid.SampledFrom(Scenarios()).Draw(t, "scenario"),
			Seed:     rapid.Uint64().Draw(t, "seed"),
			Rate:     1,
			Duration: 30 * time.Second,
		}
		a, err := Generate(p)
		if err != nil {
			t.Fatal(err)
		}
		var buf bytes.Buffer
		if err := Write(&buf, a); err != nil {
			t.Fatal(err)
		}
		b, err := Read(&buf, a.File)
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(a, b) {
			t.Fatal("the trace differs after Write and Read")
		}
	})
}

// The JSON output must not vary between runs and must have the documented keys
// in order.
func TestScoreIsDeterministic(t *testing.T) {
	run := func() string {
		tr, err := Generate(Params{Scenario: "correlated", Seed: 3})
		if err != nil {
			t.Fatal(err)
		}
		var buf bytes.Buffer
		if err := WriteJSON(&buf, []*Score{Run(tr, manifest.PreferDetection)}); err != nil {
			t.Fatal(err)
		}
		return buf.String()
	}
	a := run()
	if a != run() {
		t.Error("the output differs between two runs")
	}
	want := []string{"file", "service", "prefer", "sick_intervals", "detection_ms", "sick_requests", "sick_offered",
		"ejections", "false_ejections", "healthy_withheld", "healthy_offered", "floor_violations"}
	last := -1
	for _, key := range want {
		at := strings.Index(a, `"`+key+`":`)
		if at <= last {
			t.Errorf("key %q is missing or out of order", key)
		}
		last = at
	}
}

// A Recorder must keep to its limits, write traces that Read accepts and let no
// caller data through, including request IDs.
func TestRecorderKeepsLimitsAndFormat(t *testing.T) {
	var buf bytes.Buffer
	cfg := RecorderConfig{
		Service:  "reserve",
		Targets:  []TargetInfo{{ID: "t0"}},
		Nodes:    []NodeInfo{{ID: "n0"}},
		MaxBytes: 4000,
		Duration: 10 * time.Second,
	}
	r, err := NewRecorder(&buf, cfg)
	if err != nil {
		t.Fatal(err)
	}
	r.RecordStart(0, health.RequestStart{ID: 1, Node: "other", Target: "t0"})
	for id := range uint64(100) {
		now := time.Duration(id) * time.Millisecond
		r.RecordStart(now, health.RequestStart{ID: 7000 + id, Node: "n0", Target: "t0"})
		r.RecordProbe(now-time.Second, health.ProbeResult{Node: "n0", Target: "t0", OK: true})
		r.RecordEnd(now, health.RequestEnd{ID: 7000 + id, Outcome: health.Truncated, Latency: time.Millisecond})
	}
	if err := r.Close(); err != nil {
		t.Fatal(err)
	}
	size := buf.Len()
	tr, err := Read(&buf, "recorded")
	if err != nil {
		t.Fatal(err)
	}
	if size > 4000 || size < 3000 || len(tr.Events) < 10 {
		t.Errorf("%d bytes and %d events, want 3000 to 4000 bytes and at least 10 events", size, len(tr.Events))
	}
	if tr.Events[0].ID != 1 {
		t.Errorf("first request has ID %d, want 1", tr.Events[0].ID)
	}
}
