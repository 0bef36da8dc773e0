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

var pageTemplate = template.Must(template.New("report").Funcs(template.FuncMap{
	"percent": func(v float64) string { return fmt.Sprintf("%.4g%%", 100*v) },
	"rate":    func(v float64) string { return fmt.Sprintf("%.1f", v) },
	"ms":      func(v float64) string { return fmt.Sprintf("%.1f", v) },
	"bar":     func(v float64) string { return fmt.Sprintf("%.1f", 200*min(max(v, 0), 1)) },
	"color":   budgetColor,
	"share":   barWidth,
	"time":    func(s int64) string { return time.Unix(s, 0).UTC().Format("2006-01-02 15:04:05 UTC") },
}).Parse(pageSource))

// Shares of the budget left at or below which its color changes.
const (
	budgetLow   = 0.25
	budgetSpent = 0
)

func budgetColor(left float64) string {
	switch {
	case left <= budgetSpent:
		return "#b3261e"
	case left <= budgetLow:
		return "#b36b00"
	}
	return "#2e6b3a"
}

// barWidth returns the width of a bar for n in pixels. The largest count in list
// has a width of 200.
func barWidth(n int64, list []TopContributor) string {
	largest := int64(1)
	for _, t := range list {
		largest = max(largest, t.Bad)
	}
	return fmt.Sprintf("%.1f", 200*float64(n)/float64(largest))
}

// WriteHTML writes a self-contained HTML page.
func WriteHTML(w io.Writer, s *Summary) error { return pageTemplate.Execute(w, s) }
