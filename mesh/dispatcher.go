package mesh

import (
	"context"
	"net/http"
	"time"

	"hyssopbridge/admission"
	"hyssopbridge/config/dynamic"
	"hyssopbridge/placement"
	"hyssopbridge/resultcode"
)

// placer finds a target for each request and repeats what may be repeated.
type placer struct {
	self    string
	zone    string
	view    *placement.View
	host    *host
	remote  hostAsker
	times   *runTimes
	hedges  *hedges
	log     *journal
	metrics *metrics
}

// hostAsker reserves slots at other nodes. The error is a refusal if the host
// node answered.
type hostAsker interface {
	reserve(ctx context.Context, addr string, r admission.Request) (slot, error)
}

// call is one request on its way to a target.
type call struct {
	p        *placer
	ctx      context.Context
	q        *request
	route    *dynamic.Route
	service  string
	start    time.Time
	tried    []string // hosts whose target ran the request
	spent    []string // hosts that admit no repeat
	arrivals int      // targets that got the request, whether they ran it or not
	fallback *answer  // failure of a target that is passed on if no other target does better
	hedge    bool     // another attempt is under way
	rounds   int      // rounds of asking host nodes, once a target has had the request
}

// placed is a reserved slot.
type placed struct {
	slot
	addr   string
	target string
}

// serve returns the answer of a target. The error is a *resultcode.Error.
func (p *placer) serve(ctx context.Context, q *request, route *dynamic.Route, service string, start time.Time) (*answer, error) {
	c := &call{p: p, ctx: ctx, q: q, route: route, service: service, start: start, rounds: repeatRounds}
	var last *resultcode.Error
	for {
		s, err := c.place()
		if err != nil {
			return c.giveUp(last, err)
		}
		a, err := c.race(s)
		if err == nil && !c.wantsAnother(a) {
			c.keepFallback(nil)
			return a, nil
		}
		if err == nil {
			c.keepFallback(a)
			last = nil
			continue
		}
		last = asResult(err)
		if !c.mayRepeat(last) {
			return c.giveUp(last, last)
		}
	}
}

// giveUp ends a request for which no further target was found. Proof that the
// newest attempt was not run says nothing about earlier ones.
func (c *call) giveUp(last *resultcode.Error, placing error) (*answer, error) {
	if c.arrivals > 0 && placing != error(last) {
		c.p.log.notSentAgain(c.q.id, c.service, asResult(placing), len(c.tried), c.left())
	}
	if c.fallback != nil {
		return c.fallback, nil
	}
	if last == nil || len(c.tried) == 0 {
		return nil, placing
	}
	res := *last
	if res.Ran == resultcode.RanNo {
		res.Ran = resultcode.RanUnknown
	}
	return nil, &res
}

func (c *call) keepFallback(a *answer) {
	if c.fallback != nil {
		c.fallback.close()
	}
	c.fallback = a
}

// wantsAnother reports whether a failure that a target answered should be
// tried at another target.
func (c *call) wantsAnother(a *answer) bool {
	return a.status >= http.StatusInternalServerError && c.q.idempotent && c.canSendAgain()
}

// mayRepeat reports whether a failed request may go to another target.
func (c *call) mayRepeat(e *resultcode.Error) bool {
	if c.ctx.Err() != nil {
		return false
	}
	if e.Ran == resultcode.RanNo {
		return c.q.rest == nil && c.left() > minRunTime
	}
	return c.q.idempotent && c.canSendAgain()
}

func (c *call) canSendAgain() bool {
	return c.q.rest == nil && len(c.tried) < c.route.Attempts && c.left() > minRunTime
}

// held returns how long the request has been here, in parts of the objective.
func (c *call) held() float64 {
	return float64(time.Since(c.start)) / float64(c.route.Objective)
}

func (c *call) left() time.Duration { return c.q.deadline.left() }

// send runs the request at a target. It changes nothing of the call, so that
// several attempts may be under way.
func (c *call) send(ctx context.Context, s placed) (*answer, error) {
	c.p.view.Begin(s.addr)
	defer c.p.view.End(s.addr)
	start := time.Now()
	a, err := s.run(ctx, c.q)
	if err == nil && a.status < http.StatusInternalServerError {
		c.p.times.observe(c.route, time.Since(start))
	}
	return a, err
}

// settle records how an attempt ended.
func (c *call) settle(s placed, err error) {
	if err == nil {
		c.arrivals++
		c.tried = append(c.tried, s.addr)
		c.p.view.PathSucceeded(s.addr)
		return
	}
	res := asResult(err)
	if res.Ran != resultcode.RanNo {
		c.arrivals++
		c.tried = append(c.tried, s.addr)
	}
	switch res.Code {
	case resultcode.ShedByTarget:
		c.arrivals++
		c.p.view.Refused(s.addr)
	case resultcode.NoTarget:
		c.p.view.Refused(s.addr)
	case resultcode.PeerUnreachable, resultcode.PeerLost:
		c.p.view.PathFailed(s.addr)
	}
	c.p.log.attemptFailed(c.q.id, s.addr, s.target, res, len(c.tried), c.left())
}
