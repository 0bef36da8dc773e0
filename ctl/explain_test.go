package ctl

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// The output must contain every hop and call of the request in time order, and no
// line of another request whose ID has the same prefix.
func TestExplain(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	entry := write("entry.log", `timestamp=2026-01-01T00:00:01.5Z level=warn message="request failed" request=ab code=1603 took_ms=12
timestamp=2026-01-01T00:00:01Z level=info message="request failed" request=abc code=1
timestamp=not-a-time level=info message=x request=ab
`)
	host := write("host.log", `timestamp=2026-01-01T00:00:01.4Z level=info message="target failed a request" request=ab evidence=broken
timestamp=2026-01-01T00:00:01.3Z level=info message="attempt failed" request=ab.cd code=1201
`)
	other := write("other.log", "")
	code, out, errs := command("explain", "ab", entry, host, other)
	if code != exitOK || errs != "" {
		t.Fatalf("exit code %d, stderr %q", code, errs)
	}
	calls, target, failed := strings.Index(out, "ab.cd: attempt failed"), strings.Index(out, "evidence=\"broken\""), strings.Index(out, "ab: request failed")
	if calls < 0 || target < calls || failed < target || strings.Contains(out, "abc") {
		t.Errorf("output:\n%s", out)
	}
	if !strings.Contains(out, "no lines in: other.log") || !strings.Contains(out, "skipped 1 lines that do not parse") {
		t.Errorf("output does not say what is missing:\n%s", out)
	}
	if code, _, errs := command("explain", "none", entry); code != exitError || !strings.Contains(errs, "no log line has request ID none") {
		t.Errorf("unknown request: exit code %d, %q", code, errs)
	}
	if code, _, _ := command("explain", "ab"); code != exitUsage {
		t.Errorf("without files: exit code %d", code)
	}
	if code, _, _ := command("explain", "ab", filepath.Join(dir, "missing")); code != exitError {
		t.Errorf("missing file: exit code %d", code)
	}
}
