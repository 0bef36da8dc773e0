package control

import (
	"fmt"
	"time"
)

// checkpointer is the state of writing checkpoint rounds. Every reader may write
// a round; the random delay makes it likely that only one does.
type checkpointer struct {
	startAt       time.Time // when to start the round that is due; zero if none is
	lastPartAt    time.Time // when a part of any round was last read from the log
	round         string    // ID of the current round
	roundCount    int       // rounds that this node has started
	parts         []Update  // parts left to append; the first is being appended
	through       int64     // version of the state in the current round
	appendPending bool      // an append is in progress
	sentID        string    // record ID of the last append
	retryAt       time.Time // no append before this time, after a failure
	startedAt     time.Time // when the current round was started
}

// partSeen records a part that was read from the log. A part of this node's own
// round needs no further append, even if the response to its append was lost.
func (k *checkpointer) partSeen(id string, at time.Time) {
	k.lastPartAt = at
	k.partDone(id)
}

// partDone removes the part with the given record ID if it is the next one.
func (k *checkpointer) partDone(id string) {
	if len(k.parts) > 0 && id == k.partID() {
		k.parts = k.parts[1:]
	}
}

func (k *checkpointer) partID() string { return fmt.Sprintf("%s/%d", k.round, k.parts[0].Part) }

// checkpoint starts a round when one is due, and appends its parts.
func (c *Controller) checkpoint(now time.Time) {
	c.requestBounds(now)
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
	otherWriterActive := !k.lastPartAt.IsZero() && now.Sub(k.lastPartAt) < c.cfg.CheckpointMaxDelay/4
	if now.Before(k.startAt) || otherWriterActive {
		return
	}
	c.beginRound(now)
}

func (c *Controller) requestBounds(now time.Time) {
	if c.log.reader && now.Sub(c.log.boundsAt) >= c.cfg.BoundsInterval {
		c.log.boundsAt = now
		c.out.Bounds = true
	}
}

// roundDue reports whether this node should write a new round: the last one is
// older than half the retention time, or lies in the older half of the retained
// records, which covers a log that limits the number of records.
func (c *Controller) roundDue(now time.Time) bool {
	upToDate := c.joined && c.log.scan == nil && c.Progress(now).Age <= c.cfg.ProgressTimeout
	if !c.log.reader || !upToDate || c.state.snap.mandates.count == 0 {
		return false
	}
	last := c.state.snap.Round
	if last.Through == 0 || now.Sub(last.Time()) >= c.cfg.Retention/2 {
		return true
	}
	first, version := c.log.firstRetained, c.state.Version()
	return first > 1 && last.Through < first+(version-first)/2
}

func (c *Controller) beginRound(now time.Time) {
	u, ok := c.state.Since(0)
	if !ok {
		return
	}
	k := &c.ckpt
	k.startAt = time.Time{}
	k.roundCount++
	k.round = fmt.Sprintf("%s-%d-%d", c.cfg.Self.ID, c.cfg.Self.Incarnation, k.roundCount)
	k.parts = u.Split(c.cfg.CheckpointPartBytes)
	k.through = u.To
	k.startedAt = now
	c.appendPart(now)
}

func (c *Controller) appendPart(now time.Time) {
	k := &c.ckpt
	if k.appendPending || now.Before(k.retryAt) {
		return
	}
	if c.roundObsolete(now) {
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
	k.appendPending, k.sentID = true, rec.ID
	c.out.Append = &rec
}

// roundObsolete reports whether the current round need not be finished: another
// round of at least its version is complete, records after `through` have
// expired, or the writer has been too slow.
func (c *Controller) roundObsolete(now time.Time) bool {
	k := &c.ckpt
	return c.state.snap.Round.Through >= k.through ||
		k.through < c.log.firstRetained-1 ||
		now.Sub(k.startedAt) > c.cfg.Retention/4
}

// AppendDone processes the result of an append. After an error the same part is
// appended again with the same ID, unless it is read from the log first. A
// second copy of a part is harmless.
func (c *Controller) AppendDone(now time.Time, err error) {
	k := &c.ckpt
	k.appendPending = false
	if err != nil {
		k.retryAt = now.Add(c.jitter(4 * c.cfg.ReadInterval))
	} else {
		k.partDone(k.sentID)
	}
	c.step(now)
}
