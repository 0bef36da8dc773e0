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
	register(Command{Name: "status", Summary: "show the state of the fleet as seen by a node, or events of nodes", Run: runStatus})
}

// statusFlags holds the flags of status.
type statusFlags struct {
	node, kind, service, target, request string
	json, events                         bool
	since                                time.Duration
	nodes                                []string
}

func runStatus(args []string, stdout, stderr io.Writer) int {
	var f statusFlags
	fs := newNodeFlags("status", "[flags]", stderr)
	fs.StringVar(&f.node, "node", defaultNode(), "operator `ADDR`esses of nodes, separated by commas; the fleet is shown as seen by the first that responds")
	fs.BoolVar(&f.json, "json", false, "print JSON")
	fs.BoolVar(&f.events, "events", false, "show the events of all given nodes")
	fs.StringVar(&f.kind, "kind", "", "events of these `KIND`s, separated by commas; implies -events")
	fs.StringVar(&f.service, "service", "", "only this `SERVICE`, with all its targets")
	fs.StringVar(&f.target, "target", "", "only this `TARGET`")
	fs.StringVar(&f.request, "request", "", "events of the request with this `ID`; implies -events")
	fs.DurationVar(&f.since, "since", 0, "events of the last `DURATION`, such as 10m; implies -events")
	if code, done := parseNodeFlags(fs, args, stdout); done {
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
	if f.nodes, err = parseNodeList(f.node); err != nil {
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

// queryParams returns URL parameters for pairs of name and value. Empty values are
// left out.
func queryParams(pairs ...string) url.Values {
	q := url.Values{}
	for i := 0; i < len(pairs); i += 2 {
		if pairs[i+1] != "" {
			q.Set(pairs[i], pairs[i+1])
		}
	}
	return q
}

// showFleet prints the fleet as seen by the first node that responds.
func (f *statusFlags) showFleet(stdout, stderr io.Writer) int {
	responses := callNodes[operator.Status](f.nodes, "/v1/status", queryParams("service", f.service, "target", f.target))
	code := reportFailures(responses, stderr)
	if code == exitError {
		return code
	}
	i := slices.IndexFunc(responses, func(r response[operator.Status]) bool { return r.err == nil })
	s := &responses[i].value
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
	if missing := f.notFound(s); missing != "" {
		fmt.Fprintf(stderr, "hyssopctl status: %s\n", missing)
		return exitError
	}
	return code
}

// notFound returns a message if the selected service or target is unknown.
func (f *statusFlags) notFound(s *operator.Status) string {
	switch {
	case f.service != "" && len(s.Services) == 0:
		return fmt.Sprintf("node %s knows no service %q", s.Node, f.service)
	case f.target != "" && len(s.Targets) == 0:
		return fmt.Sprintf("node %s knows no target %q", s.Node, f.target)
	}
	return ""
}

// mergedEvents holds the merged events of several nodes.
type mergedEvents struct {
	Nodes   []string       `json:"nodes"` // nodes that responded
	Partial bool           `json:"partial"`
	Events  []events.Event `json:"events"`
	Omitted int64          `json:"omitted"`
}

func (f *statusFlags) showEvents(stdout, stderr io.Writer) int {
	since := ""
	if f.since > 0 {
		since = f.since.String()
	}
	q := queryParams("kind", f.kind, "service", f.service, "target", f.target, "request", f.request, "since", since)
	responses := callNodes[events.Page](f.nodes, "/v1/events", q)
	code := reportFailures(responses, stderr)
	if code == exitError {
		return code
	}
	report := mergeEvents(responses)
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

func mergeEvents(responses []response[events.Page]) *mergedEvents {
	r := &mergedEvents{Events: []events.Event{}}
	for _, resp := range responses {
		if resp.err != nil {
			r.Partial = true
			continue
		}
		r.Nodes = append(r.Nodes, resp.node)
		r.Events = append(r.Events, resp.value.Events...)
		r.Partial = r.Partial || resp.value.More
		for _, n := range resp.value.Omitted {
			r.Omitted += n
		}
	}
	slices.SortStableFunc(r.Events, func(a, b events.Event) int { return a.Time.Compare(b.Time) })
	return r
}
