package main

import (
	"fmt"
	"io"

	"hyssopbridge/health"
	"hyssopbridge/replay"
)

// point is one threshold of a method.
type point struct {
	threshold float64
	median    float64 // ms, over failed, slow8, slow3 and stall15 targets
	p90       float64 // ms
	detected  int
	intervals int
	falseRate float64 // per 100 target-hours without a fault
}

type curve struct {
	name   string
	points []point
}

var sickScenarios = []string{"failed", "slow8", "slow3", "stall15"}

func (r runner) curves(seeds int, hours float64) []curve {
	sequential := curve{name: "sequential"}
	for _, h := range []float64{3, 4.5, 6, 7.5, 9, 11.5, 14, 18, 23} {
		core := tuned(health.Tuning{Threshold: h, MinBad: 2})
		sequential.points = append(sequential.points, r.point(h, core, seeds, hours))
	}
	windowed := curve{name: "windowed"}
	for _, h := range []float64{2, 3, 4, 5, 6, 8} {
		core := tuned(health.Tuning{Method: health.Windowed, Threshold: h, MinBad: int(h)})
		windowed.points = append(windowed.points, r.point(h, core, seeds, hours))
	}
	plain := curve{name: "plain sum"}
	for _, h := range []float64{2, 3, 4, 6, 8} {
		plain.points = append(plain.points, r.point(h, sum(h), seeds, hours))
	}
	return []curve{sequential, windowed, plain}
}

func (r runner) point(threshold float64, core newCore, seeds int, hours float64) point {
	var sick []replay.Params
	for _, name := range sickScenarios {
		sick = append(sick, seedsOf(name, seeds)...)
	}
	found := summarize(r.replayAll(sick, "", core))
	traces := quiet(hours)
	total := float64(len(traces)) * quietLength.Hours() * quietTargets
	wrong := summarize(r.replayAll(traces, "", core)).wrong
	return point{
		threshold: threshold,
		median:    found.at(0.5),
		p90:       found.at(0.9),
		detected:  len(found.detected),
		intervals: found.intervals,
		falseRate: 100 * float64(wrong) / total,
	}
}

func writeCurves(w io.Writer, curves []curve) {
	fmt.Fprint(w, "\n| method | threshold | detected | median ms | p90 ms | false per 100 target-hours |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, c := range curves {
		for _, p := range c.points {
			fmt.Fprintf(w, "| %s | %g | %d/%d | %s | %s | %.2f |\n",
				c.name, p.threshold, p.detected, p.intervals, ms(p.median), ms(p.p90), p.falseRate)
		}
	}
}
