package control

import "time"

// Progress describes how far the log is known to have been read: Age before the
// current time, the log held no control record above Offset.
type Progress struct {
	Offset int64
	Age    time.Duration
}

// headTracker keeps the newest confirmation of the log's head, from this node's
// own read or forwarded by a peer.
type headTracker struct {
	offset int64
	at     time.Time // zero until the first confirmation
}

func (h *headTracker) observe(offset int64, at time.Time) {
	if at.After(h.at) {
		h.at = at
	}
	h.offset = max(h.offset, offset)
}

// unknownAge is the age reported before the first confirmation.
const unknownAge = 24 * time.Hour

func (h *headTracker) progress(now time.Time) Progress {
	if h.at.IsZero() {
		return Progress{Offset: h.offset, Age: unknownAge}
	}
	return Progress{Offset: h.offset, Age: max(0, now.Sub(h.at))}
}
