package ctl

import (
	"encoding/json"
	"fmt"
	"io"

	"hyssopbridge/resultcode"
)

func init() {
	register(Command{Name: "codes", Summary: "list the result codes", Run: runCodes})
}

func runCodes(args []string, stdout, stderr io.Writer) int {
	fs := newCommandFlags("codes", "[-json]", stdout, resultcode.CommandOK, resultcode.BadUsage)
	asJSON := fs.Bool("json", false, "print JSON")
	if exit := parseArgs(fs, args, 0, stderr); exit >= 0 {
		return exit
	}
	if *asJSON {
		return printJSON(stdout, stderr, resultcode.All())
	}
	for _, info := range resultcode.All() {
		fmt.Fprintf(stdout, "%d  %-20s ran=%-7s  %s\n", info.Code, info.Name, info.Ran, info.Meaning)
	}
	return exitOK
}

func printJSON(stdout, stderr io.Writer, v any) int {
	enc := json.NewEncoder(stdout)
	if err := enc.Encode(v); err != nil {
		fmt.Fprintf(stderr, "hyssopctl: write output: %v\n", err)
		return exitError
	}
	return exitOK
}
