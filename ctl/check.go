package ctl

import (
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"

	"hyssopbridge/config/manifest"
	"hyssopbridge/resultcode"
)

func init() {
	register(Command{Name: "check", Summary: "check a manifest without publishing it", Run: runCheck})
}

func runCheck(args []string, stdout, stderr io.Writer) int {
	fs := newCommandFlags("check", "[-json] [-instances SERVICE=N,...] FILE", stdout,
		resultcode.CommandOK, resultcode.BadUsage, resultcode.InvalidManifest)
	asJSON := fs.Bool("json", false, "print JSON")
	known := instanceCounts{}
	fs.Var(known, "instances", "numbers of known instances, as `SERVICE=N,...`; a floor above the number is a problem")
	if exit := parseArgs(fs, args, 1, stderr); exit >= 0 {
		return exit
	}
	data, err := os.ReadFile(fs.Arg(0))
	if err != nil {
		fmt.Fprintf(stderr, "hyssopctl check: %v\n", err)
		return exitError
	}
	return checkResult(fs.Arg(0), data, known).print("check", *asJSON, stdout, stderr)
}

func checkResult(name string, data []byte, known instanceCounts) commandResult {
	m, problems := manifest.Validate(name, data)
	problems = append(problems, manifest.CheckFloors(name, data, known)...)
	if len(problems) > 0 {
		r := newResult(resultcode.InvalidManifest)
		r.Problems = problems
		return r
	}
	r := newResult(resultcode.CommandOK)
	r.Summary = summarize(m)
	r.Message = fmt.Sprintf("%s: mandate %s, term %d: %d services, %d routes, no problems",
		name, m.Mandate, m.Term, r.Summary.Services, r.Summary.Routes)
	return r
}

func summarize(m *manifest.Manifest) *manifestSummary {
	s := &manifestSummary{Mandate: m.Mandate, Term: m.Term, Holder: m.Holder, Services: len(m.Services)}
	for i := range m.Services {
		s.Routes += len(m.Services[i].Routes)
	}
	return s
}

// instanceCounts is a flag value of the form SERVICE=N,...
type instanceCounts map[string]int

// String implements flag.Value.
func (c instanceCounts) String() string { return "" }

// Set implements flag.Value.
func (c instanceCounts) Set(text string) error {
	for _, part := range strings.Split(text, ",") {
		name, count, ok := strings.Cut(part, "=")
		n, err := strconv.Atoi(count)
		if !ok || err != nil || n < 0 {
			return fmt.Errorf("%q is not of the form SERVICE=N", part)
		}
		c[name] = n
	}
	return nil
}
