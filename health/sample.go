package health

import (
	"time"

	"hyssopbridge/fleet"
)

const (
	badRing  = 32
	goodRing = 64
)

// sample is one answer kept to explain a decision.
type sample struct {
	start   time.Duration
	at      time.Duration
	weight  float32 // nats; 0 once it is explained by another fault
	level   float32 // logarithm of the latency relative to the median of the class
	node    uint16
	zone    uint8
	class   fleet.Class
	outcome Outcome
	pending bool
}

// ring keeps the newest samples.
type ring struct {
	buf  []sample
	next int
	max  int
}

func (r *ring) add(s sample) {
	if len(r.buf) < r.max {
		r.buf = append(r.buf, s)
		return
	}
	r.buf[r.next] = s
	r.next = (r.next + 1) % r.max
}

// since appends the samples not older than the given time to dst.
func (r *ring) since(dst []*sample, oldest time.Duration) []*sample {
	for i := range r.buf {
		if r.buf[i].at >= oldest {
			dst = append(dst, &r.buf[i])
		}
	}
	return dst
}

func (r *ring) clear() {
	r.buf = r.buf[:0]
	r.next = 0
}
