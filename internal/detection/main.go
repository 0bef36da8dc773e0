// Command detection measures the health core on generated traces and on trace
// files, compares it with simpler methods, and writes the table and plot of
// docs/measurements/detection.md. It measures only; nodes do not use it.
package main

import (
	"flag"
	"fmt"
	"os"
	"strings"

	"hyssopbridge/replay"
)

func main() {
	only := flag.String("scenarios", strings.Join(replay.Scenarios(), ","), "scenarios to measure, separated by commas")
	seeds := flag.Int("seeds", 20, "seeds per scenario")
	hours := flag.Float64("hours", 100, "healthy target-hours per point of the sweep")
	claim := flag.Float64("claim", 0, "healthy target-hours for the preferences; 0 skips them")
	sweep := flag.Bool("sweep", false, "measure the trade-off curve")
	plotFile := flag.String("plot", "", "SVG file for the curve; implies -sweep")
	workers := flag.Int("workers", 4, "replays at a time")
	flag.Parse()
	r := runner{workers: *workers}
	if err := run(r, strings.Split(*only, ","), *seeds, *hours, *claim, *sweep || *plotFile != "", *plotFile, flag.Args()); err != nil {
		fmt.Fprintf(os.Stderr, "detection: %v\n", err)
		os.Exit(1)
	}
}

func run(r runner, names []string, seeds int, hours, claim float64, sweep bool, plotFile string, files []string) error {
	if err := r.scenarios(os.Stdout, names, seeds); err != nil {
		return err
	}
	if err := r.files(os.Stdout, files); err != nil {
		return err
	}
	if claim > 0 {
		r.claim(os.Stdout, claim)
	}
	if !sweep {
		return nil
	}
	curves := r.curves(seeds, hours)
	writeCurves(os.Stdout, curves)
	if plotFile == "" {
		return nil
	}
	return plotCurves(plotFile, curves)
}
