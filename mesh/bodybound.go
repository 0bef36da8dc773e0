package mesh

import (
	"context"
	"errors"
	"net/http"
	"os"
	"sync"
	"time"

	"hyssopbridge/resultcode"
)

// boundRead ends the reading of a request's body at a time, or when the process
// is about to end. stop lifts the latter bound.
func (s *shutdown) boundRead(control *http.ResponseController, until time.Time) (stop func(), err error) {
	if err := control.SetReadDeadline(until); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return nil, err
	}
	if s == nil {
		return func() {}, nil
	}
	var mu sync.Mutex
	var bounded, stopped bool // guarded by mu
	unwatch := context.AfterFunc(s.begun, func() {
		mu.Lock()
		defer mu.Unlock()
		left := s.runsEnd - s.now() // before the time of day, so that a pause between them moves the end later
		if end := time.Now().Add(left); !stopped && end.Before(until) {
			bounded = control.SetReadDeadline(end) == nil
		}
	})
	return func() {
		unwatch()
		mu.Lock()
		defer mu.Unlock()
		stopped = true
		if bounded {
			_ = control.SetReadDeadline(until) // the connection is closed if this fails
		}
	}, nil
}

// errBodyCut is the error for a request whose body had not arrived when the
// process was about to end, or nil if err has another cause.
func (s *shutdown) errBodyCut(err error) *resultcode.Error {
	if errors.Is(err, os.ErrDeadlineExceeded) && s.hasBegun() && s.now() >= s.runsEnd {
		return notRun(resultcode.NodeDraining, "this node stops, and the request has not arrived: %w", err)
	}
	return nil
}
