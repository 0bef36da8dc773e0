package demo

import (
	"fmt"
	"io"
	"time"
)

// Report holds the results that the callers and targets of a demo counted.
type Report struct {
	Answered              int
	NotRun                int
	Unknown               int
	Withdrawn             int
	Other                 int
	Orders                int
	Downloads             int
	RanTwice              int // orders that ran more than once
	RanAfterNotRun        int // orders that ran although the last response said "not run"
	WrongResponses        int // responses that were incomplete or belonged to another request
	TruncatedDownloads    int
	LateRequests          int // requests that reached a target more than drainGrace after it started draining
	Detected              bool
	Detection             time.Duration
	FalseEjections        int
	ManifestPropagation   time.Duration // until the second manifest was in force on every node
	WithdrawalPropagation time.Duration
	ErrorSamples          []string
	StopErr               error
}

func (d *Demo) report(t *timeline) *Report {
	runs := map[string]int{}
	late := int64(0)
	for _, target := range append(append([]*target(nil), d.deskTargets...), d.depotTargets...) {
		target.orderCounts(runs)
		late += target.lateRequests.Load()
	}
	d.counts.mu.Lock()
	defer d.counts.mu.Unlock()
	c := &d.counts
	r := &Report{Answered: c.answered, NotRun: c.notRun, Unknown: c.unknown, Withdrawn: c.withdrawn, Other: c.other,
		Orders: c.orders, Downloads: c.downloads, WrongResponses: c.wrongResponses, TruncatedDownloads: c.truncatedDownloads, LateRequests: int(late),
		ManifestPropagation: t.propagation, WithdrawalPropagation: t.withdrawalPropagation, ErrorSamples: c.errorSamples, StopErr: t.stopErr}
	for number, n := range runs {
		if n > 1 {
			r.RanTwice++
		}
		if c.reportedNotRun[number] {
			r.RanAfterNotRun++
		}
	}
	r.Detection, r.Detected = d.deskTargets[grayIndex].arrivals.detection(t.gray, t.grayEnd)
	r.FalseEjections = d.falseEjections(t)
	return r
}

// falseEjections counts periods in which a healthy target received no requests. The
// target with the gray failure is left out from the start of the failure, because
// its share of requests returns in steps.
func (d *Demo) falseEjections(t *timeline) int {
	n := 0
	for i, target := range d.deskTargets {
		end := t.end
		switch i {
		case grayIndex:
			end = t.gray
		case drainIndex:
			end = t.drain
		case stopIndex:
			end = t.stop
		}
		n += target.arrivals.falseEjections(t.traffic, end, idleSpan)
	}
	return n
}

// Violations lists the guarantees that did not hold.
func (r *Report) Violations() []string {
	var out []string
	check := func(bad bool, format string, args ...any) {
		if bad {
			out = append(out, fmt.Sprintf(format, args...))
		}
	}
	check(r.Answered == 0, "nothing was answered")
	check(r.RanTwice > 0, "%d orders ran twice", r.RanTwice)
	check(r.RanAfterNotRun > 0, "%d orders ran although their callers were told that they did not", r.RanAfterNotRun)
	check(r.WrongResponses > 0, "%d responses were wrong", r.WrongResponses)
	check(r.TruncatedDownloads > 0, "%d downloads were truncated", r.TruncatedDownloads)
	check(r.LateRequests > 0, "%d requests reached a target more than %v after it started draining", r.LateRequests, drainGrace)
	check(r.ManifestPropagation > propagationLimit, "the second manifest took %v to be in force on every node", r.ManifestPropagation)
	check(r.WithdrawalPropagation > propagationLimit, "the withdrawal took %v to be in force on every node", r.WithdrawalPropagation)
	check(r.StopErr != nil, "the stopped node did not drain in time: %v", r.StopErr)
	return out
}

// Print writes the report as a table.
func (r *Report) Print(w io.Writer) {
	row := func(name string, value any) { fmt.Fprintf(w, "  %-44s %v\n", name, value) }
	fmt.Fprintln(w, "\nCounted by the demo's own callers and targets:")
	row("answered", r.Answered)
	row("not run", r.NotRun)
	row("unknown", r.Unknown)
	row("refused after withdrawal", r.Withdrawn)
	row("other", r.Other)
	row("orders", r.Orders)
	row("ran twice", r.RanTwice)
	row("ran after 'not run'", r.RanAfterNotRun)
	row("wrong answers", r.WrongResponses)
	row("downloads", r.Downloads)
	row("cut downloads", r.TruncatedDownloads)
	row("work for a leaving target after 2 s", r.LateRequests)
	if r.Detected {
		row("detection time", r.Detection.Round(10*time.Millisecond))
	} else {
		row("detection time", "not detected")
	}
	row("false ejections", r.FalseEjections)
	row("second manifest in force everywhere after", r.ManifestPropagation.Round(time.Millisecond))
	row("withdrawal in force everywhere after", r.WithdrawalPropagation.Round(time.Millisecond))
	for _, f := range r.ErrorSamples {
		fmt.Fprintln(w, "  seen:", f)
	}
	for _, b := range r.Violations() {
		fmt.Fprintln(w, "BROKEN:", b)
	}
}
