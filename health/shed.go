package health

import "time"

const (
	shedBackoffMin = 20 * time.Millisecond
	shedBackoffMax = 320 * time.Millisecond
)

// shedState is the backoff after responses that shed load.
type shedState struct {
	until   time.Duration
	backoff time.Duration
}

func (s *shedState) onShed(now time.Duration) {
	s.backoff = min(max(2*s.backoff, shedBackoffMin), shedBackoffMax)
	s.until = now + s.backoff
}

func (s *shedState) onResponse() { s.backoff /= 2 }

func (s *shedState) allows(now time.Duration) bool { return now >= s.until }
