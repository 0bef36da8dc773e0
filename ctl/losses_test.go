package ctl

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against a table that mixes kinds of failures or hides that lines are
// missing.
func TestLosses(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.log")
	err := os.WriteFile(path, []byte(`timestamp=2026-01-01T00:00:01Z level=warn message="request failed" code=1202 error="1202 queue-full: no target took the request in time: busy" ran=no request=a route=orders took_ms=100
timestamp=2026-01-01T00:00:02Z level=warn message="request failed" code=1202 error="1202 queue-full: no target took the request in time: busy" ran=no request=b route=orders took_ms=300 suppressed=4
timestamp=2026-01-01T00:00:02Z level=warn message="request failed" code=1202 error="1202 queue-full: no target took the request in time: gray" ran=no request=c route=orders took_ms=200
timestamp=2026-01-01T00:00:02Z level=warn message="request failed" code=1604 error="1604 timeout: no response" ran=unknown request=d route=reads took_ms=2500
timestamp=2026-01-01T00:00:02Z level=warn message="request failed" code=1604 took_ms=x
timestamp=2026-01-01T00:00:02Z level=info message="attempt failed" code=1604 request=d took_ms=1
`), 0o600)
	if err != nil {
		t.Fatal(err)
	}
	code, out, errs := command("losses", path)
	if code != exitOK || errs != "" {
		t.Fatalf("exit code %d, stderr %q", code, errs)
	}
	var rows []string
	for line := range strings.Lines(out) {
		rows = append(rows, strings.Join(strings.Fields(line), " "))
	}
	want := []string{
		"requests median ms route code ran reason",
		"2 300 orders 1202 no busy",
		"1 200 orders 1202 no gray",
		"1 2500 reads 1604 unknown",
		"not counted: 4 lines that were suppressed under load, 1 that do not parse",
	}
	if strings.Join(rows, "\n") != strings.Join(want, "\n") {
		t.Errorf("output:\n%s", out)
	}
	if code, _, _ := command("losses"); code != exitUsage {
		t.Errorf("without files: exit code %d", code)
	}
	if code, _, _ := command("losses", path+".missing"); code != exitError {
		t.Errorf("missing file: exit code %d", code)
	}
}
