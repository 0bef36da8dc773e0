package demo

import (
	"fmt"
	"io"
	"time"
)

// Report is what the callers and targets of a demo counted.
type Report struct {
	Answered       int
	NotRun         int
	Unknown        int
	Withdrawn      int
	Other          int
	Orders         int
	Downloads      int
	RanTwice       int // orders that ran more than once
	RanAfterNotRun int // orders that ran although the last word was "not run"
	Wrong          int // answers that were not the whole answer to the own request
	CutDownloads   int
	LateWork       int // requests that reached a leaving target more than 2 s after its notice
	Detected       bool
	Detection      time.Duration
	FalseEjections int
	Agreed         time.Duration // until the second manifest was in force everywhere
	WithdrawnIn    time.Duration
	Faults         []string
	StopErr        error
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
		Orders: c.orders, Downloads: c.downloads, Wrong: c.wrong, CutDownloads: c.cutDownloads, LateWork: int(late),
		Agreed: t.agreed, WithdrawnIn: t.withdrawn, Faults: c.faults, StopErr: t.stopErr}
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

// Broken lists the promises that did not hold.
func (r *Report) Broken() []string {
	var out []string
	check := func(bad bool, format string, args ...any) {
		if bad {
			out = append(out, fmt.Sprintf(format, args...))
		}
	}
	check(r.Answered == 0, "nothing was answered")
	check(r.RanTwice > 0, "%d orders ran twice", r.RanTwice)
	check(r.RanAfterNotRun > 0, "%d orders ran although their callers were told that they did not", r.RanAfterNotRun)
	check(r.Wrong > 0, "%d answers were wrong", r.Wrong)
	check(r.CutDownloads > 0, "%d downloads were cut", r.CutDownloads)
	check(r.LateWork > 0, "%d requests reached a leaving target more than %v after its notice", r.LateWork, leaveBound)
	check(r.Agreed > agreeBound, "the second manifest took %v to be in force everywhere", r.Agreed)
	check(r.WithdrawnIn > agreeBound, "the withdrawal took %v", r.WithdrawnIn)
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
	row("wrong answers", r.Wrong)
	row("downloads", r.Downloads)
	row("cut downloads", r.CutDownloads)
	row("work for a leaving target after 2 s", r.LateWork)
	if r.Detected {
		row("detection time", r.Detection.Round(10*time.Millisecond))
	} else {
		row("detection time", "not detected")
	}
	row("false ejections", r.FalseEjections)
	row("second manifest in force everywhere after", r.Agreed.Round(time.Millisecond))
	row("withdrawal in force everywhere after", r.WithdrawnIn.Round(time.Millisecond))
	for _, f := range r.Faults {
		fmt.Fprintln(w, "  seen:", f)
	}
	for _, b := range r.Broken() {
		fmt.Fprintln(w, "BROKEN:", b)
	}
}
