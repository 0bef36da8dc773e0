package ctl

import (
	"fmt"
	"io"
	"strconv"

	"hyssopbridge/operator"
)

// staleAfterMS is the age above which a part of the status is reported as stale.
// Nodes exchange messages several times a second, and log readers poll the log at
// least every 10 s.
const staleAfterMS = 30_000

// writeStatus prints the fleet as seen by one node.
func writeStatus(w io.Writer, s *operator.Status) {
	writeSummary(w, s)
	writeNodes(w, s)
	writeServices(w, s)
	writeTargets(w, s)
	writeMandates(w, s)
}

func writeSummary(w io.Writer, s *operator.Status) {
	t := &s.Totals
	printLine(w, "FLEET as node %s sees it, %s, up %s", s.Node, s.Time.Format("2006-01-02 15:04:05Z"), formatAge(s.UptimeMS))
	printLine(w, "nodes %d (%d behind, %d unsound)  services %d (%d at floor)  mandates %d (%d withdrawn)",
		t.Nodes, t.NodesBehind, t.NodesUnhealthy, t.Services, t.AtFloor, t.Mandates, t.Withdrawn)
	printLine(w, "targets %d: %d ejected, %d gray, %d draining, %d down, %d cold",
		t.Targets, t.Ejected, t.Clamped, t.Draining, t.Down, t.Cold)
	printLine(w, "configuration %d, log at offset %d confirmed %s ago, peers heard %s ago",
		s.ConfigVersion, s.LogOffset, formatAge(s.LogAgeMS), formatAge(s.HeardAgeMS))
	for _, warning := range warnings(s) {
		printLine(w, "! %s", warning)
	}
}

// warnings returns the reasons why the status may be incomplete or outdated.
func warnings(s *operator.Status) []string {
	var out []string
	add := func(when bool, format string, args ...any) {
		if when {
			out = append(out, fmt.Sprintf(format, args...))
		}
	}
	add(s.Leaving, "this node is leaving the fleet")
	add(s.ConfigVersion == 0, "this node has no configuration yet: nothing was published, or log and peers are unreachable")
	add(s.Totals.Nodes <= 1, "empty fleet: this node knows no other node")
	add(s.Totals.Targets == 0, "no target is announced")
	add(s.LogAgeMS < 0, "the log was never reached, neither from here nor by a peer")
	add(s.LogAgeMS > staleAfterMS, "stale: the log was last confirmed %s ago; newer publications may exist", formatAge(s.LogAgeMS))
	add(s.Totals.Nodes > 1 && s.HeardAgeMS < 0, "no message from a peer has arrived yet")
	add(s.HeardAgeMS > staleAfterMS, "stale: no message from a peer for %s; the rest of the fleet is shown as of then", formatAge(s.HeardAgeMS))
	o := s.Omitted
	add(o.Any(), "partial: omitted %d nodes, %d services, %d targets, %d mandates; select with -service or -target",
		o.Nodes, o.Services, o.Targets, o.Mandates)
	return out
}

func writeNodes(w io.Writer, s *operator.Status) {
	fmt.Fprintln(w)
	t := newTable(w, column{"NODE", 24, false}, column{"ZONE", 14, false}, column{"STATE", 18, false},
		column{"VERSION", 10, true}, column{"LAG", 8, true}, column{"HEARD", 8, true}, column{"", 10, false})
	for _, n := range s.Nodes {
		state, note, lag, version := n.State, "", strconv.FormatInt(n.Lag, 10), strconv.FormatInt(n.ConfigVersion, 10)
		if n.LinkFault {
			state += ",link-fault"
		}
		switch {
		case n.Lag < 0:
			lag, version = "?", "?"
		case n.Lag > 0:
			note = "behind"
		}
		if n.ID == s.Node {
			note += " (asked)"
		}
		t.row(n.ID, n.Zone, state, version, lag, formatAge(n.HeardAgeMS), note)
	}
}

func writeServices(w io.Writer, s *operator.Status) {
	if len(s.Services) == 0 {
		return
	}
	fmt.Fprintln(w)
	t := newTable(w, column{"SERVICE", 22, false}, column{"ANN", 5, true}, column{"INSVC", 5, true}, column{"OUT", 4, true},
		column{"FLOOR", 5, true}, column{"ARBITER", 16, false}, column{"LEASE", 11, false}, column{"LIST", 8, true}, column{"", 16, false})
	for _, v := range s.Services {
		t.row(v.Name, strconv.Itoa(v.Announced), strconv.Itoa(v.InService), strconv.Itoa(v.Ejected), strconv.Itoa(v.Floor),
			v.Arbiter, v.Lease, listAge(&v), serviceNote(&v))
	}
}

func listAge(v *operator.Service) string {
	if v.ListAgeMS < 0 {
		return "-"
	}
	return formatAge(v.ListAgeMS)
}

func serviceNote(v *operator.Service) string {
	switch {
	case v.Mandate == "":
		return "no live mandate"
	case v.Announced == 0:
		return "no target"
	case v.Clamped > 0:
		return fmt.Sprintf("at floor, %d gray", v.Clamped)
	case v.AtFloor:
		return "at floor"
	case v.Ejected > 0:
		return "ejected"
	}
	return ""
}

func writeTargets(w io.Writer, s *operator.Status) {
	fmt.Fprintln(w)
	if s.Totals.Targets == 0 {
		printLine(w, "TARGETS: none announced")
		return
	}
	if len(s.Targets) == 0 {
		printLine(w, "TARGETS: all %d are ready", s.Totals.Targets)
		return
	}
	t := newTable(w, column{"TARGET", 22, false}, column{"SERVICE", 16, false}, column{"NODE", 16, false},
		column{"CONDITION", 9, false}, column{"FOR", 6, true}, column{"REASON", 26, false})
	for _, v := range s.Targets {
		reason, since := v.Reason, formatAge(v.SinceMS)
		if v.SinceMS < 0 {
			since = "-"
		}
		if v.Condition == operator.ConditionTrial {
			reason = fmt.Sprintf("%d%% of work; %s", v.TrialPercent, reason)
		}
		t.row(v.ID, v.Service, v.Node, v.Condition, since, reason)
	}
	if left := s.Totals.Targets - len(s.Targets) - s.Omitted.Targets; left > 0 {
		printLine(w, "%d other targets", left)
	}
}

func writeMandates(w io.Writer, s *operator.Status) {
	if len(s.Mandates) == 0 {
		return
	}
	fmt.Fprintln(w)
	t := newTable(w, column{"MANDATE", 24, false}, column{"HOLDER", 22, false}, column{"TERM", 5, true},
		column{"REVISION", 9, true}, column{"SVCS", 5, true}, column{"", 30, false})
	for _, m := range s.Mandates {
		note := ""
		if m.Withdrawn {
			note = "withdrawn: " + m.Reason
		}
		t.row(m.Name, m.Holder, strconv.FormatInt(m.Term, 10), strconv.FormatInt(m.Revision, 10), strconv.Itoa(m.Services), note)
	}
}

func writeEvents(w io.Writer, r *mergedEvents) {
	t := newTable(w, column{"TIME (UTC)", 12, false}, column{"NODE", 12, false}, column{"KIND", 8, false},
		column{"SERVICE", 14, false}, column{"TARGET", 16, false}, column{"WHAT", 33, false})
	for i := range r.Events {
		e := &r.Events[i]
		t.row(e.Time.UTC().Format("15:04:05.000"), e.Node, e.Kind.String(), e.Service, e.Target, e.Reason)
		if e.Request != "" {
			printLine(w, "             request %s at %s, version %d", e.Request, e.Hop, e.Version)
		}
		if e.Evidence != "" {
			printLine(w, "             %s", e.Evidence)
		}
	}
	if len(r.Events) == 0 {
		printLine(w, "no event matches")
	}
	if r.Omitted > 0 {
		printLine(w, "! %d events were omitted by the rate limits of these nodes since their start", r.Omitted)
	}
	if r.Partial {
		printLine(w, "! partial: a node did not respond, or older events also match")
	}
}
