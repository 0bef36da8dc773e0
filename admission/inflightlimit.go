package admission

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// limitSamples is how many of the newest sends the search for a limit covers,
	// and limitWindow how old they may be. Targets that serve a few requests in a
	// second get enough sends in it to tell.
	limitSamples = 64
	limitWindow  = 5 * time.Second
	// acceptedBelow and rejectedAbove are the assumed fractions of sends that a
	// target with a limit accepts up to it and rejects above it. The counts of the
	// host node and of the target may differ for a moment.
	acceptedBelow = 0.98
	rejectedAbove = 0.95
	// limitEvidence is the logarithm of the likelihood ratio of a limit to random
	// rejections from which the limit counts as found. It takes about seven
	// rejections and as many accepted sends, and holds by chance for one window in
	// some hundreds, since many limits and windows are compared.
	limitEvidence = 9
	// refutedShare and refutedSends are the share of rejections, and the fewest
	// sends at or below a limit, from which the limit counts as refuted.
	refutedShare = 0.3
	refutedSends = 8
	// raiseInterval is how long a send at the limit must have been accepted for the
	// limit to rise by one, and unusedRaiseInterval the time after which it rises
	// without such a send. A rejection ends the rise for firstRaisePause, then
	// twice as long each time up to maxRaisePause, since each such rejection costs
	// retry budget.
	raiseInterval       = 250 * time.Millisecond
	unusedRaiseInterval = 2 * raiseInterval
	firstRaisePause     = 2 * time.Second
	maxRaisePause       = 8 * time.Second
)

// Logarithms of the assumed fractions.
var (
	logAcceptedBelow = math.Log(acceptedBelow)
	logRejectedBelow = math.Log(1 - acceptedBelow)
	logRejectedAbove = math.Log(rejectedAbove)
	logAcceptedAbove = math.Log(1 - rejectedAbove)
)

// limitSample is a request that was sent to the target.
type limitSample struct {
	sequence uint64
	at       time.Duration
	inFlight int // requests of the host node at the target, with this one
	rejected bool
}

// inFlightLimit learns how many requests a target accepts at a time, if it
// rejects those above a number. Rejections that do not depend on the number in
// flight leave the limit as it is.
type inFlightLimit struct {
	samples  []limitSample // oldest first
	sequence uint64        // of the newest sample
	found    int           // the number found; 0 for none
	current  int           // the limit in force, at least found
	raiseAt  time.Duration // when the limit rises next
	reached  bool          // a send has reached the limit since it rose
	pause    time.Duration // how long the rise pauses after the next rejection
}

// limit returns the number of requests that may be in flight now, from 1 to the
// configured number of slots; less than 1 slot stays as it is.
func (l *inFlightLimit) limit(slots int, now time.Duration) int {
	if l.found == 0 {
		return slots
	}
	for l.current < slots && now >= l.raiseAt {
		l.current++
		l.raiseAt += unusedRaiseInterval
		l.reached = false
	}
	if l.current >= slots {
		*l = inFlightLimit{sequence: l.sequence}
		return slots
	}
	return l.current
}

// nextRise returns when the limit rises next. ok is false if none was found.
func (l *inFlightLimit) nextRise() (at time.Duration, ok bool) { return l.raiseAt, l.found > 0 }

// observeSend records a request that is sent, and the number in flight with it.
// It returns the sequence number of the send.
func (l *inFlightLimit) observeSend(inFlight int, now time.Duration) uint64 {
	l.sequence++
	if l.found > 0 && inFlight >= l.current && !l.reached {
		l.reached, l.raiseAt = true, min(l.raiseAt, now+raiseInterval)
	}
	if len(l.samples) == limitSamples {
		l.samples = slices.Delete(l.samples, 0, 1)
	}
	l.samples = append(l.samples, limitSample{l.sequence, now, inFlight, false})
	return l.sequence
}

// observeRejection records that the target rejected a send.
func (l *inFlightLimit) observeRejection(sequence uint64, slots int, now time.Duration) {
	i, ok := slices.BinarySearchFunc(l.samples, sequence, func(s limitSample, n uint64) int { return cmp.Compare(s.sequence, n) })
	if !ok {
		return
	}
	s := &l.samples[i]
	s.rejected = true
	limit := l.limit(slots, now)
	if l.found > 0 && s.inFlight > l.found && s.inFlight <= limit {
		// The limit rose further than the target accepts.
		l.current = max(l.found, s.inFlight-1)
		l.raiseAt, l.reached = now+l.pause, true
		l.pause = min(2*l.pause, maxRaisePause)
		return
	}
	if at := l.search(now); at > 0 && at < limit {
		l.found, l.current = at, at
		l.pause = max(l.pause, firstRaisePause)
		l.raiseAt, l.reached = now+l.pause, true
	} else if l.found > 0 && l.refuted(now) {
		*l = inFlightLimit{sequence: l.sequence, samples: l.samples}
	}
}

// refuted reports whether the target rejects sends at or below the limit that
// was found.
func (l *inFlightLimit) refuted(now time.Duration) bool {
	sends, rejected := 0, 0
	for _, s := range l.samples {
		if now-s.at <= limitWindow && s.inFlight <= l.found {
			sends++
			if s.rejected {
				rejected++
			}
		}
	}
	return sends >= refutedSends && float64(rejected) >= refutedShare*float64(sends)
}

// search returns the number in flight above which the target rejects requests,
// or 0 if that is not known. It compares the acceptance at low and at high numbers
// over the newest sends, for every number of them, since the limit may have
// changed at any of them.
func (l *inFlightLimit) search(now time.Duration) int {
	best, bestAt := float64(limitEvidence), 0
	var byInFlight []limitSample
	rejected := 0
	for i := len(l.samples) - 1; i >= 0 && now-l.samples[i].at <= limitWindow; i-- {
		s := l.samples[i]
		at, _ := slices.BinarySearchFunc(byInFlight, s, func(a, b limitSample) int { return cmp.Compare(a.inFlight, b.inFlight) })
		byInFlight = slices.Insert(byInFlight, at, s)
		if s.rejected {
			rejected++
		}
		if evidence, at := bestLimit(byInFlight, rejected); evidence > best {
			best, bestAt = evidence, at
		}
	}
	return bestAt
}

// bestLimit returns the limit that is likeliest for sends ordered by the number
// in flight, and the logarithm of its likelihood ratio to random rejections with
// the observed share.
func bestLimit(sends []limitSample, rejected int) (evidence float64, limit int) {
	n, r := float64(len(sends)), float64(rejected)
	if rejected == 0 || rejected == len(sends) {
		return 0, 0
	}
	random := r*math.Log(r/n) + (n-r)*math.Log(1-r/n)
	// With no send below the limit, all are above it.
	likelihood := r*logRejectedAbove + (n-r)*logAcceptedAbove
	for i, s := range sends {
		if s.rejected {
			likelihood += logRejectedBelow - logRejectedAbove
		} else {
			likelihood += logAcceptedBelow - logAcceptedAbove
		}
		isLast := i == len(sends)-1 || sends[i+1].inFlight > s.inFlight
		if isLast && likelihood-random > evidence {
			evidence, limit = likelihood-random, s.inFlight
		}
	}
	return evidence, limit
}
