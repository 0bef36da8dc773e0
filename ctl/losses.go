package ctl

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/go-logfmt/logfmt"

	"hyssopbridge/resultcode"
)

func init() {
	register(Command{Name: "losses", Summary: "count failed requests by route, code and reason from the logs of several hosts", Run: runLosses})
}

func runLosses(args []string, stdout, stderr io.Writer) int {
	fs := newCommandFlags("losses", "LOG-FILE...", stdout, resultcode.CommandOK, resultcode.BadUsage)
	if exit := parseArgs(fs, args, atLeastOne, stderr); exit >= 0 {
		return exit
	}
	if err := Losses(stdout, fs.Args()); err != nil {
		fmt.Fprintf(stderr, "hyssopctl: %v\n", err)
		return exitError
	}
	return exitOK
}

// loss identifies a kind of failed request.
type loss struct {
	route  string
	code   string // result code
	ran    string // whether the request ran: yes, no or unknown
	reason string // reason of the last refusal, if it was refused
}

// lossTable collects the failed requests of several log files.
type lossTable struct {
	tookMs     map[loss][]int
	suppressed int // lines that the nodes left out because there were too many
	skipped    int // lines that do not parse
}

// Losses writes a table of the requests that failed according to the logs, the
// most frequent kind first: how many there were and after what time they got
// their answer. An error response of a target that is passed on to the caller has
// no line in the log and is not counted.
func Losses(w io.Writer, files []string) error {
	t := lossTable{tookMs: map[loss][]int{}}
	for _, name := range files {
		if err := t.read(name); err != nil {
			return err
		}
	}
	kinds := slices.Collect(maps.Keys(t.tookMs))
	slices.SortFunc(kinds, func(a, b loss) int {
		if d := len(t.tookMs[b]) - len(t.tookMs[a]); d != 0 {
			return d
		}
		return strings.Compare(fmt.Sprint(a), fmt.Sprint(b))
	})
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, "requests\tmedian ms\troute\tcode\tran\treason")
	for _, k := range kinds {
		took := t.tookMs[k]
		slices.Sort(took)
		fmt.Fprintf(out, "%d\t%d\t%s\t%s\t%s\t%s\n", len(took), took[len(took)/2], k.route, k.code, k.ran, k.reason)
	}
	if err := out.Flush(); err != nil {
		return err
	}
	if t.suppressed > 0 || t.skipped > 0 {
		fmt.Fprintf(w, "not counted: %d lines that were suppressed under load, %d that do not parse\n", t.suppressed, t.skipped)
	}
	return nil
}

func (t *lossTable) read(name string) error {
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer f.Close()
	scan := bufio.NewScanner(f)
	scan.Buffer(nil, maxLogLine)
	for scan.Scan() {
		if strings.Contains(scan.Text(), `message="request failed"`) {
			t.add(scan.Text())
		}
	}
	return scan.Err()
}

func (t *lossTable) add(line string) {
	fields, ok := logFields(line)
	took, err := strconv.Atoi(fields["took_ms"])
	if !ok || err != nil {
		t.skipped++
		return
	}
	if n, err := strconv.Atoi(fields["suppressed"]); err == nil {
		t.suppressed += n
	}
	k := loss{route: fields["route"], code: fields["code"], ran: fields["ran"]}
	if i := strings.LastIndex(fields["error"], ": "); k.ran == "no" && i >= 0 {
		k.reason = fields["error"][i+2:]
	}
	t.tookMs[k] = append(t.tookMs[k], took)
}

// logFields returns the fields of a log line.
func logFields(line string) (fields map[string]string, ok bool) {
	fields = map[string]string{}
	dec := logfmt.NewDecoder(strings.NewReader(line))
	for dec.ScanRecord() {
		for dec.ScanKeyval() {
			fields[string(dec.Key())] = string(dec.Value())
		}
	}
	return fields, dec.Err() == nil
}
