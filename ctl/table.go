package ctl

import (
	"fmt"
	"io"
	"strings"
	"time"
	"unicode/utf8"
)

// maxColumns is the maximum width of every output line.
const maxColumns = 100

// column is one column of a table.
type column struct {
	title string
	width int  // characters
	right bool // right-aligned
}

// table prints rows with columns of fixed width. Longer values are truncated and
// end in "~".
type table struct {
	w       io.Writer
	columns []column
}

// newTable prints the title row and returns a table for the other rows.
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

// pad returns s padded or truncated to exactly width characters. Control
// characters are replaced, because names come from other systems.
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

// printLine prints a line of text, truncated to maxColumns characters.
func printLine(w io.Writer, format string, args ...any) {
	text := printable(fmt.Sprintf(format, args...))
	if utf8.RuneCountInString(text) > maxColumns {
		text = string([]rune(text)[:maxColumns-1]) + "~"
	}
	fmt.Fprintln(w, text)
}

// formatAge formats an age in ms. A negative age means never.
func formatAge(ms int64) string {
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
