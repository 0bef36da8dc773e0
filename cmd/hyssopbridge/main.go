// Command hyssopbridge runs one node of the fleet, or an embedded demo fleet.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"hyssopbridge/config/static"
	"hyssopbridge/node"
)

const (
	exitError = 1
	exitUsage = 2
)

func main() {
	if len(os.Args) < 2 || os.Args[1] != "node" {
		fmt.Fprintln(os.Stderr, "usage: hyssopbridge node -settings FILE")
		os.Exit(exitUsage)
	}
	os.Exit(runNode(os.Args[2:]))
}

func runNode(args []string) int {
	fs := flag.NewFlagSet("node", flag.ContinueOnError)
	file := fs.String("settings", "", "settings `FILE`, JSON with comments")
	if err := fs.Parse(args); err != nil || *file == "" {
		return exitUsage
	}
	s, err := static.Load(*file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitError
	}
	n := node.New(s)
	if err := n.Start(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitError
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	<-ctx.Done()
	drain, cancel := context.WithTimeout(context.Background(), s.DrainLimit.Std())
	defer cancel()
	n.Stop(drain)
	return 0
}
