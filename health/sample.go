package health

import (
	"time"

	"hyssopbridge/fleet"
)

const (
	maxBadSamples  = 32
	maxGoodSamples = 64
)

// sample is a response, or an open request, kept as evidence for or against a
// target.
type sample struct {
	start    time.Duration
	at       time.Duration // end of the request; the time of evaluation while it is open
	llr      float32       // log-likelihood ratio in nats; 0 if another fault explains the sample
	slowness float32       // natural logarithm of the latency relative to the median of the class
	node     uint16
	zone     uint8
	class    fleet.Class
	outcome  Outcome
	pending  bool // the request is still open
}

// ring keeps the newest samples.
type ring struct {
	buf      []sample
	next     int
	capacity int
}

func (r *ring) add(s sample) {
	if len(r.buf) < r.capacity {
		r.buf = append(r.buf, s)
		return
	}
	r.buf[r.next] = s
	r.next = (r.next + 1) % r.capacity
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
