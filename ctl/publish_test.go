package ctl

import (
	"bytes"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"hyssopbridge/platformlog/standin"
)

const manifestText = `{
  "version": 1, "mandate": "grain", "term": 1, "holder": "Riekstu Lentes Grupa",
  "services": [{"name": "belt-desk", "floor": 3, "objective": {},
    "routes": [{"name": "read", "path": "/belts/*", "class": "interactive", "idempotent": true}]}],
}`

func writeManifest(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "m.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Each result must have its own exit code, so that a build pipeline can
// distinguish them, and the JSON output must match it.
func TestExitCodes(t *testing.T) {
	log := standin.New(time.Now)
	server := httptest.NewServer(log)
	defer server.Close()
	good, bad := writeManifest(t, manifestText), writeManifest(t, strings.Replace(manifestText, `"floor": 3`, `"floor": -3, "flor": 1`, 1))
	steps := []struct {
		line string
		exit int
		code string // in the JSON output
		text string // in the plain output
	}{
		{"check " + good, exitOK, `"code":2000`, "1 services, 1 routes"},
		{"check " + bad, exitInvalid, `"code":2001`, `m.json:3:51: services[0].flor: unknown key`},
		{"check -instances belt-desk=2 " + good, exitInvalid, `"line":3`, "floor 3 exceeds the 2 known instances"},
		{"publish -log " + server.URL + " " + bad, exitInvalid, `"code":2001`, "floor"},
		{"publish -log " + server.URL + " -base 7 " + good, exitInvalid, `"code":2001`, "no accepted record"},
		{"publish -log http://127.0.0.1:1 " + good, exitUnavailable, `"code":2004`, "connection refused"},
		{"withdraw -log " + server.URL + " -mandate none -reason x", exitInvalid, `"code":2001`, `mandate "none" is not known`},
	}
	for _, s := range steps {
		checkRun(t, s.line, s.exit, s.text)
		checkJSON(t, s.line, s.exit, s.code)
	}
	checkRun(t, "publish -log "+server.URL+" -base 0 "+good, exitOK, "published mandate grain, term 1: revision 1 replaces 0")
	checkRun(t, "publish -log "+server.URL+" -base 0 "+good, exitConflict, `mandate "grain" of "Riekstu Lentes Grupa" is at revision 1`)
	checkJSON(t, "publish -log "+server.URL+" -base 0 "+good, exitConflict, `"Revision":1`)
	checkJSON(t, "withdraw -log "+server.URL+" -mandate grain -reason ended -base 1", exitOK, `"revision":2`)
	checkRun(t, "publish -log "+server.URL+" "+good, exitConflict, "is at revision 2")
	for _, line := range []string{
		"publish " + good, "publish -log ftp://x " + good, "publish -log " + server.URL, "publish -base x " + good,
		"withdraw -log " + server.URL, "check", "check -instances belt-desk " + good, "publish -log " + server.URL + " -base -2 " + good,
	} {
		checkRun(t, line, exitUsage, "hyssopctl")
	}
	checkRun(t, "check "+good+".none", exitError, "no such file")
	for _, command := range []string{"check", "publish", "withdraw"} {
		checkRun(t, command+" -h", exitOK, "3  2001 invalid-manifest")
	}
}

func checkRun(t *testing.T, line string, exit int, text string) {
	t.Helper()
	var out, errs bytes.Buffer
	got := Run(strings.Fields(line), &out, &errs)
	if got != exit || !strings.Contains(out.String()+errs.String(), text) {
		t.Errorf("%s: exit %d, want %d; output %q %q, want %q in it", line, got, exit, out.String(), errs.String(), text)
	}
	if (exit == exitOK) != (errs.Len() == 0) {
		t.Errorf("%s: exit %d with %q on stderr", line, exit, errs.String())
	}
}

func checkJSON(t *testing.T, line string, exit int, text string) {
	t.Helper()
	words := strings.Fields(line)
	words = append([]string{words[0], "-json"}, words[1:]...)
	var out, errs bytes.Buffer
	got := Run(words, &out, &errs)
	if got != exit || !json.Valid(out.Bytes()) || !strings.Contains(out.String(), text) || errs.Len() > 0 {
		t.Errorf("%s: exit %d, want %d; output %q %q, want JSON with %q", line, got, exit, out.String(), errs.String(), text)
	}
}
