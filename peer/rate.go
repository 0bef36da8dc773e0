package peer

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// senderRetention is how long the state of a silent sender is kept.
const senderRetention = time.Minute

// senders holds the rate and penalty of each sending node or connection.
type senders struct {
	perSecond int

	mu    sync.Mutex
	byKey map[string]*sender
	swept time.Time
}

type sender struct {
	limit     *rate.Limiter
	used      time.Time
	penalized time.Time // refused until then
}

func newSenders(perSecond int) *senders {
	return &senders{perSecond: perSecond, byKey: make(map[string]*sender)}
}

// verdict is the result of counting a message.
type verdict int

const (
	within   verdict = iota
	exceeded         // starts a penalty
	// refused is a message during a penalty. It does not prolong the penalty,
	// or a sender that retries would never get through.
	refused
)

// count counts a message of key.
func (s *senders) count(key string, now time.Time) verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep(now)
	e := s.entry(key, now)
	if now.Before(e.penalized) {
		return refused
	}
	if e.limit.AllowN(now, 1) {
		return within
	}
	e.penalized = now.Add(PenaltyDuration)
	return exceeded
}

// penalize refuses messages of key for PenaltyDuration.
func (s *senders) penalize(key string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entry(key, now).penalized = now.Add(PenaltyDuration)
}

func (s *senders) entry(key string, now time.Time) *sender {
	e := s.byKey[key]
	if e == nil {
		e = &sender{limit: rate.NewLimiter(rate.Limit(s.perSecond), s.perSecond)}
		s.byKey[key] = e
	}
	e.used = now
	return e
}

func (s *senders) sweep(now time.Time) {
	if now.Sub(s.swept) < senderRetention {
		return
	}
	s.swept = now
	for key, e := range s.byKey {
		if now.Sub(e.used) > senderRetention {
			delete(s.byKey, key)
		}
	}
}
