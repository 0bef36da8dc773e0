package control

import (
	"context"
	"errors"

	"hyssopbridge/platformlog"
)

// outcomeResolver determines the outcome of one appended record by reading the
// log from the head as it was before the append.
type outcomeResolver struct {
	p        *Publisher
	fold     *logFold
	record   *Record
	rec      platformlog.Record // encoded form of record
	from     int64              // first offset at which the record may be found
	appended bool               // an append returned an offset
}

var errNotSeen = errors.New("the record was not found in time")

// run reads until it finds the record or a record that excludes it. While the
// outcome is unknown it appends the same record again with the same ID: of
// several copies, only the first can be accepted.
func (s *outcomeResolver) run(ctx context.Context) (Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, s.p.cfg.ResolveTimeout)
	defer cancel()
	backoff := platformlog.NewBackoff(resolveBackoffBase, resolveBackoffMax, s.from)
	lastErr := errNotSeen
	for {
		out, found, err := s.poll(ctx)
		if found {
			return out, nil
		}
		if err != nil {
			lastErr = err
		}
		if s.fold.restored {
			return Outcome{}, s.unknown(ErrNoCheckpoint)
		}
		if err := s.p.cfg.Wait(ctx, backoff.Next()); err != nil {
			return Outcome{}, s.unknown(lastErr)
		}
		if err == nil && !s.appended {
			_, appendErr := s.p.cfg.Log.Append(ctx, s.rec)
			s.appended = appendErr == nil
		}
	}
}

// poll folds to the head and returns the outcome if it is known.
func (s *outcomeResolver) poll(ctx context.Context) (out Outcome, found bool, err error) {
	err = s.fold.foldToHead(ctx, func(o Outcome) {
		if o.ID == s.rec.ID && !found {
			out, found = o, true
		}
	})
	if found || err != nil {
		return out, found, err
	}
	out, found = outcomeFromState(&s.fold.state.snap, s.record)
	if s.fold.restored && out.Kind != Accepted {
		found = false // the record may have been accepted and then replaced
	}
	return out, found, nil
}

// outcomeFromState returns the outcome of r if the state shows that r was
// accepted, or that no later copy of it can be. Revisions and epochs only
// increase, so an outdated base never matches again. A service that another
// mandate owns is not conclusive: the owner may release it before r arrives.
func outcomeFromState(s *Snapshot, r *Record) (Outcome, bool) {
	if r.Kind == KindHomes {
		return homesOutcomeFromState(s, r)
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

func homesOutcomeFromState(s *Snapshot, r *Record) (Outcome, bool) {
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

func (s *outcomeResolver) unknown(err error) error {
	return &UnknownOutcomeError{ID: s.rec.ID, From: s.from, Err: err}
}
