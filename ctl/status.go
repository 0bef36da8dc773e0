package ctl

import (
	"flag"
	"fmt"
	"io"
	"net/url"
	"slices"
	"strings"
	"time"

	"hyssopbridge/events"
	"hyssopbridge/operator"
)

func init() {
	register(Command{Name: "status", Summary: "show the fleet as nodes see it, or their events", Run: runStatus})
}

// statusFlags are the flags of the command.
type statusFlags struct {
	node, kind, service, target, request string
	json, events                         bool
	since                                time.Duration
	nodes                                []string
}

func runStatus(args []string, stdout, stderr io.Writer) int {
	var f statusFlags
	fs := newFlags("status", "[flags]", stderr)
	fs.StringVar(&f.node, "node", defaultNode(), "operator `ADDR`esses of nodes, separated by commas; the first that answers shows the fleet")
	fs.BoolVar(&f.json, "json", false, "print JSON")
	fs.BoolVar(&f.events, "events", false, "show the events of all the given nodes")
	fs.StringVar(&f.kind, "kind", "", "events of these `KIND`s, separated by commas; implies -events")
	fs.StringVar(&f.service, "service", "", "only this `SERVICE`, with all its targets")
	fs.StringVar(&f.target, "target", "", "only this `TARGET`")
	fs.StringVar(&f.request, "request", "", "events of the request with this `ID`; implies -events")
	fs.DurationVar(&f.since, "since", 0, "events of the last `DURATION`, such as 10m; implies -events")
	if code, done := parseFlags(fs, args, stdout); done {
		return code
	}
	if err := f.check(fs); err != nil {
		fmt.Fprintf(stderr, "hyssopctl status: %v\n", err)
		return exitUsage
	}
	if f.events {
		return f.showEvents(stdout, stderr)
	}
	return f.showFleet(stdout, stderr)
}

func (f *statusFlags) check(fs *flag.FlagSet) error {
	if fs.NArg() > 0 {
		return fmt.Errorf("unexpected argument %.60q", fs.Arg(0))
	}
	var err error
	if f.nodes, err = nodeList(f.node); err != nil {
		return err
	}
	if f.kind != "" {
		for _, k := range strings.Split(f.kind, ",") {
			if _, err := events.ParseKind(k); err != nil {
				return fmt.Errorf("-kind: %w", err)
			}
		}
	}
	if f.since < 0 {
		return fmt.Errorf("-since: %v is negative", f.since)
	}
	f.events = f.events || f.kind != "" || f.request != "" || f.since > 0
	return nil
}

// query returns the parameters that are set.
func query(pairs ...string) url.Values {
	q := url.Values{}
	for i := 0; i < len(pairs); i += 2 {
		if pairs[i+1] != "" {
			q.Set(pairs[i], pairs[i+1])
		}
	}
	return q
}

// showFleet prints the view of the first node that answers.
func (f *statusFlags) showFleet(stdout, stderr io.Writer) int {
	answers := askAll[operator.Status](f.nodes, "/v1/status", query("service", f.service, "target", f.target))
	code := failures(answers, stderr)
	if code == exitError {
		return code
	}
	i := slices.IndexFunc(answers, func(a answer[operator.Status]) bool { return a.err == nil })
	s := &answers[i].value
	if s.Omitted.Any() {
		code = exitPartial
	}
	if f.json {
		if printJSON(stdout, stderr, s) != exitOK {
			return exitError
		}
	} else {
		writeStatus(stdout, s)
	}
	if missing := f.missing(s); missing != "" {
		fmt.Fprintf(stderr, "hyssopctl status: %s\n", missing)
		return exitError
	}
	return code
}

// missing names what was asked for and is not known.
func (f *statusFlags) missing(s *operator.Status) string {
	switch {
	case f.service != "" && len(s.Services) == 0:
		return fmt.Sprintf("node %s knows no service %q", s.Node, f.service)
	case f.target != "" && len(s.Targets) == 0:
		return fmt.Sprintf("node %s knows no target %q", s.Node, f.target)
	}
	return ""
}

// eventsReport is the merged answer of several nodes.
type eventsReport struct {
	Nodes   []string       `json:"nodes"` // that answered
	Partial bool           `json:"partial"`
	Events  []events.Event `json:"events"`
	Omitted int64          `json:"omitted"`
}

func (f *statusFlags) showEvents(stdout, stderr io.Writer) int {
	since := ""
	if f.since > 0 {
		since = f.since.String()
	}
	q := query("kind", f.kind, "service", f.service, "target", f.target, "request", f.request, "since", since)
	answers := askAll[events.Page](f.nodes, "/v1/events", q)
	code := failures(answers, stderr)
	if code == exitError {
		return code
	}
	report := mergeEvents(answers)
	if report.Partial {
		code = exitPartial
	}
	if f.json {
		if printJSON(stdout, stderr, report) != exitOK {
			return exitError
		}
		return code
	}
	writeEvents(stdout, report)
	return code
}

func mergeEvents(answers []answer[events.Page]) *eventsReport {
	r := &eventsReport{Events: []events.Event{}}
	for _, a := range answers {
		if a.err != nil {
			r.Partial = true
			continue
		}
		r.Nodes = append(r.Nodes, a.node)
		r.Events = append(r.Events, a.value.Events...)
		r.Partial = r.Partial || a.value.More
		for _, n := range a.value.Omitted {
			r.Omitted += n
		}
	}
	slices.SortStableFunc(r.Events, func(a, b events.Event) int { return a.Time.Compare(b.Time) })
	return r
}
