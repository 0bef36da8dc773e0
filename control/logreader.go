package control

import (
	"errors"
	"time"

	"hyssopbridge/platformlog"
)

// logReader is the state of the log reads.
type logReader struct {
	reader        bool        // this node is one of its region's readers
	readPending   bool        // a read is in progress
	pendingFrom   int64       // first offset of that read
	sentAt        time.Time   // when the last read was sent
	nextRead      time.Time   // when the next regular read is due
	retryAt       time.Time   // no read before this time, after a failure
	failures      int         // number of consecutive failures
	head          headTracker // newest confirmation of the log's head
	scan          *scanner    // non-nil while searching for a checkpoint round
	firstRetained int64       // highest known first retained offset
	boundsAt      time.Time   // when the log's bounds were last queried
}

// maxBackoffShift bounds the backoff after failed reads to 32 times ReadInterval.
const maxBackoffShift = 5

// readLog sends the next read when it is due.
func (c *Controller) readLog(now time.Time) {
	l := &c.log
	if l.readPending || now.Before(l.retryAt) || !c.readDue(now) {
		return
	}
	l.readPending, l.sentAt, l.pendingFrom = true, now, c.state.Version()+1
	if l.scan != nil {
		l.pendingFrom = l.scan.next
	}
	c.out.Read = &ReadRequest{From: l.pendingFrom, Max: c.cfg.ReadBatch}
}

func (c *Controller) readDue(now time.Time) bool {
	if !c.joined && c.joiningFromPeers(now) {
		return false
	}
	if !now.Before(c.log.nextRead) {
		return true
	}
	stale := c.Progress(now).Age > c.cfg.ProgressTimeout
	return stale && now.Sub(c.log.sentAt) >= c.cfg.ReadInterval
}

// LogEntries processes the result of a read that started at an offset. An empty
// result means that the log holds nothing from that offset on.
func (c *Controller) LogEntries(now time.Time, from int64, entries []platformlog.Entry) {
	l := &c.log
	if !l.readPending || from != l.pendingFrom {
		return
	}
	l.readPending, l.failures, l.retryAt = false, 0, time.Time{}
	l.nextRead = now
	if len(entries) == 0 {
		l.nextRead = now.Add(c.readInterval())
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
		c.log.head.observe(c.state.Version(), c.log.sentAt)
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
			c.ckpt.partSeen(out.ID, c.log.sentAt)
		}
		if out.Kind != Stale || out.Offset == c.state.Version() {
			c.out.Outcomes = append(c.out.Outcomes, out)
		}
	}
}

// ReadFailed processes the error of a read. An ExpiredError starts the search
// for a checkpoint round.
func (c *Controller) ReadFailed(now time.Time, from int64, err error) {
	l := &c.log
	if !l.readPending || from != l.pendingFrom {
		return
	}
	l.readPending = false
	var expired *platformlog.ExpiredError
	if errors.As(err, &expired) && expired.First > from {
		c.startScan(expired.First)
		l.nextRead = now
		c.step(now)
		return
	}
	l.retryAt = now.Add(c.jitter(c.cfg.ReadInterval << l.failures))
	l.failures = min(l.failures+1, maxBackoffShift)
	c.step(now)
}

// LogBounds processes the first retained offset of the log.
func (c *Controller) LogBounds(now time.Time, first int64) {
	c.log.firstRetained = max(c.log.firstRetained, first)
	c.step(now)
}
