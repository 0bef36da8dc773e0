package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// caseTimeout ends a case that takes too long.
const caseTimeout = 115 * time.Second

// cases maps the name of a case to the function that runs it. trouble is false
// if the disruption is to be left out. The function reports whether the rule
// was broken.
var cases = map[string]func(rec *record, trouble bool, onFleet func(*fleet)) (broken bool, err error){
	"copied-refusal": copiedRefusal,
	"readers-lost":   readersLost,
	"late-heartbeat": lateHeartbeat,
	"earlier-birth":  earlierBirth,
}

func main() { os.Exit(realMain()) }

func realMain() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD-FILE")
		return notRun
	}
	rec := newRecord()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, disruption %t", os.Args[1], trouble)
	var running *fleet
	started := make(chan *fleet, 1)
	type outcome struct {
		broken bool
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		broken, err := cases[os.Args[1]](rec, trouble, func(f *fleet) { started <- f })
		done <- outcome{broken, err}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	code := notRun
	timeout := time.After(caseTimeout)
	for waiting := true; waiting; {
		select {
		case running = <-started:
		case o := <-done:
			waiting = false
			switch {
			case o.err != nil:
				rec.add("not run: %v", o.err)
				fmt.Fprintln(os.Stderr, "not run:", o.err)
			case o.broken:
				code = ruleBroken
			default:
				code = ruleHeld
			}
		case <-timeout:
			waiting = false
			fmt.Fprintln(os.Stderr, "not run: the case took too long")
		case <-stop:
			waiting = false
		}
	}
	select {
	case running = <-started:
	default:
	}
	if running != nil {
		running.close()
	}
	rec.add("exit code %d", code)
	if err := rec.write(os.Args[2]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	return code
}
