package limits

import (
	"math"
	"time"
)

// QuotaPolicy is the tolerance within which quotas must hold: in any window, a
// customer's admitted requests stay within its rate times the window plus its
// burst, increased by the fraction Over and then by Slack.
type QuotaPolicy struct {
	Window time.Duration
	Over   float64
	Slack  float64 // requests
}

// quotaMarginShare is the fraction of the tolerance that buckets add to the
// burst, so that a request within the quota is not refused because messages
// arrive in another order than the requests were sent. The rest covers clocks,
// sizes of the fleet and owners that differ between nodes for a moment.
const quotaMarginShare = 0.25

// quotaStartShare is the fraction of the tolerance that a new owner may grant at
// once. Without it, requests within the quota that arrive close to each other
// would be refused after each change of owner. The tolerance has room for
// several changes in one window.
const quotaStartShare = 0.1

func (p QuotaPolicy) margin(r Rate) float64 { return quotaMarginShare * p.tolerance(r) }

func (p QuotaPolicy) tolerance(r Rate) float64 {
	return p.Over*(r.PerSecond*p.Window.Seconds()+r.Burst) + p.Slack
}

const (
	// An owner knows the highest level of a bucket in each of the latest
	// refundSlots periods of refundSlot. Older tokens are not credited back.
	refundSlots = 128
	refundSlot  = 250 * time.Millisecond
	// answerMemory is how long an owner remembers its latest answer to a node, so
	// that a repeated request gets it again.
	answerMemory = 10 * time.Second
	// refusedWindow is the length of the windows in which an owner counts the
	// refused tokens, to spread the times at which nodes ask again.
	refusedWindow = 300 * time.Millisecond
	// maxQuotaRetry bounds the time after which a refused request may be
	// repeated.
	maxQuotaRetry = 30 * time.Second
)

// quotaBucket is the token bucket of a customer at its owner. It is filled by
// the credit of FleetShare instead of by the time.
type quotaBucket struct {
	rate     Rate
	version  int64
	tokens   float64
	credit   float64 // credit up to which the bucket has been filled
	lastUsed time.Duration
	answers  map[string]*quotaAnswer // latest answer to each node
	// highest holds the highest level in each slot, and slot is the latest one.
	highest [refundSlots]float64
	slot    int64

	window               int64 // number of the window in which refused tokens are counted
	refused, prevRefused uint32
}

// quotaAnswer is the latest answer to one process of a node.
type quotaAnswer struct {
	session int64
	grant   QuotaGrant
	at      time.Duration
}

// supply states how buckets are filled at this moment.
type supply struct {
	now    time.Duration
	credit float64 // of FleetShare
	share  float64
	policy QuotaPolicy
}

// limit returns the most tokens that the bucket may hold. A part of a fleet
// holds its share, but at least one token, without which it could admit nothing.
func (b *quotaBucket) limit(s supply) float64 {
	return max(1, s.share*(b.rate.Burst+s.policy.margin(b.rate)))
}

func (b *quotaBucket) fill(s supply) {
	b.tokens += b.rate.PerSecond * max(0, s.credit-b.credit)
	b.tokens = min(b.tokens, b.limit(s))
	b.credit = max(b.credit, s.credit)
	b.noteLevel(s.now)
}

// noteLevel records the level in the slots since the last call. The level has
// only risen in between.
func (b *quotaBucket) noteLevel(now time.Duration) {
	slot := int64(now / refundSlot)
	for next := max(b.slot+1, slot-refundSlots+1); next <= slot; next++ {
		b.highest[next%refundSlots] = b.tokens
	}
	b.slot = max(b.slot, slot)
	at := &b.highest[b.slot%refundSlots]
	*at = max(*at, b.tokens)
}

// refund credits tokens back whose requests did not run. The bucket gets what it
// would hold if they had never been taken: nothing of what would have
// overflowed since the end of the slot in which they were.
func (b *quotaBucket) refund(s supply, tokens float64, age time.Duration) {
	from := int64(max(0, s.now-age)/refundSlot) + 1
	if b.slot-from >= refundSlots {
		return
	}
	most := b.tokens
	for slot := from; slot <= b.slot; slot++ {
		most = max(most, b.highest[slot%refundSlots])
	}
	tokens = min(tokens, max(0, b.limit(s)-most))
	b.tokens += tokens
	for slot := from; slot <= b.slot; slot++ {
		b.highest[slot%refundSlots] += tokens
	}
}

// answer decides on a request of a node. A repeated request gets the same answer.
func (b *quotaBucket) answer(s supply, from string, session int64, req *QuotaRequest) QuotaGrant {
	last := b.answers[from]
	if last != nil && last.session == session && req.Seq <= last.grant.Seq {
		return last.grant
	}
	if req.Version >= b.version {
		b.version, b.rate = req.Version, Rate{float64(req.PerSecond), float64(req.Burst)}
	}
	b.lastUsed = s.now
	b.fill(s)
	if req.Refund > 0 {
		b.refund(s, float64(req.Refund), time.Duration(req.RefundAge)*time.Millisecond)
	}
	granted := uint32(min(float64(req.Want), max(0, b.tokens)))
	b.tokens -= float64(granted)
	g := QuotaGrant{Key: req.Key, Seq: req.Seq, Granted: granted}
	if granted < req.Want {
		g.RetryMS = b.retryMS(s, req.Want-granted)
	}
	b.answers[from] = &quotaAnswer{session, g, s.now}
	return g
}

// retryMS counts refused tokens and returns the time in ms in which the bucket
// gains as many as were refused in this or the previous window, whichever had
// more.
func (b *quotaBucket) retryMS(s supply, refused uint32) uint32 {
	w := int64(s.now / refusedWindow)
	if w != b.window {
		b.prevRefused = 0
		if w == b.window+1 {
			b.prevRefused = b.refused
		}
		b.refused, b.window = 0, w
	}
	b.refused += refused
	need := float64(max(b.refused, b.prevRefused)) - b.tokens
	wait := maxQuotaRetry.Seconds()
	if rate := b.rate.PerSecond * s.share; rate > 0 {
		wait = min(wait, need/rate)
	}
	return uint32(math.Ceil(wait * 1000))
}

// forgetAnswers drops the answers that are no longer needed.
func (b *quotaBucket) forgetAnswers(now time.Duration) {
	for id, a := range b.answers {
		if now-a.at > answerMemory {
			delete(b.answers, id)
		}
	}
}
