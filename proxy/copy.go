package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

const copyBufferBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any { b := make([]byte, copyBufferBytes); return &b }}

// errStalled is the cause when a body makes no progress for too long.
var errStalled = errors.New("no progress")

// watchdog cancels a context when it is not fed within its limit.
type watchdog struct {
	limit time.Duration
	timer *time.Timer
}

// newWatchdog returns a watchdog that calls cancel(errStalled) after limit.
func newWatchdog(limit time.Duration, cancel context.CancelCauseFunc) *watchdog {
	if limit <= 0 {
		return &watchdog{}
	}
	return &watchdog{limit: limit, timer: time.AfterFunc(limit, func() { cancel(errStalled) })}
}

func (d *watchdog) feed() {
	if d.timer != nil {
		d.timer.Reset(d.limit)
	}
}

func (d *watchdog) pause() {
	if d.timer != nil {
		d.timer.Stop()
	}
}

// writeFailed wraps an error of the receiving side of a copy.
type writeFailed struct{ err error }

func (e writeFailed) Error() string { return "write to caller: " + e.err.Error() }
func (e writeFailed) Unwrap() error { return e.err }

// copyBody copies src to w and returns the number of bytes written. The
// watchdog runs only while src is read, so a slow receiver is not taken for a
// stalled sender. With flush every piece is passed on at once.
func copyBody(w io.Writer, src io.Reader, dog *watchdog, flush bool) (int64, error) {
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	flusher, _ := w.(http.Flusher)
	var total int64
	for {
		dog.feed()
		n, err := src.Read(*buf)
		dog.pause()
		if n > 0 {
			m, werr := w.Write((*buf)[:n])
			total += int64(m)
			if werr != nil {
				return total, writeFailed{werr}
			}
			if flush && flusher != nil {
				flusher.Flush()
			}
		}
		if err == io.EOF {
			return total, nil
		}
		if err != nil {
			return total, err
		}
	}
}

// writeTrailers passes trailers that arrived after the body.
func writeTrailers(h, trailer http.Header) {
	for name, values := range trailer {
		for _, v := range values {
			h.Add(http.TrailerPrefix+name, v)
		}
	}
}
