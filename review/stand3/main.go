// Command stand3 plays the cases 11 and 12 of the review: it starts nodes of the
// project as processes on loopback addresses, with stand-ins of the platform's
// store, instances and clients, and checks one rule. It exits with 1 if the rule
// was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenario is a case. It returns the violations of its rule.
type scenario struct {
	instances instanceFaults
	play      func(f *fleet, trouble bool) ([]string, error)
}

var scenarios = map[string]scenario{}

func main() {
	name := flag.String("case", "", "number of the case")
	program := flag.String("program", "target/hyssopbridge", "the node program")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "bring the disruption about")
	flag.Parse()
	os.Exit(runCase(*name, *program, *record, *trouble))
}

func runCase(name, program, record string, trouble bool) int {
	s, ok := scenarios[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "there is no case %q\n", name)
		return exitNotRun
	}
	rec, err := newRecorder(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	f, err := startFleet(program, rec, s)
	if err != nil {
		rec.note("could not run: %v", err)
		return exitNotRun
	}
	defer f.stop()
	violations, err := s.play(f, trouble)
	if err == nil {
		err = f.unexpectedEnd()
	}
	if err != nil {
		rec.note("could not run: %v", err)
		return exitNotRun
	}
	for _, v := range violations {
		rec.note("BROKEN %s", v)
	}
	if len(violations) > 0 {
		fmt.Printf("case %s: broken %d times\n", name, len(violations))
		return exitBroken
	}
	rec.note("the rule held")
	fmt.Printf("case %s: held\n", name)
	return exitHeld
}

// settle is how long the fleet runs before the load, so that its nodes know each
// other and the instances.
const settle = 4 * time.Second
