package ctl

import (
	"fmt"
	"io"
	"strings"
	"time"
	"unicode/utf8"
)

// maxColumns bounds the lines of every table.
const maxColumns = 100

// column is one column of a table.
type column struct {
	title string
	width int  // characters
	right bool // aligned to the right
}

// table prints rows in fixed columns. Longer values are cut and end in "~".
type table struct {
	w       io.Writer
	columns []column
}

// newTable prints the title line of a table.
func newTable(w io.Writer, columns ...column) *table {
	t := &table{w: w, columns: columns}
	titles := make([]string, len(columns))
	for i, c := range columns {
		titles[i] = c.title
	}
	t.row(titles...)
	return t
}

func (t *table) row(values ...string) {
	var b strings.Builder
	for i, c := range t.columns {
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(pad(values[i], c.width, c.right))
	}
	fmt.Fprintln(t.w, strings.TrimRight(b.String(), " "))
}

// pad returns printable text of exactly width characters. Names come from other
// systems, so control characters are replaced.
func pad(s string, width int, right bool) string {
	s = printable(s)
	n := utf8.RuneCountInString(s)
	switch {
	case n > width:
		return string([]rune(s)[:width-1]) + "~"
	case right:
		return strings.Repeat(" ", width-n) + s
	}
	return s + strings.Repeat(" ", width-n)
}

func printable(s string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f || r == utf8.RuneError {
			return '?'
		}
		return r
	}, s)
}

// line prints text on a line of at most maxColumns characters.
func line(w io.Writer, format string, args ...any) {
	text := printable(fmt.Sprintf(format, args...))
	if utf8.RuneCountInString(text) > maxColumns {
		text = string([]rune(text)[:maxColumns-1]) + "~"
	}
	fmt.Fprintln(w, text)
}

// age formats an age in ms; a negative one was never known.
func age(ms int64) string {
	d := time.Duration(ms) * time.Millisecond
	switch {
	case ms < 0:
		return "never"
	case d < 10*time.Second:
		return fmt.Sprintf("%.1fs", d.Seconds())
	case d < 10*time.Minute:
		return fmt.Sprintf("%.0fs", d.Seconds())
	case d < 10*time.Hour:
		return fmt.Sprintf("%.0fm", d.Minutes())
	}
	return fmt.Sprintf("%.0fh", d.Hours())
}
