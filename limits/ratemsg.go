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

// Rate is the fleet-wide limit on the requests of one customer.
type Rate struct {
	PerSecond float64 `cbor:"1,keyasint"`
	Burst     float64 `cbor:"2,keyasint"`
}

// RateRequest requests tokens from the owner of a key.
type RateRequest struct {
	Key      RateKey `cbor:"1,keyasint"`
	Rate     Rate    `cbor:"2,keyasint"`
	Want     float32 `cbor:"3,keyasint,omitempty"` // tokens requested
	Spent    float32 `cbor:"4,keyasint,omitempty"` // tokens used ahead of a grant since the last response
	Returned float32 `cbor:"5,keyasint,omitempty"` // tokens of earlier grants that expired unused
}

// RateGrant is the response to a RateRequest.
type RateGrant struct {
	Key     RateKey `cbor:"1,keyasint"`
	Tokens  float32 `cbor:"2,keyasint,omitempty"`
	RetryMS uint16  `cbor:"3,keyasint,omitempty"` // if the customer is over its rate: time until the next request, in ms
}

// RateBatch is a message from a node to an owner. The response holds a RateGrant
// for each request, in the same order.
type RateBatch struct {
	Owner    string // node ID
	Requests []RateRequest
}

// MaxRateBatch is the maximum number of requests in one RateBatch.
const MaxRateBatch = 1000

const (
	grantTTL            = time.Second            // granted tokens that are unused after this time are returned
	grantHorizon        = 300 * time.Millisecond // a token request covers the expected demand of this time
	requestAhead        = 100 * time.Millisecond // a token request is due when fewer tokens are left than the demand of this time
	minRetryDelay       = 50 * time.Millisecond  // minimum time between token requests for a key that is over its rate
	maxRetryDelay       = time.Second            // maximum time between token requests for a key that is over its rate, and before a resend
	ownerTimeout        = 300 * time.Millisecond // time without a response after which the fallback is used
	idleTimeout         = 5 * time.Second        // idle state is dropped after this time
	averageTimeConstant = 500 * time.Millisecond // of the moving averages of demand and grants
	aheadShare          = 0.25                   // share of the burst that a node may use ahead of a grant
	lastRateTime        = 10 * time.Second       // time for which the fallback uses the last granted rate
	maxDebtTime         = 10 * time.Second       // the largest debt is one burst plus the tokens of this time
)
