package ctl

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"hyssopbridge/replay"
)

func writeTrace(t *testing.T) string {
	t.Helper()
	tr, err := replay.Generate(replay.Params{Scenario: "failed", Seed: 4, Duration: 40 * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	var buf bytes.Buffer
	if err := replay.Write(&buf, tr); err != nil {
		t.Fatal(err)
	}
	name := filepath.Join(t.TempDir(), "failed.jsonl")
	if err := os.WriteFile(name, buf.Bytes(), 0o600); err != nil {
		t.Fatal(err)
	}
	return name
}

// The output must be the same in every run and depend on the preference.
func TestReplayPrintsOneObjectPerFile(t *testing.T) {
	name := writeTrace(t)
	run := func(prefer string) string {
		var out, errs bytes.Buffer
		if code := Run([]string{"replay", "-json", "-prefer", prefer, name, name}, &out, &errs); code != exitOK {
			t.Fatalf("exit code %d: %s", code, errs.String())
		}
		return out.String()
	}
	a := run("detection")
	lines := strings.Split(strings.TrimSuffix(a, "\n"), "\n")
	if len(lines) != 2 || lines[0] != lines[1] || a != run("detection") {
		t.Errorf("output:\n%s", a)
	}
	if a == run("service") || !strings.Contains(a, `"prefer":"detection"`) {
		t.Error("the preference has no effect")
	}
}

// An invalid trace must be refused with the file and line of the error.
func TestReplayNamesFileAndLine(t *testing.T) {
	name := filepath.Join(t.TempDir(), "bad.jsonl")
	if err := os.WriteFile(name, []byte("{\"type\":\"start\"}\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	var out, errs bytes.Buffer
	if code := Run([]string{"replay", name}, &out, &errs); code != exitError {
		t.Errorf("exit code %d", code)
	}
	if !strings.Contains(errs.String(), name+":1: ") {
		t.Errorf("error %q", errs.String())
	}
	if code := Run([]string{"replay", "-prefer", "speed", name}, &out, &errs); code != exitUsage {
		t.Errorf("exit code %d for an unknown preference", code)
	}
}
