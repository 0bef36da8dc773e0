package main

import (
	"fmt"
	"io"
	"math"

	"hyssopbridge/config/manifest"
	"hyssopbridge/health"
	"hyssopbridge/replay"
)

type method struct {
	name string
	core newCore
}

// windowedThreshold is the number of bad requests that gives Windowed about
// the detection time of the sequential test on failed targets.
const windowedThreshold = 3

// sumThreshold does the same for the plain cumulative sum.
const sumThreshold = 3

func methods() []method {
	return []method{
		{"sequential, detection", preferred(manifest.PreferDetection)},
		{"sequential, service", preferred(manifest.PreferService)},
		{"windowed", tuned(health.Tuning{Method: health.Windowed, Threshold: windowedThreshold, MinBad: windowedThreshold})},
		{"plain sum", sum(sumThreshold)},
	}
}

const tableHead = "| %s | method | detected | median ms | worst ms | sick work | late share | false | withheld | floor |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n"

func row(w io.Writer, name, method string, o outcome) {
	fmt.Fprintf(w, "| %s | %s | %d/%d | %s | %s | %d/%d | %.1f%% | %d | %d/%d | %d |\n",
		name, method, len(o.detected), o.intervals, ms(o.at(0.5)), ms(o.at(1)),
		o.sick, o.offered, 100*o.late, o.wrong, o.withheld, o.healthy, o.floor)
}

func ms(v float64) string {
	if v < 0 {
		return "-"
	}
	return fmt.Sprintf("%.0f", v)
}

func (r runner) scenarios(w io.Writer, names []string, seeds int) error {
	fmt.Fprintf(w, tableHead, "scenario")
	for _, name := range names {
		for _, m := range methods() {
			row(w, name, m.name, summarize(r.replayAll(seedsOf(name, seeds), m.name, m.core)))
		}
	}
	return nil
}

func (r runner) files(w io.Writer, files []string) error {
	if len(files) == 0 {
		return nil
	}
	fmt.Fprintf(w, "\n"+tableHead, "trace")
	for _, name := range files {
		t, err := replay.ReadFile(name)
		if err != nil {
			return err
		}
		for _, m := range methods() {
			row(w, name, m.name, summarize([]*replay.Score{replay.RunWith(t, m.name, m.core(t))}))
		}
	}
	return nil
}

func (r runner) claim(w io.Writer, hours float64) {
	traces := quiet(hours)
	fmt.Fprintf(w, "\n| preference | trace | target-hours | false ejections | per 100 target-hours |\n| --- | --- | --- | --- | --- |\n")
	for _, p := range []manifest.Preference{manifest.PreferDetection, manifest.PreferService} {
		for _, scenario := range []string{"healthy", "noisy"} {
			var part []replay.Params
			for _, q := range traces {
				if q.Scenario == scenario {
					part = append(part, q)
				}
			}
			n := summarize(r.replayAll(part, string(p), preferred(p))).wrong
			total := float64(len(part)) * quietLength.Hours() * quietTargets
			fmt.Fprintf(w, "| %s | %s | %.0f | %d | %.2f |\n", p, scenario, math.Round(total), n, 100*float64(n)/total)
		}
	}
}
