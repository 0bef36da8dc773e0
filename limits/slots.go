package limits

import (
	"context"
	"errors"
	"sync"
	"time"

	"hyssopbridge/fleet"
	"hyssopbridge/resultcode"
)

// SlotsConfig holds the bounds of one instance.
type SlotsConfig struct {
	Slots    int                   // requests that may run at once; at least 1
	Queue    int                   // requests that may wait; 0 for none
	Headroom [fleet.NumClasses]int // slots that requests of the class and of those below it leave free; see HeadroomFor
	Now      func() time.Duration  // monotonic clock; default time since New
}

// Refusals of Acquire. Each proves that the request was not run.
var (
	errQueueFull = resultcode.New(resultcode.QueueFull, "no free place in the queue of the instance")
	errTooShort  = resultcode.New(resultcode.DeadlineTooShort, "the wait for a slot exceeds the deadline")
	errShed      = resultcode.New(resultcode.ClassShed, "the queue share of the class is used up")
	errDisplaced = resultcode.New(resultcode.ClassShed, "the place in the queue went to a higher class")
	errLeaving   = resultcode.New(resultcode.TargetDraining, "the instance takes no new work")
	errGone      = &resultcode.Error{Code: resultcode.CallerGone, Ran: resultcode.RanNo, Err: errors.New("the caller left while waiting for a slot")}
)

// Slots admits requests to one instance. Its methods are safe for concurrent use.
type Slots struct {
	now func() time.Duration

	mu      sync.Mutex
	slots   int
	queue   int
	reserve [fleet.NumClasses]int
	closed  bool
	inUse   [fleet.NumClasses]int
	total   int // sum of inUse
	waiting waitQueue
	hold    holdTimes
}

// Reservation is a slot in use. Release must be called exactly once.
type Reservation struct {
	slots *Slots
	class fleet.Class
	start time.Duration
}

// NewSlots returns Slots with nothing in use.
func NewSlots(cfg SlotsConfig) *Slots {
	now := cfg.Now
	if now == nil {
		start := time.Now()
		now = func() time.Duration { return time.Since(start) }
	}
	return &Slots{now: now, slots: max(1, cfg.Slots), queue: max(0, cfg.Queue), reserve: cfg.Headroom}
}

// HeadroomFor returns the slots that each class leaves free when the routes of
// a service use the given classes. Background work and downloads leave one
// slot to higher classes, since a download can hold its slot for minutes.
func HeadroomFor(slots int, classes [fleet.NumClasses]bool) [fleet.NumClasses]int {
	var out [fleet.NumClasses]int
	if slots < 2 {
		return out
	}
	if classes[fleet.Interactive] || classes[fleet.Order] {
		out[fleet.Background], out[fleet.Download] = 1, 1
	}
	return out
}

// Acquire waits for a slot until the context ends or remaining has passed. It
// refuses at once what cannot finish in time. The error is a
// *resultcode.Error that proves "not run": QueueFull, DeadlineTooShort,
// ClassShed, TargetDraining or CallerGone.
func (s *Slots) Acquire(ctx context.Context, class fleet.Class, remaining time.Duration) (Reservation, error) {
	now := s.now()
	s.mu.Lock()
	w, err := s.arrive(now, class, remaining)
	s.mu.Unlock()
	if err != nil {
		return Reservation{}, err
	}
	if w == nil {
		return Reservation{s, class, now}, nil
	}
	return s.wait(ctx, w, remaining)
}

// arrive takes a slot, in which case it returns nil, or joins the queue.
func (s *Slots) arrive(now time.Duration, class fleet.Class, remaining time.Duration) (*waiter, error) {
	switch {
	case s.closed:
		return nil, errLeaving
	case remaining <= 0:
		return nil, errTooShort
	case s.mayRun(class):
		s.take(class)
		return nil, nil
	case s.estimate(class) > remaining:
		return nil, errTooShort
	}
	if err := s.makeRoom(class); err != nil {
		return nil, err
	}
	return s.waiting.push(class), nil
}

// mayRun reports whether a request of the class may take a slot. dispatch runs
// after every change that can make it true, so that no request of the class
// waits when it is true.
func (s *Slots) mayRun(class fleet.Class) bool {
	if s.total >= s.slots {
		return false
	}
	upTo := 0
	for c := fleet.Class(0); c <= class; c++ {
		upTo += s.inUse[c]
	}
	return upTo < max(1, s.slots-s.reserve[class])
}

func (s *Slots) take(class fleet.Class) {
	s.inUse[class]++
	s.total++
}

// makeRoom checks the queue bounds and, if the queue is full, displaces the
// newest waiter of a lower class.
func (s *Slots) makeRoom(class fleet.Class) error {
	if s.waiting.len() < s.queue {
		if s.waiting.lenUpTo(class) >= queueShare(class, s.queue) {
			return errShed
		}
		return nil
	}
	w := s.waiting.newestBelow(class)
	if w == nil {
		return errQueueFull
	}
	s.waiting.remove(w)
	w.done <- errDisplaced
	return nil
}

func (s *Slots) wait(ctx context.Context, w *waiter, remaining time.Duration) (Reservation, error) {
	timer := time.NewTimer(remaining)
	defer timer.Stop()
	select {
	case err := <-w.done:
		return s.granted(w, err)
	case <-ctx.Done():
		return s.leave(w, cancelError(ctx))
	case <-timer.C:
		return s.leave(w, errTooShort)
	}
}

func cancelError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return errTooShort
	}
	return errGone
}

func (s *Slots) granted(w *waiter, err error) (Reservation, error) {
	class := w.class
	w.free()
	if err != nil {
		return Reservation{}, err
	}
	return Reservation{s, class, s.now()}, nil
}

// leave ends the wait of w. A slot that was granted meanwhile goes to the
// next waiter.
func (s *Slots) leave(w *waiter, cause error) (Reservation, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.queued {
		s.waiting.remove(w)
		w.free()
		return Reservation{}, cause
	}
	err := <-w.done
	class := w.class
	w.free()
	if err != nil {
		return Reservation{}, err
	}
	s.drop(class)
	return Reservation{}, cause
}

// Release frees the slot for the next waiter.
func (t Reservation) Release() {
	now := t.slots.now()
	t.slots.mu.Lock()
	t.slots.hold.note(t.class, now-t.start)
	t.slots.drop(t.class)
	t.slots.mu.Unlock()
}

// drop gives up a slot without recording how long it was held.
func (s *Slots) drop(class fleet.Class) {
	s.inUse[class]--
	s.total--
	s.dispatch()
}

// dispatch hands free slots to waiters.
func (s *Slots) dispatch() {
	for s.total < s.slots {
		w := s.waiting.next(s.mayRun)
		if w == nil {
			return
		}
		s.waiting.remove(w)
		s.take(w.class)
		w.done <- nil
	}
}

// Configure changes the bounds. Requests that run keep their slots; if there
// are more of them than slots, new ones wait until enough have ended.
func (s *Slots) Configure(slots, queue int, reserve [fleet.NumClasses]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slots, s.queue, s.reserve = max(1, slots), max(0, queue), reserve
	s.dispatch()
}

// Close refuses all waiting and new requests with TargetDraining. Requests that
// run are not affected.
func (s *Slots) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for w := s.waiting.oldest(); w != nil; w = s.waiting.oldest() {
		s.waiting.remove(w)
		w.done <- errLeaving
	}
}

// Reopen accepts requests again after Close, when a drain was called off.
func (s *Slots) Reopen() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = false
}

// Load returns the number of requests that run and that wait.
func (s *Slots) Load() (running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total, s.waiting.len()
}
