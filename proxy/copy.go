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

// errStalled is the cause of a cancellation because no byte of a body arrived
// within the stall timeout.
var errStalled = errors.New("no byte of the body arrived within the stall timeout")

// watchdog cancels a context unless it is reset within its limit.
type watchdog struct {
	limit time.Duration
	timer *time.Timer
}

// newWatchdog returns a watchdog that calls cancel(errStalled) after limit. If
// limit is 0 it never does.
func newWatchdog(limit time.Duration, cancel context.CancelCauseFunc) *watchdog {
	if limit <= 0 {
		return &watchdog{}
	}
	return &watchdog{limit: limit, timer: time.AfterFunc(limit, func() { cancel(errStalled) })}
}

func (d *watchdog) reset() {
	if d.timer != nil {
		d.timer.Reset(d.limit)
	}
}

func (d *watchdog) stop() {
	if d.timer != nil {
		d.timer.Stop()
	}
}

// callerWriteError wraps an error of writing a response body, which is a
// failure of its receiver and not of the target.
type callerWriteError struct{ err error }

func (e callerWriteError) Error() string { return "write to caller: " + e.err.Error() }
func (e callerWriteError) Unwrap() error { return e.err }

// copyBody copies src to w and returns the number of bytes written. The
// watchdog runs only while src is read, so a slow receiver is not taken for a
// stalled sender. With flush every write is flushed at once.
func copyBody(w io.Writer, src io.Reader, wd *watchdog, flush bool) (int64, error) {
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	flusher, _ := w.(http.Flusher)
	var total int64
	for {
		wd.reset()
		n, err := src.Read(*buf)
		wd.stop()
		if n > 0 {
			m, werr := w.Write((*buf)[:n])
			total += int64(m)
			if werr != nil {
				return total, callerWriteError{werr}
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

// writeTrailers adds trailers that arrived after the body to h.
func writeTrailers(h, trailer http.Header) {
	for name, values := range trailer {
		for _, v := range values {
			h.Add(http.TrailerPrefix+name, v)
		}
	}
}
