package peer

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// senderRetention is how long the state of an inactive sender is kept.
const senderRetention = time.Minute

// senderLimits holds the rate limiter and the penalty of each sending node and
// of each connection.
type senderLimits struct {
	perSecond int

	mu    sync.Mutex
	byKey map[string]*senderLimit
	swept time.Time
}

type senderLimit struct {
	limit          *rate.Limiter
	lastUsed       time.Time
	penalizedUntil time.Time // messages are refused until then
}

func newSenderLimits(perSecond int) *senderLimits {
	return &senderLimits{perSecond: perSecond, byKey: make(map[string]*senderLimit)}
}

// limitResult is the result of counting a message.
type limitResult int

const (
	allowed  limitResult = iota
	exceeded             // starts a penalty
	// refused is a message during a penalty. It does not extend the penalty;
	// otherwise a sender that retries would be refused forever.
	refused
)

// countMessage counts a message from key and reports whether it is within the
// limit.
func (s *senderLimits) countMessage(key string, now time.Time) limitResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep(now)
	e := s.entry(key, now)
	if now.Before(e.penalizedUntil) {
		return refused
	}
	if e.limit.AllowN(now, 1) {
		return allowed
	}
	e.penalizedUntil = now.Add(PenaltyDuration)
	return exceeded
}

// penalize causes messages from key to be refused for PenaltyDuration.
func (s *senderLimits) penalize(key string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entry(key, now).penalizedUntil = now.Add(PenaltyDuration)
}

func (s *senderLimits) entry(key string, now time.Time) *senderLimit {
	e := s.byKey[key]
	if e == nil {
		e = &senderLimit{limit: rate.NewLimiter(rate.Limit(s.perSecond), s.perSecond)}
		s.byKey[key] = e
	}
	e.lastUsed = now
	return e
}

func (s *senderLimits) sweep(now time.Time) {
	if now.Sub(s.swept) < senderRetention {
		return
	}
	s.swept = now
	for key, e := range s.byKey {
		if now.Sub(e.lastUsed) > senderRetention {
			delete(s.byKey, key)
		}
	}
}
