package limits

import (
	"math"
	"time"
)

// average is an exponential moving average of a rate per second, with time
// constant averageTimeConstant.
type average struct {
	value float64
	last  time.Duration
}

func (a *average) at(now time.Duration) float64 {
	if now <= a.last {
		return a.value
	}
	return a.value * math.Exp(-float64(now-a.last)/float64(averageTimeConstant))
}

func (a *average) add(now time.Duration, n float64) {
	a.value = a.at(now) + n/averageTimeConstant.Seconds()
	a.last = max(a.last, now)
}

// rateEntry is the state that a node keeps for an active key that it uses.
type rateEntry struct {
	rate           Rate
	owner          int32 // index of the owner node
	version        uint32
	due            bool          // a token request is queued to be sent
	pending        bool          // a token request was sent and has no response yet
	overRate       bool          // the owner had too few tokens for the last request
	firstSent      time.Duration // time of the first token request without a response
	lastSent       time.Duration // time of the last token request
	retryAt        time.Duration
	lastUsed       time.Duration // time of the last customer request
	lastGrant      time.Duration // time of the last grant with tokens
	fallbackSince  time.Duration // start of the current fallback; 0 for none
	tokens         float64
	spent          float64 // used ahead of a grant and not yet reported to the owner
	sentSpent      float64 // spent tokens reported in the pending request
	expired        float64 // tokens that expired unused, to be returned to the owner
	sentExpired    float64 // expired tokens returned in the pending request
	demand         average
	grantRate      average
	fallbackTokens float64 // token bucket of the fallback
	fallbackAt     time.Duration
}

// allow decides on one customer request. send is true if a token request to the
// owner should be sent.
func (e *rateEntry) allow(now time.Duration, nodes int) (ok, send bool) {
	e.lastUsed = now
	e.demand.add(now, 1)
	e.expire(now)
	switch {
	case e.tokens >= 1:
		e.tokens--
		ok = true
	case e.ownerTimedOut(now):
		ok = e.allowFallback(now, nodes)
	case e.mayRunAhead(now):
		e.spent++
		ok = true
	}
	return ok, e.needsRequest(now)
}

// expire moves tokens that were not used in time to those that are returned to
// the owner.
func (e *rateEntry) expire(now time.Duration) {
	if e.tokens > 0 && now-e.lastGrant > grantTTL {
		e.expired += e.tokens
		e.tokens = 0
	}
}

// mayRunAhead reports whether a customer request may use a token ahead of a
// grant. A key that was over its rate at the last grant may not, until
// maxRetryDelay after its retry time.
func (e *rateEntry) mayRunAhead(now time.Duration) bool {
	if e.overRate && now < e.retryAt+maxRetryDelay {
		return false
	}
	return e.spent+e.sentSpent+1 <= e.aheadLimit()
}

// aheadLimit returns the number of tokens that may be used ahead of a grant.
func (e *rateEntry) aheadLimit() float64 { return max(1, aheadShare*e.rate.Burst) }

// needsRequest reports whether a token request should be sent now.
func (e *rateEntry) needsRequest(now time.Duration) bool {
	if e.due || now < e.retryAt {
		return false
	}
	if e.pending && now-e.lastSent < maxRetryDelay {
		return false
	}
	if e.overRate && e.tokens < 1 {
		return true
	}
	// A smaller number of spent tokens is reported by Sweep, which saves
	// messages for customers with few requests.
	if e.spent > 0 && e.spent >= e.aheadLimit()/2 {
		return true
	}
	return e.tokens < e.demand.at(now)*requestAhead.Seconds() && e.want(now) > 0
}

// needsReport reports whether a token request should be sent although no
// customer request arrived: to report spent tokens, to return expired ones, or
// to resend a request that got no response.
func (e *rateEntry) needsReport(now time.Duration) bool {
	if e.due {
		return false
	}
	if e.pending {
		return now-e.lastSent >= maxRetryDelay
	}
	return e.expired+e.spent > 0
}

// want returns the number of tokens to request: the expected demand during
// grantHorizon. A key with little demand that is within its rate needs no tokens
// in advance: its requests run ahead of the grant and are reported as spent.
func (e *rateEntry) want(now time.Duration) float64 {
	if now-e.lastUsed > grantHorizon {
		return 0
	}
	want := min(e.demand.at(now)*grantHorizon.Seconds(), e.rate.Burst)
	if e.overRate {
		want = max(1, want)
	}
	if want < 1 {
		return 0
	}
	return max(0, want-e.tokens)
}

// newRequest returns the token request to send to the owner and marks it as
// pending.
func (e *rateEntry) newRequest(now time.Duration, key RateKey) RateRequest {
	want := e.want(now)
	if !e.pending {
		e.firstSent = now
	}
	e.lastSent = now
	// The content of a request without a response is resent. If only the
	// response was lost, the customer is charged twice, but never too little.
	e.sentSpent += e.spent
	e.sentExpired, e.expired = e.expired, 0
	e.spent, e.due, e.pending = 0, false, true
	return RateRequest{Key: key, Rate: e.rate, Want: float32(want), Spent: float32(e.sentSpent), Returned: float32(e.sentExpired)}
}

// apply handles the owner's response to the pending request.
func (e *rateEntry) apply(now time.Duration, g RateGrant) {
	e.pending, e.fallbackSince = false, 0
	e.sentSpent, e.sentExpired = 0, 0
	e.overRate = g.RetryMS > 0
	if e.overRate {
		e.retryAt = now + time.Duration(g.RetryMS)*time.Millisecond
	}
	if g.Tokens <= 0 {
		return
	}
	e.expire(now)
	e.tokens += float64(g.Tokens)
	e.lastGrant = now
	e.grantRate.add(now, float64(g.Tokens))
}

// ownerTimedOut reports whether the pending request has had no response for
// longer than ownerTimeout.
func (e *rateEntry) ownerTimedOut(now time.Duration) bool {
	return e.pending && now-e.firstSent > ownerTimeout
}

// allowFallback decides on a customer request from a local token bucket while the
// owner does not respond. The bucket fills at an equal share of the customer's
// rate, or during lastRateTime at the last granted rate if that is higher.
func (e *rateEntry) allowFallback(now time.Duration, nodes int) bool {
	if e.fallbackSince == 0 {
		e.fallbackSince, e.fallbackAt, e.fallbackTokens = now, now, 0
	}
	share := 1 / float64(max(1, nodes))
	if now-e.fallbackSince < lastRateTime && e.rate.PerSecond > 0 {
		share = max(share, min(1, e.lastGrantRate()/e.rate.PerSecond))
	}
	gain := share * e.rate.PerSecond * (now - e.fallbackAt).Seconds()
	e.fallbackTokens = min(max(1, share*e.rate.Burst), e.fallbackTokens+gain)
	e.fallbackAt = now
	if e.fallbackTokens < 1 {
		return false
	}
	e.fallbackTokens--
	return true
}

// lastGrantRate returns the tokens per second that the owner granted before it
// stopped responding. The result is doubled for a customer that was within its
// rate, since the owner would have granted it more.
func (e *rateEntry) lastGrantRate() float64 {
	granted := e.grantRate.at(e.firstSent)
	if e.overRate {
		return granted
	}
	return 2 * granted
}
