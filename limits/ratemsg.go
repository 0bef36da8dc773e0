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
	PerSecond float64 `cbor:"1,keyasint"`
	Burst     float64 `cbor:"2,keyasint"`
}

// RateRequest asks the owner of a key for an allowance.
type RateRequest struct {
	Key      RateKey `cbor:"1,keyasint"`
	Rate     Rate    `cbor:"2,keyasint"`
	Want     float32 `cbor:"3,keyasint,omitempty"` // tokens wanted
	Spent    float32 `cbor:"4,keyasint,omitempty"` // tokens used ahead of a grant since the last answer
	Returned float32 `cbor:"5,keyasint,omitempty"` // tokens of earlier grants that expired unused
}

// RateGrant answers a RateRequest.
type RateGrant struct {
	Key     RateKey `cbor:"1,keyasint"`
	Tokens  float32 `cbor:"2,keyasint,omitempty"`
	RetryMS uint16  `cbor:"3,keyasint,omitempty"` // when the customer is over its rate: time until the next ask, in ms
}

// RateBatch is the message from a node to an owner. The answer holds a
// RateGrant for each ask, in the same order.
type RateBatch struct {
	Owner    string // node ID
	Requests []RateRequest
}

// MaxRateBatch bounds the requests of one RateBatch.
const MaxRateBatch = 1000

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
