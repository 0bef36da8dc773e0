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
	register(Command{Name: "explain", Summary: "gather what the logs of several hosts say of one request", Run: runExplain})
}

func runExplain(args []string, stdout, stderr io.Writer) int {
	fs := flagsFor("explain", "REQUEST-ID LOG-FILE...", stdout, resultcode.CommandOK, resultcode.BadUsage)
	if exit := parseExact(fs, args, atLeastOne, stderr); exit >= 0 {
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

// logLine is one line of a node's log that names a request.
type logLine struct {
	at      time.Time
	source  string // name of the file
	request string
	message string
	fields  []string // the remaining fields, in the order of the line
}

// maxLogLine bounds a line of a log, in bytes.
const maxLogLine = 1 << 20

// Explain writes what the logs say of a request, in time order: its own lines
// and those of the calls that were made for it, whose IDs begin with its own
// and a dot. Clocks of hosts differ, so lines of different files may be out of
// order by that much. Lines that do not parse are counted and skipped.
func Explain(w io.Writer, id string, files []string) error {
	var found []logLine
	var silent []string
	for _, name := range files {
		lines, skipped, err := readLog(name, id)
		if err != nil {
			return err
		}
		if skipped > 0 {
			fmt.Fprintf(w, "%s: %d lines do not parse\n", name, skipped)
		}
		if len(lines) == 0 {
			silent = append(silent, filepath.Base(name))
		}
		found = append(found, lines...)
	}
	if len(found) == 0 {
		return fmt.Errorf("no line names request %s: it was answered at the first attempt, or its lines were left out under load (field suppressed)", id)
	}
	slices.SortStableFunc(found, func(a, b logLine) int { return a.at.Compare(b.at) })
	first := found[0].at
	for _, l := range found {
		fmt.Fprintf(w, "%+9.3fs  %-24s %s: %s %s\n", l.at.Sub(first).Seconds(), l.source, l.request, l.message, strings.Join(l.fields, " "))
	}
	if len(silent) > 0 {
		fmt.Fprintf(w, "without a line: %s\n", strings.Join(silent, ", "))
	}
	fmt.Fprintln(w, "Times come from the clock of each host; lines of different hosts may be out of order by the difference.")
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
				l.at = at
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
	return l, dec.Err() == nil && !l.at.IsZero() && l.request != ""
}
