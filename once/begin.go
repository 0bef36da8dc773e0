package once

import (
	"time"

	"hyssopbridge/fleet"
	"hyssopbridge/resultcode"
)

// Begin decides what to do with a keyed order.
func (s *Store) Begin(now time.Duration, wallMS int64, q Request) Decision {
	scoped := q.Key.Scoped()
	v, d, decided := s.known(now, wallMS, q, scoped)
	if decided {
		return d
	}
	return s.missing(now, wallMS, q, scoped, v)
}

// known decides from the lease, the key's form and the record, if there is one
// that decides.
func (s *Store) known(now time.Duration, wallMS int64, q Request, scoped string) (*service, Decision, bool) {
	v := s.services[q.Key.Service]
	if v == nil || !v.runs(q.Epoch) {
		return v, refuse(resultcode.NoLease), true
	}
	if issued, ok := IssuedMS(q.Key.Value); ok && issued > wallMS+MaxFutureMS {
		return v, refuse(resultcode.KeyFromFuture), true
	}
	r := s.records[scoped]
	if r == nil {
		return v, Decision{}, false
	}
	d, decided := s.fromRecord(now, q, scoped, r)
	return v, d, decided
}

func (s *Store) fromRecord(now time.Duration, q Request, scoped string, r *record) (Decision, bool) {
	if r.barred > q.Epoch {
		return refuse(resultcode.NoLease), true
	}
	if r.attempt > 0 && r.hash != q.Hash {
		return refuse(resultcode.KeyReused), true
	}
	switch r.state {
	case Running:
		return Decision{Action: Join}, true
	case Answered:
		return replay(r.answer), true
	case Unknown:
		return refuse(resultcode.UnknownOutcome), true
	}
	// Not run here. A later home may have run the key since, unless the proof
	// is of this epoch.
	if r.epoch == q.Epoch {
		return s.run(now, q, scoped, r), true
	}
	return Decision{}, false
}

func replay(a *Answer) Decision {
	if a == nil {
		return refuse(resultcode.AnswerNotKept)
	}
	return Decision{Action: Replay, Answer: a}
}

// missing decides without a record.
func (s *Store) missing(now time.Duration, wallMS int64, q Request, scoped string, v *service) Decision {
	ask, possible := s.toAsk(wallMS, q, scoped, v)
	if !possible {
		return refuse(resultcode.RecordLost)
	}
	if len(ask) > 0 {
		return Decision{Action: AskPrevious, Ask: ask}
	}
	return s.start(now, q, scoped)
}

// toAsk returns the nodes whose answers are needed before a key without record
// may run. possible is false if the records are no longer complete for it.
func (s *Store) toAsk(wallMS int64, q Request, scoped string, v *service) (ask []fleet.Member, possible bool) {
	cutoff := wallMS - s.cfg.Window.Milliseconds() - NewKeyMarginMS
	if issued, ok := IssuedMS(q.Key.Value); ok {
		if issued < wallMS-s.cfg.Window.Milliseconds()+NewKeyMarginMS {
			return nil, false
		}
		cutoff = max(cutoff, issued-NewKeyMarginMS)
	}
	return s.previous(v, scoped, cutoff)
}

// start inserts a running record.
func (s *Store) start(now time.Duration, q Request, scoped string) Decision {
	r := s.records[scoped]
	if r == nil {
		if !s.hasRoom(now, scoped) {
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
