// Command stand2 plays the cases of the second review: it starts nodes with the
// command of the deploy file on loopback addresses, with stand-ins for the store,
// the instances and the clients, and checks one rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the plays by name. trouble is false for the run without the
// disruption. A play returns whether the rule was broken.
var cases = map[string]func(f *fleet, trouble bool) (broken bool, err error){
	"silent-downloads": playSilentDownloads,
	"slow-readers":     playSlowReaders,
	"weights":          playWeights,
	"last-tenant":      playLastTenant,
	"crowd":            playCrowd,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE RECORD-FILE")
		return exitNotRun
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	f, err := newFleet(rec)
	if err != nil {
		rec.line("not run: %v", err)
		return exitNotRun
	}
	defer f.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		<-interrupted
		f.close()
		os.Exit(exitNotRun)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.line("case %s, trouble %v", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](f, trouble)
	switch {
	case err != nil:
		rec.line("not run: %v", err)
		return exitNotRun
	case broken:
		rec.line("the rule was broken")
		return exitBroken
	}
	rec.line("the rule held")
	return exitHeld
}
