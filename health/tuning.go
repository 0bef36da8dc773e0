package health

import (
	"time"

	"hyssopbridge/config/manifest"
)

// Method is how the evidence against a target is accumulated.
type Method uint8

// Methods. Nodes use Sequential; Windowed exists for comparison in measurements.
const (
	Sequential Method = iota // cumulative log-likelihood ratio
	Windowed                 // number of bad requests in a sliding window
)

// Tuning holds the parameters that depend on the service's preference. Nodes
// use TuningFor; measurements vary the values.
type Tuning struct {
	Method       Method
	Threshold    float64 // nats for Sequential, bad requests for Windowed
	MinBad       int     // bad requests needed before an ejection
	MinTruncated int     // the same if all of them are truncated responses
}

// TuningFor returns the tuning for a preference.
func TuningFor(p manifest.Preference) Tuning {
	if p == manifest.PreferDetection {
		return Tuning{Threshold: detectionThreshold, MinBad: detectionMinBad, MinTruncated: detectionMinTruncated}
	}
	return Tuning{Threshold: serviceThreshold, MinBad: serviceMinBad, MinTruncated: serviceMinTruncated}
}

const (
	detectionThreshold    = 11.5 // nats
	detectionMinBad       = 3
	detectionMinTruncated = 2    // truncated responses
	serviceThreshold      = 18.0 // nats
	serviceMinBad         = 5
	serviceMinTruncated   = 5
)

const (
	badShare       = 0.2  // share of bad requests under the alternative hypothesis
	rankPower      = 0.1  // bad requests have rank density rankPower * u^(rankPower-1)
	minRank        = 1e-4 // limits the log-likelihood ratio of one request
	badLLR         = 1.0  // nats from which a request counts as bad
	strongLLR      = 2.0  // nats from which a request counts as strongly bad
	maxScoreFactor = 2.0  // upper limit of the score, as a multiple of the threshold
	suspectScore   = 3.0  // nats from which other explanations are considered
	windowSpan     = 3 * time.Second
	windowMinShare = 0.1 // share of bad requests from which Windowed counts them
)

const (
	badWindow       = 30 * time.Second       // age from which bad requests no longer count
	faultWindow     = 3 * time.Second        // span in which node and class faults are looked for
	burstWindow     = 500 * time.Millisecond // age up to which a strongly bad request marks its target as suddenly bad
	burstDelay      = 250 * time.Millisecond // wait while several targets turn bad at once
	classFaultDelay = 500 * time.Millisecond // wait while a class may be at fault
	faultLifetime   = 2 * time.Second        // of a node or class fault after it was last found
	activeWindow    = 5 * time.Second        // a target is active for this long after its last response
)
