package events

import "time"

// MaxPage is the maximum number of events in a Page.
const MaxPage = 1000

// Filter selects events. Empty fields match everything.
type Filter struct {
	Kinds   []Kind
	Service string
	Target  string
	Request string
	Since   time.Time
	Limit   int // maximum number of events in the Page; default and maximum MaxPage
}

func (f *Filter) limit() int {
	if f.Limit <= 0 || f.Limit > MaxPage {
		return MaxPage
	}
	return f.Limit
}

// Match reports whether f selects e.
func (f *Filter) Match(e *Event) bool {
	return f.matchKind(e.Kind) &&
		(f.Service == "" || f.Service == e.Service) &&
		(f.Target == "" || f.Target == e.Target) &&
		(f.Request == "" || f.Request == e.Request) &&
		!e.Time.Before(f.Since)
}

func (f *Filter) matchKind(k Kind) bool {
	for _, want := range f.Kinds {
		if want == k {
			return true
		}
	}
	return len(f.Kinds) == 0
}
