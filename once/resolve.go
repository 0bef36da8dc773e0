package once

import (
	"time"

	"hyssopbridge/fleet"
	"hyssopbridge/resultcode"
)

// Resolve decides after AskPrevious. The lease is checked by the caller again:
// q.Epoch is the epoch held after the last reply arrived.
func (s *Store) Resolve(now time.Duration, wallMS int64, q Request, replies []Reply) Decision {
	scoped := q.Key.Scoped()
	v, d, decided := s.known(now, wallMS, q, scoped)
	if decided {
		return d
	}
	for _, r := range replies {
		if r.OK {
			v.addEdges(r.Handovers)
		}
	}
	if d, decided := s.fromReplies(now, q, scoped, replies); decided {
		return d
	}
	ask, possible := s.toAsk(wallMS, q, scoped, v)
	if !possible || !allAnswered(ask, replies) {
		return refuse(resultcode.RecordLost)
	}
	return s.start(now, q, scoped)
}

// fromReplies decides if any asked node ran the key or may have run it.
func (s *Store) fromReplies(now time.Duration, q Request, scoped string, replies []Reply) (Decision, bool) {
	for _, r := range replies {
		if !r.OK || !r.Entry.State.terminal() {
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
		return replay(r.Entry.Answer), true
	}
	return Decision{}, false
}

func allAnswered(ask []fleet.Member, replies []Reply) bool {
	for _, m := range ask {
		if !answeredBy(m, replies) {
			return false
		}
	}
	return true
}

func answeredBy(m fleet.Member, replies []Reply) bool {
	for _, r := range replies {
		if r.OK && r.From == m {
			return true
		}
	}
	return false
}
