package control

import (
	"errors"
	"time"

	"hyssopbridge/platformlog"
)

// logReader holds the state of reading the log.
type logReader struct {
	reader  bool      // this node is one of its region's readers
	busy    bool      // a read is outstanding
	from    int64     // its first offset
	sent    time.Time // when it was sent
	next    time.Time // next regular read
	wait    time.Time // no read before this time, after a failure
	fails   int       // failures in a row
	heard   heard
	scan    *scanner // set while looking for a checkpoint round
	first   int64    // highest known first retained offset
	boundAt time.Time
}

// maxFailShift bounds the backoff after failed reads to 32 times ReadInterval.
const maxFailShift = 5

// readLog sends the next read when it is due.
func (c *Controller) readLog(now time.Time) {
	l := &c.log
	if l.busy || now.Before(l.wait) || !c.readDue(now) {
		return
	}
	l.busy, l.sent, l.from = true, now, c.state.Version()+1
	if l.scan != nil {
		l.from = l.scan.next
	}
	c.out.Read = &ReadRequest{From: l.from, Max: c.cfg.ReadBatch}
}

func (c *Controller) readDue(now time.Time) bool {
	if !c.joined && c.joiningFromPeers(now) {
		return false
	}
	if !now.Before(c.log.next) {
		return true
	}
	silent := c.Progress(now).Age > c.cfg.ProgressTimeout
	return silent && now.Sub(c.log.sent) >= c.cfg.ReadInterval
}

// LogEntries gives the answer to a read from an offset. An empty answer means
// that the log holds nothing from there on.
func (c *Controller) LogEntries(now time.Time, from int64, entries []platformlog.Entry) {
	l := &c.log
	if !l.busy || from != l.from {
		return
	}
	l.busy, l.fails, l.wait = false, 0, time.Time{}
	l.next = now
	if len(entries) == 0 {
		l.next = now.Add(c.readInterval())
	}
	if l.scan != nil {
		c.scanEntries(entries)
	} else {
		c.foldEntries(entries)
	}
	c.step(now)
}

func (c *Controller) readInterval() time.Duration {
	if c.log.reader {
		return c.cfg.ReadInterval
	}
	return c.jitter(c.cfg.PollInterval)
}

func (c *Controller) foldEntries(entries []platformlog.Entry) {
	if len(entries) == 0 {
		c.log.heard.note(c.state.Version(), c.log.sent)
		c.joined = true
		return
	}
	for i := range entries {
		out := c.state.Apply(entries[i])
		if out.Kind == Gap {
			c.startScan(entries[i].Offset)
			return
		}
		if out.Kind == Noted {
			c.ckpt.seen(out.ID, c.log.sent)
		}
		if out.Kind != Stale || out.Offset == c.state.Version() {
			c.out.Outcomes = append(c.out.Outcomes, out)
		}
	}
}

// ReadFailed gives the error of a read. An ExpiredError makes the controller
// look for a checkpoint round.
func (c *Controller) ReadFailed(now time.Time, from int64, err error) {
	l := &c.log
	if !l.busy || from != l.from {
		return
	}
	l.busy = false
	var expired *platformlog.ExpiredError
	if errors.As(err, &expired) && expired.First > from {
		c.startScan(expired.First)
		l.next = now
		c.step(now)
		return
	}
	l.wait = now.Add(c.jitter(c.cfg.ReadInterval << l.fails))
	l.fails = min(l.fails+1, maxFailShift)
	c.step(now)
}

// LogBounds gives the first retained offset of the log.
func (c *Controller) LogBounds(now time.Time, first int64) {
	c.log.first = max(c.log.first, first)
	c.step(now)
}
