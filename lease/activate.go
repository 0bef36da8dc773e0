package lease

import (
	"slices"
	"time"

	"hyssopbridge/fleet"
)

// updateActive marks the current epoch as active once its wait is over.
func (c *Core) updateActive(now time.Duration, wallMS int64, s *service) {
	if s.current.Epoch == 0 || s.activeEpoch >= s.current.Epoch {
		return
	}
	at, ok := c.activeAt(s)
	if ok && now >= at {
		s.setActive(s.current.Epoch, wallMS)
	}
}

func (s *service) setActive(epoch, wallMS int64) {
	if epoch > s.activeEpoch {
		s.activeEpoch = epoch
		s.activeWall = wallMS
	}
}

// activeAt returns the time from which no member of the base epoch can hold a
// lease. ok is false while that time is unknown.
func (c *Core) activeAt(s *service) (at time.Duration, ok bool) {
	if s.current.Base == 0 {
		return s.learnedAt, true
	}
	if s.current.Forced {
		return s.learnedAt + Term + DriftMargin, true
	}
	if !s.hasBase || len(s.base.Members) == 0 {
		return 0, false
	}
	times := c.ackTimes(s)
	need := majority(len(s.base.Members))
	if len(times) < need {
		return 0, false
	}
	slices.Sort(times)
	return times[need-1] + Term + DriftMargin, true
}

// ackTimes returns the times from which members of the base epoch will never
// confirm it again (see recordAck). For this process that is the time at which
// it learned of the current epoch.
func (c *Core) ackTimes(s *service) []time.Duration {
	times := make([]time.Duration, 0, MaxMembers)
	for _, m := range s.base.Members {
		if m.Node == c.self.Node && m.Incarnation <= c.self.Incarnation {
			times = append(times, s.learnedAt)
			continue
		}
		if t, ok := s.acks[m.Node]; ok {
			times = append(times, t)
		}
	}
	return times
}

// recordAck records that a member of the base epoch will never confirm that
// epoch again: either it acknowledged the current epoch, or its process has
// ended and a later one responds. A message from an earlier process proves
// neither.
func (s *service) recordAck(now time.Duration, from fleet.Member, epoch int64) {
	i := memberIndex(s.base.Members, from.Node)
	if i < 0 {
		return
	}
	m := s.base.Members[i]
	acked := from.Incarnation == m.Incarnation && epoch >= s.current.Epoch
	restarted := from.Incarnation > m.Incarnation
	if !acked && !restarted {
		return
	}
	if _, known := s.acks[m.Node]; !known {
		s.acks[m.Node] = now
	}
}
