package control

import (
	"fmt"
	"time"
)

// checkpointer holds the state of writing checkpoint rounds. Every reader
// writes rounds; the random delay makes it likely that only one does.
type checkpointer struct {
	startAt time.Time // when to begin the round that is due; zero if none is
	other   time.Time // when a part of any round was last seen
	round   string
	count   int
	parts   []Update // parts still to append; the first is being appended
	through int64
	busy    bool      // an append is outstanding
	sent    string    // record ID of the last append
	wait    time.Time // no append before this time, after a failure
	began   time.Time
}

// seen notes a part in the log. A part of the own round is done, even if the
// answer to its append was lost.
func (k *checkpointer) seen(id string, at time.Time) {
	k.other = at
	k.done(id)
}

// done removes the part with a record ID if it is the next one.
func (k *checkpointer) done(id string) {
	if len(k.parts) > 0 && id == k.partID() {
		k.parts = k.parts[1:]
	}
}

func (k *checkpointer) partID() string { return fmt.Sprintf("%s/%d", k.round, k.parts[0].Part) }

// checkpoint begins a round when one is due, and appends its parts.
func (c *Controller) checkpoint(now time.Time) {
	c.lookAtBounds(now)
	k := &c.ckpt
	if len(k.parts) > 0 {
		c.appendPart(now)
		return
	}
	if !c.roundDue(now) {
		k.startAt = time.Time{}
		return
	}
	if k.startAt.IsZero() {
		k.startAt = now.Add(time.Duration(c.rng.Int64N(int64(c.cfg.CheckpointMaxDelay) + 1)))
	}
	busyElsewhere := !k.other.IsZero() && now.Sub(k.other) < c.cfg.CheckpointMaxDelay/4
	if now.Before(k.startAt) || busyElsewhere {
		return
	}
	c.beginRound(now)
}

func (c *Controller) lookAtBounds(now time.Time) {
	if c.log.reader && now.Sub(c.log.boundAt) >= c.cfg.BoundsInterval {
		c.log.boundAt = now
		c.out.Bounds = true
	}
}

// roundDue reports whether this node should see to a new round: the last one
// is older than half the retention time, or lies in the older half of the
// retained records, which covers a log that limits the number of records.
func (c *Controller) roundDue(now time.Time) bool {
	upToDate := c.joined && c.log.scan == nil && c.Progress(now).Age <= c.cfg.ProgressTimeout
	if !c.log.reader || !upToDate || c.state.snap.mandates.count == 0 {
		return false
	}
	last := c.state.snap.Round
	if last.Through == 0 || now.Sub(last.Time()) >= c.cfg.Retention/2 {
		return true
	}
	first, version := c.log.first, c.state.Version()
	return first > 1 && last.Through < first+(version-first)/2
}

func (c *Controller) beginRound(now time.Time) {
	u, ok := c.state.Since(0)
	if !ok {
		return
	}
	k := &c.ckpt
	k.startAt = time.Time{}
	k.count++
	k.round = fmt.Sprintf("%s-%d-%d", c.cfg.Self.ID, c.cfg.Self.Incarnation, k.count)
	k.parts = u.Split(c.cfg.CheckpointPartBytes)
	k.through = u.To
	k.began = now
	c.appendPart(now)
}

func (c *Controller) appendPart(now time.Time) {
	k := &c.ckpt
	if k.busy || now.Before(k.wait) {
		return
	}
	if c.roundUseless(now) {
		k.parts = nil
		return
	}
	part := k.parts[0]
	rec, err := EncodeRecord(&Record{
		Kind:       KindCheckpoint,
		ID:         k.partID(),
		Checkpoint: &CheckpointPart{Round: k.round, Part: part},
	})
	if err != nil {
		k.parts = nil
		return
	}
	k.busy, k.sent = true, rec.ID
	c.out.Append = &rec
}

// roundUseless reports whether the round need not be finished: another round
// of at least its version is complete, records after `through` have expired,
// or the writer has been too slow.
func (c *Controller) roundUseless(now time.Time) bool {
	k := &c.ckpt
	return c.state.snap.Round.Through >= k.through ||
		k.through < c.log.first-1 ||
		now.Sub(k.began) > c.cfg.Retention/4
}

// AppendDone gives the result of an append. After an error the same part is
// appended again under the same ID, unless it is seen in the log before: a
// second copy of a part does no harm.
func (c *Controller) AppendDone(now time.Time, err error) {
	k := &c.ckpt
	k.busy = false
	if err != nil {
		k.wait = now.Add(c.jitter(4 * c.cfg.ReadInterval))
	} else {
		k.done(k.sent)
	}
	c.step(now)
}
