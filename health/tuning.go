package health

import (
	"time"

	"hyssopbridge/config/manifest"
)

// Method selects how evidence of a target is summed up.
type Method uint8

// Methods. Production uses Sequential; the other exists for measurements.
const (
	Sequential Method = iota // cumulative log-likelihood ratio
	Windowed                 // number of bad requests in a sliding window
)

// Tuning holds what the preference decides. Measurements vary it; nodes use
// the value that belongs to the preference.
type Tuning struct {
	Method       Method
	Threshold    float64 // nats for Sequential, bad requests for Windowed
	MinBad       int     // bad requests needed before an ejection
	MinTruncated int     // the same where all of them are truncated answers
}

// TuningFor returns the tuning of a preference.
func TuningFor(p manifest.Preference) Tuning {
	if p == manifest.PreferDetection {
		return Tuning{Threshold: detectionThreshold, MinBad: detectionMinBad, MinTruncated: detectionMinCut}
	}
	return Tuning{Threshold: serviceThreshold, MinBad: serviceMinBad, MinTruncated: serviceMinCut}
}

const (
	detectionThreshold = 11.5 // nats
	detectionMinBad    = 3
	detectionMinCut    = 2    // truncated answers
	serviceThreshold   = 18.0 // nats
	serviceMinBad      = 5
	serviceMinCut      = 5
)

const (
	badShare   = 0.2  // share of bad requests in the alternative hypothesis
	rankPower  = 0.1  // bad ranks have density rankPower * u^(rankPower-1)
	minRank    = 1e-4 // bounds the evidence of one request
	badLLR     = 1.0  // nats from which a request counts as bad
	strongLLR  = 2.0  // nats from which a request shows a service-wide fault
	maxScore   = 2.0  // bound of the score, in thresholds
	gateScore  = 3.0  // nats from which other explanations are looked for
	windowSpan = 3 * time.Second
	windowMin  = 0.1 // share of bad requests that Windowed needs
)

const (
	badWindow   = 30 * time.Second // bad requests older than this are no evidence
	faultWindow = 3 * time.Second  // span in which node and class faults are looked for
	burstWindow = 500 * time.Millisecond
	settleTime  = 250 * time.Millisecond // wait while several targets turn bad at once
	classSettle = 500 * time.Millisecond // wait while a class may be at fault
	flagTime    = 2 * time.Second        // a node or class fault lasts this long after its last sign
	activeTime  = 5 * time.Second
)
