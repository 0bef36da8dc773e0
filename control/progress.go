package control

import "time"

// Progress states how far the log is known to have been read: at Age before
// now the log held no control record above Offset.
type Progress struct {
	Offset int64
	Age    time.Duration
}

// heard keeps the newest confirmation of the log's head, whether from an own
// read or passed on by a peer.
type heard struct {
	offset int64
	at     time.Time // zero until the first confirmation
}

func (h *heard) note(offset int64, at time.Time) {
	if at.After(h.at) {
		h.at = at
	}
	h.offset = max(h.offset, offset)
}

// unknownAge is the age given before the first confirmation.
const unknownAge = 24 * time.Hour

func (h *heard) progress(now time.Time) Progress {
	if h.at.IsZero() {
		return Progress{Offset: h.offset, Age: unknownAge}
	}
	return Progress{Offset: h.offset, Age: max(0, now.Sub(h.at))}
}
