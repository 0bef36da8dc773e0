package filters

// Chain runs filters in order. It is immutable.
type Chain struct {
	filters   []Filter
	finishers []Finisher // nil where a filter is none
}

// NewChain returns a chain of the filters.
func NewChain(filters ...Filter) *Chain {
	c := &Chain{filters: filters, finishers: make([]Finisher, len(filters))}
	for i, f := range filters {
		c.finishers[i], _ = f.(Finisher)
	}
	return c
}

// Request runs the Request steps. After an error, Done has run for the filters
// that the request had passed, and must not be called for this chain.
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

// Done ends a request that passed Request.
func (c *Chain) Done(ctx *Context) { c.finish(ctx, len(c.filters)) }

func (c *Chain) finish(ctx *Context, n int) {
	for i := n - 1; i >= 0; i-- {
		if f := c.finishers[i]; f != nil {
			f.Done(ctx)
		}
	}
}
