package burn

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"time"
)

//go:embed report.html
var pageSource string

var page = template.Must(template.New("report").Funcs(template.FuncMap{
	"percent": func(v float64) string { return fmt.Sprintf("%.4g%%", 100*v) },
	"rate":    func(v float64) string { return fmt.Sprintf("%.1f", v) },
	"ms":      func(v float64) string { return fmt.Sprintf("%.1f", v) },
	"bar":     func(v float64) string { return fmt.Sprintf("%.1f", 200*min(max(v, 0), 1)) },
	"color":   budgetColor,
	"share":   share,
	"time":    func(s int64) string { return time.Unix(s, 0).UTC().Format("2006-01-02 15:04:05 UTC") },
}).Parse(pageSource))

// Limits of the colours of a budget.
const (
	budgetLow  = 0.25
	budgetGone = 0
)

func budgetColor(left float64) string {
	switch {
	case left <= budgetGone:
		return "#b3261e"
	case left <= budgetLow:
		return "#b36b00"
	}
	return "#2e6b3a"
}

// share returns the width of a bar for n of the largest count, at most 200.
func share(n int64, list []TopContributor) string {
	largest := int64(1)
	for _, t := range list {
		largest = max(largest, t.Bad)
	}
	return fmt.Sprintf("%.1f", 200*float64(n)/float64(largest))
}

// WriteHTML writes a page that needs no other file.
func WriteHTML(w io.Writer, s *Summary) error { return page.Execute(w, s) }
