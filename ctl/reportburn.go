package ctl

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"hyssopbridge/burn"
)

func init() {
	register(Command{Name: "report burn", Summary: "report what is left of the services' error budgets", Run: runReportBurn})
}

// burnFlags are the flags of the command.
type burnFlags struct {
	node, html string
	json       bool
	nodes      []string
}

func runReportBurn(args []string, stdout, stderr io.Writer) int {
	var f burnFlags
	fs := newFlags("report burn", "[-json] [-html FILE] [-node ADDR,...]", stderr)
	fs.StringVar(&f.node, "node", defaultNode(), "operator `ADDR`esses of the nodes to ask, separated by commas; each also gives its copies of other nodes' reports")
	fs.BoolVar(&f.json, "json", false, "print JSON")
	fs.StringVar(&f.html, "html", "", "write a self-contained page to `FILE` instead of a table")
	if code, done := parseFlags(fs, args, stdout); done {
		return code
	}
	if err := f.check(fs); err != nil {
		fmt.Fprintf(stderr, "hyssopctl report burn: %v\n", err)
		return exitUsage
	}
	answers := askAll[burn.Report](f.nodes, "/v1/burn", nil)
	code := failures(answers, stderr)
	if code == exitError {
		return code
	}
	summary := mergeBurn(answers)
	if summary.Partial() {
		code = exitPartial
		fmt.Fprintf(stderr, "hyssopctl report burn: %s\n", partialText(summary))
	}
	if err := f.write(stdout, summary); err != nil {
		fmt.Fprintf(stderr, "hyssopctl report burn: %v\n", err)
		return exitError
	}
	return code
}

func (f *burnFlags) check(fs *flag.FlagSet) error {
	if fs.NArg() > 0 {
		return fmt.Errorf("unexpected argument %.60q", fs.Arg(0))
	}
	if f.json && f.html != "" {
		return errors.New("-json and -html exclude each other")
	}
	var err error
	f.nodes, err = nodeList(f.node)
	return err
}

func mergeBurn(answers []answer[burn.Report]) *burn.Summary {
	var reports []*burn.Report
	for i := range answers {
		if answers[i].err == nil {
			reports = append(reports, &answers[i].value)
		}
	}
	return burn.Summarize(burn.Merge(reports...), time.Now().Unix())
}

// maxNamed bounds the missing nodes that a message names.
const maxNamed = 10

func partialText(s *burn.Summary) string {
	parts := []string{}
	if n := len(s.Missing); n > 0 {
		named := strings.Join(s.Missing[:min(n, maxNamed)], ", ")
		if n > maxNamed {
			named += ", ..."
		}
		parts = append(parts, fmt.Sprintf("no recent counts of %d live nodes (%s); add their addresses to -node", n, named))
	}
	if s.Truncated {
		parts = append(parts, "a node's answer left out its oldest counts")
	}
	if s.Damaged > 0 {
		parts = append(parts, fmt.Sprintf("%d slots could not be read", s.Damaged))
	}
	return "partial result: " + strings.Join(parts, "; ")
}

func (f *burnFlags) write(stdout io.Writer, s *burn.Summary) error {
	switch {
	case f.json:
		if printJSON(stdout, io.Discard, s) != exitOK {
			return errors.New("cannot write the output")
		}
		return nil
	case f.html == "":
		writeBurn(stdout, s)
		return nil
	}
	file, err := os.Create(f.html)
	if err != nil {
		return fmt.Errorf("-html: %w", err)
	}
	if err := errors.Join(burn.WriteHTML(file, s), file.Close()); err != nil {
		return fmt.Errorf("-html: %w", err)
	}
	fmt.Fprintf(stdout, "wrote %s\n", f.html)
	return nil
}

func writeBurn(w io.Writer, s *burn.Summary) {
	line(w, "ERROR BUDGETS at %s, counts of %d nodes", time.Unix(s.NowS, 0).UTC().Format("2006-01-02 15:04:05Z"), s.Nodes)
	if s.Partial() {
		line(w, "! %s", partialText(s))
	}
	if len(s.Services) == 0 {
		line(w, "no request was counted")
		return
	}
	fmt.Fprintln(w)
	t := newTable(w, column{"SERVICE", 20, false}, column{"TARGET", 7, true}, column{"REQUESTS", 10, true}, column{"BAD", 8, true},
		column{"LEFT", 8, true}, column{"5m", 6, true}, column{"1h", 6, true}, column{"30m", 6, true}, column{"6h", 6, true}, column{"ALARM", 6, false})
	for i := range s.Services {
		v := &s.Services[i]
		t.row(v.Service, fmt.Sprintf("%.5g%%", 100*v.Target), count(v.Counted()), count(v.Bad()), left(v.BudgetLeft),
			rate(v.Fast5m), rate(v.Fast1h), rate(v.Slow30m), rate(v.Slow6h), alarmText(v.Alarm))
	}
	writeClasses(w, s)
	writeSpenders(w, "TARGET", s.Targets)
	writeSpenders(w, "CUSTOMER", s.Customers)
}

// left formats a share of the budget. What lies far below zero has no use as a
// figure.
func left(share float64) string {
	if share < -9.99 {
		return "<-999%"
	}
	return fmt.Sprintf("%.1f%%", 100*share)
}

func count(n int64) string { return fmt.Sprintf("%d", n) }

func rate(r float64) string {
	if r >= 100 {
		return fmt.Sprintf("%.0f", r)
	}
	return fmt.Sprintf("%.1f", r)
}

func alarmText(alarm string) string {
	if alarm == "none" {
		return ""
	}
	return strings.ToUpper(alarm)
}

func writeClasses(w io.Writer, s *burn.Summary) {
	fmt.Fprintln(w)
	t := newTable(w, column{"SERVICE", 20, false}, column{"CLASS", 11, false}, column{"GOOD", 10, true}, column{"LATE", 7, true},
		column{"FAILED", 7, true}, column{"REFUSED", 7, true}, column{"LOST", 7, true}, column{"P50 ms", 8, true}, column{"P99 ms", 8, true})
	for i := range s.Services {
		for _, c := range s.Services[i].Classes {
			t.row(s.Services[i].Service, c.Class, count(c.Good), count(c.Late), count(c.Failed), count(c.Refused), count(c.Lost),
				fmt.Sprintf("%.1f", c.P50MS), fmt.Sprintf("%.1f", c.P99MS))
		}
	}
}

func writeSpenders(w io.Writer, title string, list []burn.TopContributor) {
	if len(list) == 0 {
		return
	}
	fmt.Fprintln(w)
	t := newTable(w, column{title, 40, false}, column{"SERVICE", 24, false}, column{"BAD", 10, true}, column{"AT MOST OVER", 12, true})
	for _, v := range list {
		t.row(v.Name, v.Service, count(v.Bad), count(v.MaxOvercount))
	}
}
