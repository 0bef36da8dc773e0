package proxy

import (
	"net/http"
	"strconv"
	"time"
)

// idempotencyKey is the header by which a caller names an order.
const idempotencyKey = "Idempotency-Key"

// OrderHomes runs keyed orders at their home node.
type OrderHomes interface {
}

// orderHeaders fences a keyed order at the host node.
type orderHeaders struct {
	epoch    int64
	deadline time.Time // end of the home's lease
}

func (o *orderHeaders) set(h http.Header) {
	h[HeaderEpoch] = []string{strconv.FormatInt(o.epoch, 10)}
	setMillis(h, HeaderLease, time.Until(o.deadline))
}

func (c *call) serveKeyed(string) error { return nil }
