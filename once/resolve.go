package once

import (
	"time"

	"hyssopbridge/fleet"
	"hyssopbridge/resultcode"
)

// Resolve decides after AskPrevious. The caller must check the lease again:
// q.Epoch is the epoch held after the last reply arrived.
func (s *Store) Resolve(now time.Duration, wallMS int64, q Request, replies []Reply) Decision {
	scoped := q.Key.Scoped()
	v, d, decided := s.decideKnown(now, wallMS, q, scoped)
	if decided {
		return d
	}
	for _, r := range replies {
		if r.OK {
			v.addHandovers(r.Handovers)
		}
	}
	if d, decided := s.decideFromReplies(now, q, scoped, replies); decided {
		return d
	}
	ask, possible := s.nodesToAsk(wallMS, q, scoped, v)
	if !possible || !allReplied(ask, replies) {
		return refuse(resultcode.RecordLost)
	}
	return s.start(now, q, scoped)
}

// decideFromReplies decides if an asked node ran the key or may have run it.
func (s *Store) decideFromReplies(now time.Duration, q Request, scoped string, replies []Reply) (Decision, bool) {
	for _, r := range replies {
		if !r.OK || !r.Entry.State.forbidsRun() {
			continue
		}
		if r.Entry.Hash != q.Hash {
			return refuse(resultcode.KeyReused), true
		}
		if r.Entry.State == Running {
			return refuse(resultcode.StillRunning), true
		}
		s.merge(now, scoped, r.Entry)
		if r.Entry.State == Unknown {
			return refuse(resultcode.UnknownOutcome), true
		}
		return replay(r.Entry.Response), true
	}
	return Decision{}, false
}

func allReplied(ask []fleet.Member, replies []Reply) bool {
	for _, m := range ask {
		if !repliedBy(m, replies) {
			return false
		}
	}
	return true
}

func repliedBy(m fleet.Member, replies []Reply) bool {
	for _, r := range replies {
		if r.OK && r.From == m {
			return true
		}
	}
	return false
}
