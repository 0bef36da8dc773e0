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
	register(Command{Name: "report burn", Summary: "report the remaining error budgets of the services", Run: runReportBurn})
}

// burnFlags holds the flags of report burn.
type burnFlags struct {
	node, html string
	json       bool
	nodes      []string
}

func runReportBurn(args []string, stdout, stderr io.Writer) int {
	var f burnFlags
	fs := newNodeFlags("report burn", "[-json] [-html FILE] [-node ADDR,...]", stderr)
	fs.StringVar(&f.node, "node", defaultNode(), "operator `ADDR`esses of the nodes to query, separated by commas; each also returns its copies of other nodes' counts")
	fs.BoolVar(&f.json, "json", false, "print JSON")
	fs.StringVar(&f.html, "html", "", "write a self-contained page to `FILE` instead of a table")
	if code, done := parseNodeFlags(fs, args, stdout); done {
		return code
	}
	if err := f.check(fs); err != nil {
		fmt.Fprintf(stderr, "hyssopctl report burn: %v\n", err)
		return exitUsage
	}
	responses := callNodes[burn.Report](f.nodes, "/v1/burn", nil)
	code := reportFailures(responses, stderr)
	if code == exitError {
		return code
	}
	summary := mergeBurn(responses)
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
	f.nodes, err = parseNodeList(f.node)
	return err
}

func mergeBurn(responses []response[burn.Report]) *burn.Summary {
	var reports []*burn.Report
	for i := range responses {
		if responses[i].err == nil {
			reports = append(reports, &responses[i].value)
		}
	}
	return burn.Summarize(burn.Merge(reports...), time.Now().Unix())
}

// maxNamed bounds the missing nodes listed in a message.
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
		parts = append(parts, "the response of a node omits its oldest counts")
	}
	if s.Damaged > 0 {
		parts = append(parts, fmt.Sprintf("%d intervals could not be read", s.Damaged))
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
	printLine(w, "ERROR BUDGETS at %s, counts of %d nodes", time.Unix(s.NowS, 0).UTC().Format("2006-01-02 15:04:05Z"), s.Nodes)
	if s.Partial() {
		printLine(w, "! %s", partialText(s))
	}
	if len(s.Services) == 0 {
		printLine(w, "no request was counted")
		return
	}
	fmt.Fprintln(w)
	t := newTable(w, column{"SERVICE", 20, false}, column{"TARGET", 7, true}, column{"REQUESTS", 10, true}, column{"BAD", 8, true},
		column{"LEFT", 8, true}, column{"5m", 6, true}, column{"1h", 6, true}, column{"30m", 6, true}, column{"6h", 6, true}, column{"ALARM", 6, false})
	for i := range s.Services {
		v := &s.Services[i]
		t.row(v.Service, fmt.Sprintf("%.5g%%", 100*v.Target), formatCount(v.Counted()), formatCount(v.Bad()), formatBudgetLeft(v.BudgetLeft),
			formatRate(v.Fast5m), formatRate(v.Fast1h), formatRate(v.Slow30m), formatRate(v.Slow6h), alarmText(v.Alarm))
	}
	writeClasses(w, s)
	writeContributors(w, "TARGET", s.Targets)
	writeContributors(w, "CUSTOMER", s.Customers)
}

// formatBudgetLeft formats a share of the budget. An exact figure is of no use far
// below zero.
func formatBudgetLeft(share float64) string {
	if share < -9.99 {
		return "<-999%"
	}
	return fmt.Sprintf("%.1f%%", 100*share)
}

func formatCount(n int64) string { return fmt.Sprintf("%d", n) }

func formatRate(r float64) string {
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
			t.row(s.Services[i].Service, c.Class, formatCount(c.Good), formatCount(c.Late), formatCount(c.Failed), formatCount(c.Refused), formatCount(c.Lost),
				fmt.Sprintf("%.1f", c.P50MS), fmt.Sprintf("%.1f", c.P99MS))
		}
	}
}

func writeContributors(w io.Writer, title string, list []burn.TopContributor) {
	if len(list) == 0 {
		return
	}
	fmt.Fprintln(w)
	t := newTable(w, column{title, 40, false}, column{"SERVICE", 24, false}, column{"BAD", 10, true}, column{"AT MOST OVER", 12, true})
	for _, v := range list {
		t.row(v.Name, v.Service, formatCount(v.Bad), formatCount(v.MaxOvercount))
	}
}
