package node

import (
	"net/http"
	"path/filepath"
	"testing"

	"hyssopbridge/config/static"
	"hyssopbridge/replay"
)

// Guards against a recorded trace that package replay cannot read or that lacks
// requests.
func TestTraceIsReplayable(t *testing.T) {
	file := filepath.Join(t.TempDir(), "trace.jsonl")
	f := newTestFleet(t, 1, func(s *static.Settings) { s.TraceFile, s.TraceService = file, "s" }, func(http.ResponseWriter, *http.Request) {})
	const requests = 20
	for range requests {
		resp, err := http.Get("http://" + f.nodes[0].Addr() + "/read/1")
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
	}
	trace, err := replay.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	starts := 0
	for _, e := range trace.Events {
		if e.Kind == replay.Start {
			starts++
		}
	}
	if starts != requests {
		t.Errorf("trace has %d starts, want %d", starts, requests)
	}
}
