package filters

// Chain runs filters in order. It is immutable.
type Chain struct {
	filters   []Filter
	finishers []Finisher // parallel to filters; nil if a filter does not implement Finisher
}

// NewChain returns a chain that runs the filters in the given order.
func NewChain(filters ...Filter) *Chain {
	c := &Chain{filters: filters, finishers: make([]Finisher, len(filters))}
	for i, f := range filters {
		c.finishers[i], _ = f.(Finisher)
	}
	return c
}

// Request runs the Request steps in order and stops at the first error. In that
// case Done has already run for the filters that the request passed, and the
// caller must not call Done.
func (c *Chain) Request(ctx *Context) error {
	for i, f := range c.filters {
		if err := f.Request(ctx); err != nil {
			c.finish(ctx, i)
			return err
		}
	}
	return nil
}

// Response runs the Response steps in reverse order.
func (c *Chain) Response(ctx *Context) {
	for i := len(c.filters) - 1; i >= 0; i-- {
		c.filters[i].Response(ctx)
	}
}

// Done runs the Done steps in reverse order. Call it once for each request for
// which Request returned no error.
func (c *Chain) Done(ctx *Context) { c.finish(ctx, len(c.filters)) }

// finish runs the Done steps of the first n filters in reverse order.
func (c *Chain) finish(ctx *Context, n int) {
	for i := n - 1; i >= 0; i-- {
		if f := c.finishers[i]; f != nil {
			f.Done(ctx)
		}
	}
}
