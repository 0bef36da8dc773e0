package mesh

import (
	"context"
	"time"
)

// deadline is the end of a request's time, by a clock that includes suspensions
// of the machine. Contexts do not include them and may end late, so the
// remaining time is checked before each send.
type deadline struct {
	end time.Duration
	now func() time.Duration
}

// deadlineIn returns the deadline of a request with the given time left.
func deadlineIn(left time.Duration, now func() time.Duration) deadline {
	return deadline{now() + left, now}
}

// left returns the remaining time, which is negative after the deadline.
func (d deadline) left() time.Duration { return d.end - d.now() }

// context returns a context that ends the given grace period after the
// deadline.
func (d deadline) context(ctx context.Context, grace time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, d.left()+grace)
}
