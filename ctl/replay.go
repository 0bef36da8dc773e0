package ctl

import (
	"flag"
	"fmt"
	"io"

	"hyssopbridge/config/manifest"
	"hyssopbridge/replay"
)

func init() {
	register(Command{Name: "replay", Summary: "replay request traces through the health core and score it", Run: runReplay})
}

func runReplay(args []string, stdout, stderr io.Writer) int {
	fs := flag.NewFlagSet("replay", flag.ContinueOnError)
	fs.SetOutput(stderr)
	fs.Usage = func() {
		fmt.Fprintln(stderr, "usage: hyssopctl replay [-json] [-prefer detection|service] FILE...")
		fs.PrintDefaults()
	}
	asJSON := fs.Bool("json", false, "print one JSON object a file")
	prefer := fs.String("prefer", string(manifest.PreferService), "preference of the service: detection or service")
	if err := fs.Parse(args); err != nil {
		if err == flag.ErrHelp {
			return exitOK
		}
		return exitUsage
	}
	p := manifest.Preference(*prefer)
	if p != manifest.PreferDetection && p != manifest.PreferService {
		fmt.Fprintf(stderr, "hyssopctl: unknown preference %q, want detection or service\n", *prefer)
		return exitUsage
	}
	if fs.NArg() == 0 {
		fs.Usage()
		return exitUsage
	}
	return replayFiles(fs.Args(), p, *asJSON, stdout, stderr)
}

// replayFiles prints the scores of the files up to the first faulty one.
func replayFiles(files []string, p manifest.Preference, asJSON bool, stdout, stderr io.Writer) int {
	code := exitOK
	var scores []*replay.Score
	for _, name := range files {
		t, err := replay.ReadFile(name)
		if err != nil {
			fmt.Fprintf(stderr, "hyssopctl: %v\n", err)
			code = exitError
			break
		}
		scores = append(scores, replay.Run(t, p))
	}
	write := replay.WriteTable
	if asJSON {
		write = replay.WriteJSON
	}
	if err := write(stdout, scores); err != nil {
		fmt.Fprintf(stderr, "hyssopctl: write output: %v\n", err)
		return exitError
	}
	return code
}
