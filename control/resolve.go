package control

import (
	"context"
	"errors"

	"hyssopbridge/platformlog"
)

// settlement learns the outcome of one appended record by reading the log from
// the offset noted before the append.
type settlement struct {
	p        *Publisher
	fold     *logFold
	record   *Record
	rec      platformlog.Record
	from     int64
	appended bool // an append was answered with an offset
}

var errNotSeen = errors.New("the record was not seen in time")

// run reads until the record or a record that excludes it is found. While the
// outcome is unknown it appends the same record again under the same ID: of
// several copies at most the first can be accepted.
func (s *settlement) run(ctx context.Context) (Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, s.p.cfg.ResolveTimeout)
	defer cancel()
	backoff := platformlog.NewBackoff(settleBase, settleMax, s.from)
	last := errNotSeen
	for {
		out, found, err := s.look(ctx)
		if found {
			return out, nil
		}
		if err != nil {
			last = err
		}
		if s.fold.jumped {
			return Outcome{}, s.unknown(ErrNoCheckpoint)
		}
		if err := s.p.cfg.Wait(ctx, backoff.Next()); err != nil {
			return Outcome{}, s.unknown(last)
		}
		if err == nil && !s.appended {
			_, again := s.p.cfg.Log.Append(ctx, s.rec)
			s.appended = again == nil
		}
	}
}

// look folds to the head and reports the outcome if it is settled.
func (s *settlement) look(ctx context.Context) (out Outcome, found bool, err error) {
	err = s.fold.toHead(ctx, func(o Outcome) {
		if o.ID == s.rec.ID && !found {
			out, found = o, true
		}
	})
	if found || err != nil {
		return out, found, err
	}
	out, found = decided(&s.fold.state.snap, s.record)
	if s.fold.jumped && out.Kind != Accepted {
		found = false // the record may have been accepted and then replaced
	}
	return out, found, nil
}

// decided reports the outcome of r if the state shows that r was accepted, or
// that no later copy of it can be. Revisions and epochs only rise, so a base
// that has been passed never matches again. A service that another mandate
// owns decides nothing: the owner may give it up before r arrives.
func decided(s *Snapshot, r *Record) (Outcome, bool) {
	if r.Kind == KindHomes {
		return decidedHomes(s, r)
	}
	out := Outcome{ID: r.ID}
	cur, ok := s.mandates.get(r.Mandate)
	switch {
	case !ok || cur.Revision == r.Base:
		return out, false
	case cur.ID == r.ID:
		out.Kind, out.Revision = Accepted, cur.Revision
	default:
		out.Kind, out.Winner = Conflict, mandateWinner(cur, "")
	}
	return out, true
}

func decidedHomes(s *Snapshot, r *Record) (Outcome, bool) {
	out := Outcome{ID: r.ID, Kind: Conflict}
	for i := range r.Groups {
		cur, ok := s.groups.get(r.Groups[i].Service)
		if !ok || cur.Epoch == r.Groups[i].Base {
			return out, false
		}
		g := GroupOutcome{Service: cur.Service, Epoch: cur.Epoch, Kind: Conflict}
		if cur.ID == r.ID {
			g.Kind, out.Kind, out.Revision = Accepted, Accepted, cur.Epoch
		} else {
			g.Winner = Winner{Service: cur.Service, Revision: cur.Epoch, ID: cur.ID}
		}
		out.Groups = append(out.Groups, g)
	}
	return out, true
}

func (s *settlement) unknown(err error) error {
	return &UnknownOutcomeError{ID: s.rec.ID, From: s.from, Err: err}
}
