package limits

import (
	"context"
	"errors"
	"sync"
	"time"

	"hyssopbridge/fleet"
	"hyssopbridge/resultcode"
)

// SlotsConfig holds the limits of one target.
type SlotsConfig struct {
	Slots    int                   // requests that may run at once; at least 1
	Queue    int                   // requests that may wait; 0 for none
	Headroom [fleet.NumClasses]int // slots that a class, together with the classes below it, leaves free; see HeadroomFor
	Now      func() time.Duration  // monotonic clock; default: time since NewSlots
}

// Errors of Acquire. Each proves that the request was not run.
var (
	errQueueFull        = resultcode.New(resultcode.QueueFull, "the queue of the target is full")
	errDeadlineTooShort = resultcode.New(resultcode.DeadlineTooShort, "the wait for a slot exceeds the deadline")
	errQueueShare       = resultcode.New(resultcode.ClassShed, "the queue share of the request class is used up")
	errDisplaced        = resultcode.New(resultcode.ClassShed, "displaced from the queue by a request of a higher class")
	errDraining         = resultcode.New(resultcode.TargetDraining, "the target is draining and takes no new work")
	errCallerGone       = &resultcode.Error{Code: resultcode.CallerGone, Ran: resultcode.RanNo, Err: errors.New("the caller canceled the request while it waited for a slot")}
)

// Slots limits the requests that run and wait at one target. Its methods are
// safe for concurrent use.
type Slots struct {
	now func() time.Duration

	mu       sync.Mutex
	slots    int
	queue    int
	headroom [fleet.NumClasses]int
	closed   bool
	inUse    [fleet.NumClasses]int
	total    int // sum of inUse
	waiting  waitQueue
	hold     holdTimes
}

// Reservation is a slot in use. Release must be called exactly once.
type Reservation struct {
	slots *Slots
	class fleet.Class
	start time.Duration
}

// NewSlots returns Slots that are all free.
func NewSlots(cfg SlotsConfig) *Slots {
	now := cfg.Now
	if now == nil {
		start := time.Now()
		now = func() time.Duration { return time.Since(start) }
	}
	return &Slots{now: now, slots: max(1, cfg.Slots), queue: max(0, cfg.Queue), headroom: cfg.Headroom}
}

// HeadroomFor returns the number of slots that each class leaves free if the
// routes of a service use the given classes. Background requests and downloads
// leave one slot to higher classes, since a download can hold its slot for
// minutes.
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

// Acquire waits for a slot until ctx is done or remaining has passed. It refuses
// at once a request that is not expected to finish in time. The error is a
// *resultcode.Error that proves that the request was not run, with code
// QueueFull, DeadlineTooShort, ClassShed, TargetDraining or CallerGone.
func (s *Slots) Acquire(ctx context.Context, class fleet.Class, remaining time.Duration) (Reservation, error) {
	now := s.now()
	s.mu.Lock()
	w, err := s.acquireOrEnqueue(now, class, remaining)
	s.mu.Unlock()
	if err != nil {
		return Reservation{}, err
	}
	if w == nil {
		return Reservation{s, class, now}, nil
	}
	return s.wait(ctx, w, remaining)
}

// acquireOrEnqueue takes a slot and returns nil, or joins the queue and returns
// the waiter.
func (s *Slots) acquireOrEnqueue(now time.Duration, class fleet.Class, remaining time.Duration) (*waiter, error) {
	switch {
	case s.closed:
		return nil, errDraining
	case remaining <= 0:
		return nil, errDeadlineTooShort
	case s.mayRun(class):
		s.take(class)
		return nil, nil
	case s.estimate(class) > remaining:
		return nil, errDeadlineTooShort
	}
	if err := s.makeRoom(class); err != nil {
		return nil, err
	}
	return s.waiting.push(class), nil
}

// mayRun reports whether a request of the class may take a slot. dispatch is
// called after every change that can make it true, so that no request of the
// class is waiting while it is true.
func (s *Slots) mayRun(class fleet.Class) bool {
	if s.total >= s.slots {
		return false
	}
	upTo := 0
	for c := fleet.Class(0); c <= class; c++ {
		upTo += s.inUse[c]
	}
	return upTo < max(1, s.slots-s.headroom[class])
}

func (s *Slots) take(class fleet.Class) {
	s.inUse[class]++
	s.total++
}

// makeRoom checks the queue limits for a request of the class. If the queue is
// full, it displaces the newest waiter of the lowest class below.
func (s *Slots) makeRoom(class fleet.Class) error {
	if s.waiting.len() < s.queue {
		if s.waiting.lenUpTo(class) >= queueShare(class, s.queue) {
			return errQueueShare
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
		return s.finishWait(w, err)
	case <-ctx.Done():
		return s.cancelWait(w, cancelError(ctx))
	case <-timer.C:
		return s.cancelWait(w, errDeadlineTooShort)
	}
}

func cancelError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return errDeadlineTooShort
	}
	return errCallerGone
}

func (s *Slots) finishWait(w *waiter, err error) (Reservation, error) {
	class := w.class
	w.free()
	if err != nil {
		return Reservation{}, err
	}
	return Reservation{s, class, s.now()}, nil
}

// cancelWait ends the wait of w with cause. A slot that was granted in the
// meantime goes to the next waiter.
func (s *Slots) cancelWait(w *waiter, cause error) (Reservation, error) {
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
	s.freeSlot(class)
	return Reservation{}, cause
}

// Release frees the slot and hands it to the next waiter.
func (r Reservation) Release() {
	now := r.slots.now()
	r.slots.mu.Lock()
	r.slots.hold.record(r.class, now-r.start)
	r.slots.freeSlot(r.class)
	r.slots.mu.Unlock()
}

// freeSlot frees a slot without recording its hold time.
func (s *Slots) freeSlot(class fleet.Class) {
	s.inUse[class]--
	s.total--
	s.dispatch()
}

// dispatch grants free slots to waiters.
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

// Configure changes the limits. Running requests keep their slots; if there are
// more of them than slots, new requests wait until enough have ended.
func (s *Slots) Configure(slots, queue int, headroom [fleet.NumClasses]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slots, s.queue, s.headroom = max(1, slots), max(0, queue), headroom
	s.dispatch()
}

// Close refuses all waiting and new requests with TargetDraining. Running requests
// are not affected.
func (s *Slots) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for w := s.waiting.oldest(); w != nil; w = s.waiting.oldest() {
		s.waiting.remove(w)
		w.done <- errDraining
	}
}

// Reopen accepts requests again after Close, for a drain that was canceled.
func (s *Slots) Reopen() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = false
}

// Load returns the number of running and waiting requests.
func (s *Slots) Load() (running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total, s.waiting.len()
}
