// Command hyssopbridge runs one node of the fleet, or an embedded demo fleet.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"

	"hyssopbridge/config/static"
	"hyssopbridge/demo"
	"hyssopbridge/node"
	"hyssopbridge/operator"
	"hyssopbridge/platform"
)

// Exit codes.
const (
	exitOK    = 0
	exitError = 1
	exitUsage = 2
)

const usage = `usage:
  hyssopbridge node -settings FILE    run one node
  hyssopbridge platform [-metrics PORT] [-log LEVEL] [-log-lines N]
                                      run one node on the operators' platform
  hyssopbridge demo [-for DURATION]   run an embedded fleet with traffic and faults

exit codes: 0 done, 1 error or failed demo check, 2 wrong command line
`

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) == 0 {
		fmt.Fprint(os.Stderr, usage)
		return exitUsage
	}
	switch args[0] {
	case "node":
		return runNode(args[1:])
	case "platform":
		return runPlatform(args[1:])
	case "demo":
		return runDemo(args[1:])
	case "-h", "-help", "--help", "help":
		fmt.Print(usage)
		return exitOK
	}
	fmt.Fprintf(os.Stderr, "hyssopbridge: unknown command %q\n%s", args[0], usage)
	return exitUsage
}

// parseFlags parses the flags. If done is true, the command must exit with code.
func parseFlags(fs *flag.FlagSet, args []string) (code int, done bool) {
	switch err := fs.Parse(args); {
	case errors.Is(err, flag.ErrHelp):
		return exitOK, true
	case err != nil:
		return exitUsage, true
	}
	if fs.NArg() > 0 {
		fmt.Fprintf(os.Stderr, "hyssopbridge %s: unexpected argument %q\n", fs.Name(), fs.Arg(0))
		return exitUsage, true
	}
	return 0, false
}

func runNode(args []string) int {
	fs := flag.NewFlagSet("node", flag.ContinueOnError)
	file := fs.String("settings", "", "settings `FILE`, JSON with comments (required)")
	if code, done := parseFlags(fs, args); done {
		return code
	}
	if *file == "" {
		fmt.Fprintln(os.Stderr, "hyssopbridge node: -settings is required")
		return exitUsage
	}
	s, err := static.Load(*file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitError
	}
	log.SetHandler(operator.NewLogLimiter(logfmt.New(os.Stderr)))
	log.SetLevelFromString(s.LogLevel)
	return runUntilSignal(s)
}

// runUntilSignal runs the node until SIGINT or SIGTERM and then drains it. A second
// signal stops it immediately.
func runUntilSignal(s *static.Settings) int {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	n := node.New(s)
	if err := n.Start(); err != nil {
		log.WithError(err).Error("start")
		return exitError
	}
	<-signals
	ctx, cancel := context.WithTimeout(context.Background(), s.DrainLimit.Std())
	defer cancel()
	go func() {
		<-signals
		cancel()
	}()
	if err := n.Stop(ctx); err != nil {
		log.WithError(err).Error("node stopped before all requests finished (drain limit or second signal)")
		return exitError
	}
	return exitOK
}

// logBufferBytes bounds the log lines buffered while standard output is slow.
const logBufferBytes = 1 << 20

// runPlatform runs a node with the settings of the operators' platform. Log lines
// go to standard output through a buffer, so that they never block a request.
func runPlatform(args []string) int {
	fs := flag.NewFlagSet("platform", flag.ContinueOnError)
	metrics := fs.String("metrics", "", "`PORT` of the metrics page; disabled if empty")
	level := fs.String("log", "info", "`LEVEL` of the log: debug, info, warn or error")
	lines := fs.Int("log-lines", operator.DefaultLinesPerWindow, "log at most `N` lines with the same message in 10 s")
	if code, done := parseFlags(fs, args); done {
		return code
	}
	parsed, err := log.ParseLevel(*level)
	if err != nil {
		fmt.Fprintf(os.Stderr, "hyssopbridge platform: -log %s: want debug, info, warn or error\n", *level)
		return exitUsage
	}
	out := operator.NewAsyncWriter(os.Stdout, logBufferBytes)
	defer out.Close()
	logger := &log.Logger{Handler: operator.NewLogLimiterN(operator.NewLineHandler(out), *lines), Level: parsed}
	if err := platform.Run(logger, *metrics); err != nil {
		logger.WithError(err).Error("start")
		return exitError
	}
	return exitOK
}

const defaultDemo = 40 * time.Second

func runDemo(args []string) int {
	fs := flag.NewFlagSet("demo", flag.ContinueOnError)
	length := fs.Duration("for", defaultDemo, "`DURATION` of the traffic, at least "+demo.MinDuration.String())
	verbose := fs.Bool("v", false, "print the nodes' log to standard error")
	if code, done := parseFlags(fs, args); done {
		return code
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var logger log.Interface
	if *verbose {
		logger = &log.Logger{Handler: operator.NewLogLimiter(logfmt.New(os.Stderr)), Level: log.InfoLevel}
	}
	r, err := demo.Run(ctx, *length, os.Stdout, logger)
	if err != nil {
		fmt.Fprintln(os.Stderr, "hyssopbridge demo:", err)
		return exitError
	}
	r.Print(os.Stdout)
	if len(r.Violations()) > 0 {
		return exitError
	}
	return exitOK
}
