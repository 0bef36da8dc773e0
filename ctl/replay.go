package ctl

import (
	"fmt"
	"io"

	"hyssopbridge/config/manifest"
	"hyssopbridge/replay"
	"hyssopbridge/resultcode"
)

func init() {
	register(Command{Name: "replay", Summary: "replay request traces through the failure detector and score it", Run: runReplay})
}

func runReplay(args []string, stdout, stderr io.Writer) int {
	fs := newCommandFlags("replay", "[-json] [-prefer detection|service] FILE...", stdout, resultcode.CommandOK, resultcode.BadUsage)
	asJSON := fs.Bool("json", false, "print one JSON object per file")
	prefer := fs.String("prefer", string(manifest.PreferService), "preference of the service: detection or service")
	if exit := parseArgs(fs, args, atLeastOne, stderr); exit >= 0 {
		return exit
	}
	p := manifest.Preference(*prefer)
	if p != manifest.PreferDetection && p != manifest.PreferService {
		fmt.Fprintf(stderr, "hyssopctl: unknown preference %q, want detection or service\n", *prefer)
		return exitUsage
	}
	return replayFiles(fs.Args(), p, *asJSON, stdout, stderr)
}

// replayFiles prints the scores of the files before the first invalid one.
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
