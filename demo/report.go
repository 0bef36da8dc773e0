package demo

import (
	"fmt"
	"io"
	"time"
)

// Report is what the callers and targets of a demo counted.
type Report struct {
	Answered              int
	NotRun                int
	Unknown               int
	Withdrawn             int
	Other                 int
	Orders                int
	Downloads             int
	RanTwice              int // orders that ran more than once
	RanAfterNotRun        int // orders that ran although the last word was "not run"
	WrongAnswers          int // answers that were not the whole answer to the own request
	CutDownloads          int
	LateRequests          int // requests that reached a leaving target more than 2 s after its notice
	Detected              bool
	Detection             time.Duration
	FalseEjections        int
	ManifestPropagation   time.Duration // until the second manifest was in force everywhere
	WithdrawalPropagation time.Duration
	ErrorSamples          []string
	StopErr               error
}

func (d *Demo) report(t *timeline) *Report {
	runs := map[string]int{}
	late := int64(0)
	for _, target := range append(append([]*target(nil), d.desk...), d.depot...) {
		target.orderCounts(runs)
		late += target.lateWork.Load()
	}
	d.counts.mu.Lock()
	defer d.counts.mu.Unlock()
	c := &d.counts
	r := &Report{Answered: c.answered, NotRun: c.notRun, Unknown: c.unknown, Withdrawn: c.withdrawn, Other: c.other,
		Orders: c.orders, Downloads: c.downloads, WrongAnswers: c.wrong, CutDownloads: c.cutDownloads, LateRequests: int(late),
		ManifestPropagation: t.agreed, WithdrawalPropagation: t.withdrawn, ErrorSamples: c.faults, StopErr: t.stopErr}
	for number, n := range runs {
		if n > 1 {
			r.RanTwice++
		}
		if c.claimedNot[number] {
			r.RanAfterNotRun++
		}
	}
	r.Detection, r.Detected = d.desk[grayIndex].arrivals.detection(t.gray, t.grayEnd)
	r.FalseEjections = d.falseEjections(t)
	return r
}

// falseEjections counts spans in which a healthy target got no work. The target
// that was gray is left out from then on, since it returns in steps.
func (d *Demo) falseEjections(t *timeline) int {
	n := 0
	for i, target := range d.desk {
		end := t.end
		switch i {
		case grayIndex:
			end = t.gray
		case drainIndex:
			end = t.drain
		case stopIndex:
			end = t.stop
		}
		n += target.arrivals.falseEjections(t.traffic, end, quietSpan)
	}
	return n
}

// Violations lists the promises that did not hold.
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
	check(r.WrongAnswers > 0, "%d answers were wrong", r.WrongAnswers)
	check(r.CutDownloads > 0, "%d downloads were cut", r.CutDownloads)
	check(r.LateRequests > 0, "%d requests reached a leaving target more than %v after its notice", r.LateRequests, leaveBound)
	check(r.ManifestPropagation > agreeBound, "the second manifest took %v to be in force everywhere", r.ManifestPropagation)
	check(r.WithdrawalPropagation > agreeBound, "the withdrawal took %v", r.WithdrawalPropagation)
	check(r.StopErr != nil, "the stopped node did not end in time: %v", r.StopErr)
	return out
}

// Print writes the table.
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
	row("wrong answers", r.WrongAnswers)
	row("downloads", r.Downloads)
	row("cut downloads", r.CutDownloads)
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
