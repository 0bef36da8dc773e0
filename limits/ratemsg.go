package limits

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// RateKey identifies a customer of a route.
type RateKey uint64

// NewRateKey returns the key of a customer within a scope, such as a route ID.
func NewRateKey(scope, customer string) RateKey {
	h := xxhash.Sum64String(scope)
	return RateKey(mix(h ^ mix(xxhash.Sum64String(customer))))
}

func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// Rate is a limit on the requests of one customer, fleet-wide.
type Rate struct {
	PerSecond float64
	Burst     float64
}

// RateAsk asks the owner of a key for an allowance.
type RateAsk struct {
	Key   RateKey
	Rate  Rate
	Want  float32 // tokens wanted
	Spent float32 // tokens used without a grant since the last ask
	Back  float32 // tokens of earlier grants that expired unused
}

// RateGrant answers a RateAsk.
type RateGrant struct {
	Key     RateKey
	Tokens  float32
	RetryMS uint16 // when Tokens is less than wanted: time until the next ask, in ms
}

// RateBatch is the message from a node to an owner. The answer holds a
// RateGrant for each ask, in the same order.
type RateBatch struct {
	Owner string // node ID
	Asks  []RateAsk
}

// MaxRateAsks bounds the asks of one RateBatch.
const MaxRateAsks = 1000

const (
	grantValid    = time.Second            // an allowance that is not used goes back after this
	grantHorizon  = 300 * time.Millisecond // demand that one ask covers
	askAhead      = 100 * time.Millisecond // an ask is due when less than the demand of this is left
	retryShort    = 50 * time.Millisecond  // least time between asks of a key that is over its rate
	retryLong     = time.Second            // most time between asks of a key that is over its rate
	cutOffAfter   = 300 * time.Millisecond // without an answer for this long the fallback is used
	idleAfter     = 5 * time.Second        // unused state is dropped after this
	averageTime   = 500 * time.Millisecond // time constant of the averages of demand and grants
	starterShare  = 0.25                   // part of the burst that a node may spend ahead of a grant
	lastShareTime = 10 * time.Second       // the fallback uses the last granted rate for this long
	maxDebt       = 10 * time.Second       // time in which a customer pays back the largest debt
)
