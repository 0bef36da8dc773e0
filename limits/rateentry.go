package limits

import (
	"math"
	"time"
)

// average is a rate per second over about averageTime.
type average struct {
	value float64
	last  time.Duration
}

func (a *average) at(now time.Duration) float64 {
	if now <= a.last {
		return a.value
	}
	return a.value * math.Exp(-float64(now-a.last)/float64(averageTime))
}

func (a *average) add(now time.Duration, n float64) {
	a.value = a.at(now) + n/averageTime.Seconds()
	a.last = max(a.last, now)
}

// rateEntry is what a node keeps of an active key.
type rateEntry struct {
	rate     Rate
	owner    int32 // index of the owner node
	version  uint32
	due      bool          // an ask waits to be sent
	pending  bool          // an ask was sent and not answered
	short    bool          // the last grant was smaller than wanted
	asked    time.Duration // first ask that is not answered
	resent   time.Duration // last ask
	retryAt  time.Duration
	used     time.Duration // last request
	granted  time.Duration // last grant with tokens
	cutSince time.Duration // start of the present fallback; 0 for none
	tokens   float64
	spent    float64 // used ahead of a grant, not yet reported
	sent     float64 // reported in the pending ask
	back     float64 // expired, to be returned
	sentBack float64
	demand   average
	income   average
	local    float64 // tokens of the fallback
	localAt  time.Duration
}

// take decides on one request. ask is true when an ask should be sent.
func (e *rateEntry) take(now time.Duration, nodes int) (ok, ask bool) {
	e.used = now
	e.demand.add(now, 1)
	e.expire(now)
	switch {
	case e.tokens >= 1:
		e.tokens--
		ok = true
	case e.cutOff(now):
		ok = e.takeLocal(now, nodes)
	case e.mayStart(now):
		e.spent++
		ok = true
	}
	return ok, e.wantsAsk(now)
}

// expire moves an allowance that was not used in time to the tokens to return.
func (e *rateEntry) expire(now time.Duration) {
	if e.tokens > 0 && now-e.granted > grantValid {
		e.back += e.tokens
		e.tokens = 0
	}
}

// mayStart reports whether a request may run ahead of a grant. A key whose
// last grant was short may not, until its retry time is well past.
func (e *rateEntry) mayStart(now time.Duration) bool {
	if e.short && now < e.retryAt+retryLong {
		return false
	}
	return e.spent+e.sent+1 <= e.starter()
}

// starter returns the tokens that may be used ahead of a grant.
func (e *rateEntry) starter() float64 { return max(1, starterShare*e.rate.Burst) }

func (e *rateEntry) wantsAsk(now time.Duration) bool {
	if e.due || now < e.retryAt {
		return false
	}
	if e.pending && now-e.resent < retryLong {
		return false
	}
	if e.short && e.tokens < 1 {
		return true
	}
	// A smaller number of spent tokens waits for Sweep, which saves messages
	// for customers with few requests.
	if e.spent > 0 && e.spent >= e.starter()/2 {
		return true
	}
	return e.tokens < e.demand.at(now)*askAhead.Seconds() && e.want(now) > 0
}

// wantsReport reports whether an ask should be sent although no request came:
// to report spent tokens, to return an allowance, or to repeat a lost ask.
func (e *rateEntry) wantsReport(now time.Duration) bool {
	if e.due {
		return false
	}
	if e.pending {
		return now-e.resent >= retryLong
	}
	return e.back+e.spent > 0
}

// want returns the tokens to ask for: the demand of grantHorizon. A key with
// little demand that is within its rate needs no tokens in advance; its
// requests run ahead of the grant and are reported as spent.
func (e *rateEntry) want(now time.Duration) float64 {
	if now-e.used > grantHorizon {
		return 0
	}
	want := min(e.demand.at(now)*grantHorizon.Seconds(), e.rate.Burst)
	if e.short {
		want = max(1, want)
	}
	if want < 1 {
		return 0
	}
	return max(0, want-e.tokens)
}

// ask returns the message to the owner and marks it as pending.
func (e *rateEntry) ask(now time.Duration, key RateKey) RateRequest {
	want := e.want(now)
	if !e.pending {
		e.asked = now
	}
	e.resent = now
	// The content of an unanswered ask is sent again. If only the answer was
	// lost, the customer is charged twice, never too little.
	e.sent += e.spent
	e.sentBack, e.back = e.back, 0
	e.spent, e.due, e.pending = 0, false, true
	return RateRequest{Key: key, Rate: e.rate, Want: float32(want), Spent: float32(e.sent), Returned: float32(e.sentBack)}
}

func (e *rateEntry) apply(now time.Duration, g RateGrant) {
	e.pending, e.cutSince = false, 0
	e.sent, e.sentBack = 0, 0
	e.short = g.RetryMS > 0
	if e.short {
		e.retryAt = now + time.Duration(g.RetryMS)*time.Millisecond
	}
	if g.Tokens <= 0 {
		return
	}
	e.expire(now)
	e.tokens += float64(g.Tokens)
	e.granted = now
	e.income.add(now, float64(g.Tokens))
}

// cutOff reports whether the owner has not answered for too long.
func (e *rateEntry) cutOff(now time.Duration) bool {
	return e.pending && now-e.asked > cutOffAfter
}

// takeLocal uses a local bucket with the last granted rate, or later with an
// equal share of the rate.
func (e *rateEntry) takeLocal(now time.Duration, nodes int) bool {
	if e.cutSince == 0 {
		e.cutSince, e.localAt, e.local = now, now, 0
	}
	share := 1 / float64(max(1, nodes))
	if now-e.cutSince < lastShareTime && e.rate.PerSecond > 0 {
		share = max(share, min(1, e.lastIncome()/e.rate.PerSecond))
	}
	gain := share * e.rate.PerSecond * (now - e.localAt).Seconds()
	e.local = min(max(1, share*e.rate.Burst), e.local+gain)
	e.localAt = now
	if e.local < 1 {
		return false
	}
	e.local--
	return true
}

// lastIncome returns the tokens per second that the owner granted last. A
// customer that was within its rate has some room above that.
func (e *rateEntry) lastIncome() float64 {
	income := e.income.at(e.asked)
	if e.short {
		return income
	}
	return 2 * income
}
