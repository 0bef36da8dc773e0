package filters

import (
	"encoding/json"

	"hyssopbridge/limits"
)

// ClassShedSpec makes the class-shed filter. It limits the requests in flight on
// this node and refuses background requests first.
type ClassShedSpec struct {
	ClassLimits *limits.ClassLimiter // nil disables the filter
}

// Name implements Spec.
func (ClassShedSpec) Name() string { return "class-shed" }

// New implements Spec. The filter takes no arguments.
func (s ClassShedSpec) New(args json.RawMessage) (Filter, error) {
	return classShedFilter{s.ClassLimits}, decodeArgs(args, &struct{}{})
}

type classShedFilter struct{ limiter *limits.ClassLimiter }

// Request implements Filter.
func (f classShedFilter) Request(c *Context) error {
	if f.limiter == nil {
		return nil
	}
	return f.limiter.Acquire(c.Route.Class)
}

// Response implements Filter.
func (classShedFilter) Response(*Context) {}

// Done implements Finisher.
func (f classShedFilter) Done(*Context) {
	if f.limiter != nil {
		f.limiter.Release()
	}
}
