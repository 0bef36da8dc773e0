package ctl

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"

	"hyssopbridge/resultcode"
)

func init() {
	register(Command{Name: "explain", Summary: "show the log lines of one request from the logs of several hosts", Run: runExplain})
}

func runExplain(args []string, stdout, stderr io.Writer) int {
	fs := newCommandFlags("explain", "REQUEST-ID LOG-FILE...", stdout, resultcode.CommandOK, resultcode.BadUsage)
	if exit := parseArgs(fs, args, atLeastOne, stderr); exit >= 0 {
		return exit
	}
	if fs.NArg() < 2 {
		fmt.Fprintln(stderr, "hyssopctl: want a REQUEST-ID and at least one LOG-FILE")
		return exitUsage
	}
	if err := Explain(stdout, fs.Arg(0), fs.Args()[1:]); err != nil {
		fmt.Fprintf(stderr, "hyssopctl: %v\n", err)
		return exitError
	}
	return exitOK
}

// logLine is a line of a node's log with a request ID.
type logLine struct {
	time    time.Time
	source  string // name of the log file
	request string
	message string
	fields  []string // the remaining fields, in the order of the line
}

// maxLogLine bounds the length of a log line, in bytes.
const maxLogLine = 1 << 20

// Explain writes the log lines of a request in the order of their timestamps: the
// lines with its ID and those of the calls made on its behalf, whose IDs start
// with its ID and a dot. Lines of different hosts may be out of order by the
// difference of their clocks. Lines that do not parse are counted and skipped.
func Explain(w io.Writer, id string, files []string) error {
	var found []logLine
	var withoutMatch []string
	for _, name := range files {
		lines, skipped, err := readLog(name, id)
		if err != nil {
			return err
		}
		if skipped > 0 {
			fmt.Fprintf(w, "%s: skipped %d lines that do not parse\n", name, skipped)
		}
		if len(lines) == 0 {
			withoutMatch = append(withoutMatch, filepath.Base(name))
		}
		found = append(found, lines...)
	}
	if len(found) == 0 {
		return fmt.Errorf("no log line has request ID %s: it was answered at the first attempt, or its lines were suppressed under load (field suppressed)", id)
	}
	slices.SortStableFunc(found, func(a, b logLine) int { return a.time.Compare(b.time) })
	first := found[0].time
	for _, l := range found {
		fmt.Fprintf(w, "%+9.3fs  %-24s %s: %s %s\n", l.time.Sub(first).Seconds(), l.source, l.request, l.message, strings.Join(l.fields, " "))
	}
	if len(withoutMatch) > 0 {
		fmt.Fprintf(w, "no lines in: %s\n", strings.Join(withoutMatch, ", "))
	}
	fmt.Fprintln(w, "Timestamps come from the clock of each host; lines of different hosts may be out of order by the clock difference.")
	return nil
}

func readLog(name, id string) (lines []logLine, skipped int, err error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, 0, err
	}
	defer f.Close()
	scan := bufio.NewScanner(f)
	scan.Buffer(nil, maxLogLine)
	for scan.Scan() {
		text := scan.Text()
		if !strings.Contains(text, "request="+id) {
			continue
		}
		l, ok := parseLogLine(text)
		if !ok {
			skipped++
			continue
		}
		if l.request == id || strings.HasPrefix(l.request, id+".") {
			l.source = filepath.Base(name)
			lines = append(lines, l)
		}
	}
	return lines, skipped, scan.Err()
}

func parseLogLine(text string) (logLine, bool) {
	var l logLine
	dec := logfmt.NewDecoder(strings.NewReader(text))
	for dec.ScanRecord() {
		for dec.ScanKeyval() {
			key, value := string(dec.Key()), string(dec.Value())
			switch key {
			case "timestamp":
				at, err := time.Parse(time.RFC3339Nano, value)
				if err != nil {
					return l, false
				}
				l.time = at
			case "request":
				l.request = value
			case "message":
				l.message = value
			case "level":
			default:
				l.fields = append(l.fields, fmt.Sprintf("%s=%q", key, value))
			}
		}
	}
	return l, dec.Err() == nil && !l.time.IsZero() && l.request != ""
}
