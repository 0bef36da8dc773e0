package once

import (
	"time"

	"hyssopbridge/fleet"
	"hyssopbridge/resultcode"
)

// Begin decides what to do with a keyed order.
func (s *Store) Begin(now time.Duration, wallMS int64, q Request) Decision {
	scoped := q.Key.Scoped()
	v, d, decided := s.decideKnown(now, wallMS, q, scoped)
	if decided {
		return d
	}
	return s.decideMissing(now, wallMS, q, scoped, v)
}

// decideKnown decides from the lease, the issue time of the key and the record
// of the key. decided is false if they do not determine the decision.
func (s *Store) decideKnown(now time.Duration, wallMS int64, q Request, scoped string) (*service, Decision, bool) {
	v := s.services[q.Key.Service]
	if v == nil || !v.acceptsOrders(q.Epoch) {
		return v, refuse(resultcode.NoLease), true
	}
	if issued, ok := IssuedMS(q.Key.Value); ok && issued > wallMS+MaxFutureMS {
		return v, refuse(resultcode.KeyFromFuture), true
	}
	r := s.records[scoped]
	if r == nil {
		return v, Decision{}, false
	}
	d, decided := s.decideFromRecord(now, q, scoped, r)
	return v, d, decided
}

func (s *Store) decideFromRecord(now time.Duration, q Request, scoped string, r *record) (Decision, bool) {
	if r.barredBefore > q.Epoch {
		return refuse(resultcode.NoLease), true
	}
	if r.attempt > 0 && r.hash != q.Hash {
		return refuse(resultcode.KeyReused), true
	}
	switch r.state {
	case Running:
		return Decision{Action: Join}, true
	case Answered:
		return replay(r.response), true
	case Unknown:
		return refuse(resultcode.UnknownOutcome), true
	}
	// The last attempt here was not run. A later home may have run the key
	// since, unless that attempt was made in this epoch.
	if r.epoch == q.Epoch {
		return s.run(now, q, scoped, r), true
	}
	return Decision{}, false
}

func replay(a *Response) Decision {
	if a == nil {
		return refuse(resultcode.AnswerNotKept)
	}
	return Decision{Action: Replay, Response: a}
}

// decideMissing decides for a key whose record does not determine the decision.
func (s *Store) decideMissing(now time.Duration, wallMS int64, q Request, scoped string, v *service) Decision {
	ask, possible := s.nodesToAsk(wallMS, q, scoped, v)
	if !possible {
		return refuse(resultcode.RecordLost)
	}
	if len(ask) > 0 {
		return Decision{Action: AskPrevious, Ask: ask}
	}
	return s.start(now, q, scoped)
}

// nodesToAsk returns the nodes whose replies are needed before a key without a
// record may run. possible is false if a record may have expired, or if the
// known groups do not reach back far enough.
func (s *Store) nodesToAsk(wallMS int64, q Request, scoped string, v *service) (ask []fleet.Member, possible bool) {
	cutoff := wallMS - s.cfg.Window.Milliseconds() - NewKeyMarginMS
	if issued, ok := IssuedMS(q.Key.Value); ok {
		if issued < wallMS-s.cfg.Window.Milliseconds()+NewKeyMarginMS {
			return nil, false
		}
		cutoff = max(cutoff, issued-NewKeyMarginMS)
	}
	return s.previousHomes(v, scoped, cutoff)
}

// start runs a key, and inserts its record if there is none.
func (s *Store) start(now time.Duration, q Request, scoped string) Decision {
	r := s.records[scoped]
	if r == nil {
		if !s.makeRoom(now, scoped) {
			return refuse(resultcode.ClassShed)
		}
		r = s.insert(scoped, now)
	}
	return s.run(now, q, scoped, r)
}

func (s *Store) run(now time.Duration, q Request, scoped string, r *record) Decision {
	if bucketOf(r.started) != bucketOf(now) {
		s.setStarted(scoped, r, now)
	}
	r.started = now
	r.hash = q.Hash
	r.epoch = q.Epoch
	r.state = Running
	r.attempt++
	return Decision{Action: Run, Attempt: r.attempt}
}
