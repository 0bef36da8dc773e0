package ctl

import (
	"fmt"
	"io"
	"sort"
)

// Exit codes shared by all commands.
const (
	exitOK    = 0
	exitError = 1
	exitUsage = 2
)

// Command is one subcommand of hyssopctl.
type Command struct {
	Name    string // one word, or two words such as "report burn"
	Summary string // one line for the list of commands
	// Run executes the command and returns its exit code.
	Run func(args []string, stdout, stderr io.Writer) int
}

var commands = map[string]Command{}

// register adds a command. The files of this package call it from init.
func register(c Command) { commands[c.Name] = c }

// Run executes the command line given by args and returns the exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	for words := 2; words >= 1; words-- {
		if len(args) < words {
			continue
		}
		if c, ok := commands[join(args[:words])]; ok {
			return c.Run(args[words:], stdout, stderr)
		}
	}
	if len(args) == 1 && (args[0] == "-h" || args[0] == "help") {
		usage(stdout)
		return exitOK
	}
	if len(args) > 0 {
		fmt.Fprintf(stderr, "hyssopctl: unknown command %q\n", args[0])
	}
	usage(stderr)
	return exitUsage
}

func join(words []string) string {
	if len(words) == 2 {
		return words[0] + " " + words[1]
	}
	return words[0]
}

func usage(w io.Writer) {
	fmt.Fprintln(w, "usage: hyssopctl COMMAND [flags] [arguments]")
	names := make([]string, 0, len(commands))
	for name := range commands {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		fmt.Fprintf(w, "  %-12s %s\n", name, commands[name].Summary)
	}
}
