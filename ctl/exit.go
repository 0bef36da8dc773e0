package ctl

import (
	"flag"
	"fmt"
	"io"
	"strings"

	"hyssopbridge/resultcode"
)

// Exit codes of commands that change or check the configuration.
const (
	exitInvalid     = 3
	exitConflict    = 4
	exitUnknown     = 5
	exitUnavailable = 6
)

// exitCodes maps result codes to exit codes. The help text of the commands is
// generated from it.
var exitCodes = []struct {
	exit int
	code resultcode.Code
}{
	{exitOK, resultcode.CommandOK},
	{exitUsage, resultcode.BadUsage},
	{exitInvalid, resultcode.InvalidManifest},
	{exitConflict, resultcode.PublishConflict},
	{exitUnknown, resultcode.PublishUnknown},
	{exitUnavailable, resultcode.LogUnavailable},
}

func exitFor(code resultcode.Code) int {
	for _, e := range exitCodes {
		if e.code == code {
			return e.exit
		}
	}
	return exitError
}

// newCommandFlags returns a flag set whose -h prints the usage line, the flags and
// the exit codes of the command.
func newCommandFlags(name, arguments string, stdout io.Writer, codes ...resultcode.Code) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(stdout)
	fs.Usage = func() {
		fmt.Fprintf(stdout, "usage: hyssopctl %s %s\n", name, arguments)
		fs.PrintDefaults()
		fmt.Fprintln(stdout, "exit codes:")
		for _, e := range exitCodes {
			printExit(stdout, codes, e.exit, e.code)
		}
		fmt.Fprintf(stdout, "  %d  any other error\n", exitError)
	}
	return fs
}

func printExit(w io.Writer, codes []resultcode.Code, exit int, code resultcode.Code) {
	for _, c := range codes {
		if c != code {
			continue
		}
		info, _ := resultcode.Lookup(code)
		fmt.Fprintf(w, "  %d  %s: %s\n", exit, code, info.Meaning)
	}
}

// atLeastOne, passed to parseArgs as the number of arguments, requires one or
// more.
const atLeastOne = -1

// parseArgs parses the flags and requires an exact number of arguments, or
// atLeastOne. It returns an exit code, or a negative value if parsing succeeded.
func parseArgs(fs *flag.FlagSet, args []string, want int, stderr io.Writer) int {
	var problems strings.Builder
	usage := fs.Usage
	fs.Usage = func() {}
	out := fs.Output()
	fs.SetOutput(&problems)
	err := fs.Parse(args)
	fs.SetOutput(out)
	switch {
	case err == flag.ErrHelp:
		usage()
		return exitOK
	case err != nil:
		fmt.Fprintf(stderr, "hyssopctl %s: %v\n", fs.Name(), err)
		return exitUsage
	case want == atLeastOne && fs.NArg() == 0:
		fmt.Fprintf(stderr, "hyssopctl %s: no arguments, want at least one; -h shows the usage\n", fs.Name())
		return exitUsage
	case want != atLeastOne && fs.NArg() != want:
		fmt.Fprintf(stderr, "hyssopctl %s: %d arguments, want %d; -h shows the usage\n", fs.Name(), fs.NArg(), want)
		return exitUsage
	}
	return -1
}
