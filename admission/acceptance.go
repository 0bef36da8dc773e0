package admission

import (
	"math"
	"time"
)

const (
	// rejectionMemory is the time constant with which old sends lose weight, so
	// that a share of rejections is known within about a second.
	rejectionMemory = 800 * time.Millisecond
	// priorAccepted is the weight of accepted sends that is assumed, so that a
	// single rejection of a target with few sends is not taken for a share of 1.
	priorAccepted = 0.5
)

// untestedMemory is the time constant with which the share of rejections falls
// while the target gets nothing. It exceeds rejectionMemory: a target that sheds
// for some seconds is tried about once in each of them.
const untestedMemory = 3 * time.Second

// RejectsAfter returns the share of rejections of a target that had the given
// share and got nothing for some time. It falls to 0, so that the target gets
// requests again which show whether it still rejects them.
func RejectsAfter(share float64, untested time.Duration) float64 {
	if share == 0 {
		return 0 // the usual case, in which ranking needs no exponential
	}
	return share * math.Exp(-float64(max(0, untested))/float64(untestedMemory))
}

// rejectionMeter learns which fraction of the requests sent to a target the
// target itself rejects, as a decayed mean. A send counts as accepted until it is
// rejected: an acceptance is only certain at the end of the run, and a mean of
// completed requests would follow a change late.
type rejectionMeter struct {
	at             time.Duration
	sent, rejected float64 // decayed numbers of sends and rejections at that time
}

func (m *rejectionMeter) advance(now time.Duration) {
	kept := rejectionWeight(now - m.at)
	m.sent *= kept
	m.rejected *= kept
	m.at = now
}

// rejectionWeight returns the weight of a send of the given age.
func rejectionWeight(age time.Duration) float64 {
	return math.Exp(-float64(max(0, age)) / float64(rejectionMemory))
}

// observeSend counts a request that is sent to the target.
func (m *rejectionMeter) observeSend(now time.Duration) {
	m.advance(now)
	m.sent++
}

// observeRejection counts the rejection of a request that was sent at a time.
func (m *rejectionMeter) observeRejection(sent, now time.Duration) {
	m.advance(now)
	m.rejected = min(m.sent, m.rejected+rejectionWeight(now-sent))
}

// share returns the fraction of recent sends that the target rejected.
func (m *rejectionMeter) share(now time.Duration) float64 {
	return RejectsAfter(m.rejected/(m.sent+priorAccepted), now-m.at)
}
