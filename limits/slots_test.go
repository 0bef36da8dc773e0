package limits

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hyssopbridge/fleet"
	"hyssopbridge/resultcode"
)

// modelWaiter is a waiting request in the model.
type modelWaiter struct {
	class  fleet.Class
	cancel context.CancelFunc
	done   chan slotResult
}

type slotResult struct {
	reservation Reservation
	err         error
}

// slotsModel drives Slots at random and checks its state after each action.
type slotsModel struct {
	slots   *Slots
	limit   int
	queue   int
	now     atomic.Int64
	running []Reservation
	waiting []*modelWaiter
}

func (m *slotsModel) clock() time.Duration { return time.Duration(m.now.Load()) }

func codeOf(err error) resultcode.Code {
	var e *resultcode.Error
	if errors.As(err, &e) && e.Ran == resultcode.RanNo {
		return e.Code
	}
	return 0
}

// arrive starts a request and waits until it runs, waits or is refused.
func (m *slotsModel) arrive(t *rapid.T) {
	class := fleet.Class(rapid.IntRange(0, fleet.NumClasses-1).Draw(t, "class"))
	w := &modelWaiter{class: class, done: make(chan slotResult, 1)}
	ctx, cancel := context.WithCancel(context.Background())
	w.cancel = cancel
	_, before := m.slots.Load()
	seq := m.slots.seq()
	go func() {
		reservation, err := m.slots.Acquire(ctx, class, time.Hour)
		w.done <- slotResult{reservation, err}
	}()
	for {
		select {
		case r := <-w.done:
			if r.err != nil {
				m.checkRefusal(t, class, before, r.err)
				return
			}
			m.running = append(m.running, r.reservation)
			return
		default:
		}
		if m.slots.seq() > seq {
			m.waiting = append(m.waiting, w)
			return
		}
		time.Sleep(time.Microsecond)
	}
}

func (m *slotsModel) checkRefusal(t *rapid.T, class fleet.Class, waiting int, err error) {
	switch code := codeOf(err); code {
	case resultcode.QueueFull:
		if waiting < m.queue {
			t.Fatalf("QueueFull with %d of %d waiting", waiting, m.queue)
		}
	case resultcode.ClassShed:
		if class == fleet.Order {
			t.Fatal("an order was shed although the queue is not full")
		}
	default:
		t.Fatalf("refused with unexpected error %v", err)
	}
}

// settle collects the results of the waiters that were granted a slot or
// displaced.
func (m *slotsModel) settle(t *rapid.T) {
	_, queued := m.slots.Load()
	for len(m.waiting) > queued {
		m.waiting = slices.DeleteFunc(m.waiting, func(w *modelWaiter) bool {
			select {
			case r := <-w.done:
				m.settleOne(t, w, r)
				return true
			default:
				return false
			}
		})
		time.Sleep(time.Microsecond)
	}
}

func (m *slotsModel) settleOne(t *rapid.T, w *modelWaiter, r slotResult) {
	if r.err == nil {
		m.running = append(m.running, r.reservation)
		return
	}
	if code := codeOf(r.err); code != resultcode.ClassShed && code != resultcode.CallerGone {
		t.Fatalf("a waiter of class %v was refused with %v", w.class, r.err)
	}
}

func (m *slotsModel) release(t *rapid.T) {
	if len(m.running) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.running)-1).Draw(t, "release")
	m.now.Add(int64(time.Millisecond))
	m.running[i].Release()
	m.running = slices.Delete(m.running, i, i+1)
}

func (m *slotsModel) cancel(t *rapid.T) {
	if len(m.waiting) == 0 {
		return
	}
	w := rapid.SampledFrom(m.waiting).Draw(t, "cancel")
	w.cancel()
	r := <-w.done
	if codeOf(r.err) != resultcode.CallerGone {
		t.Fatalf("a canceled waiter got %v, want CallerGone", r.err)
	}
	m.waiting = slices.DeleteFunc(m.waiting, func(o *modelWaiter) bool { return o == w })
}

func (m *slotsModel) configure(t *rapid.T) {
	m.limit = rapid.IntRange(1, 6).Draw(t, "slots")
	m.slots.Configure(m.limit, m.queue, HeadroomFor(m.limit, [fleet.NumClasses]bool{true, true, true, true}))
}

// check requires that the counts agree with the model, that no slot is granted
// over the limit, and that no request waits that may run.
func (m *slotsModel) check(t *rapid.T, before int) {
	m.settle(t)
	running, queued := m.slots.Load()
	if running != len(m.running) || queued != len(m.waiting) {
		t.Fatalf("%d running, %d queued, the model has %d and %d", running, queued, len(m.running), len(m.waiting))
	}
	if running > m.limit && running > before {
		t.Fatalf("%d requests run, the limit is %d", running, m.limit)
	}
	if queued > m.queue {
		t.Fatalf("%d requests wait, the limit is %d", queued, m.queue)
	}
	m.slots.mu.Lock()
	defer m.slots.mu.Unlock()
	for _, w := range m.waiting {
		low := 0
		for c := fleet.Class(0); c <= w.class; c++ {
			low += m.slots.inUse[c]
		}
		free := 0
		if w.class <= fleet.Download && m.limit > 1 {
			free = 1
		}
		if running < m.limit && low < m.limit-free {
			t.Fatalf("class %v waits with %d of %d slots in use", w.class, running, m.limit)
		}
	}
}

func (s *Slots) seq() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waiting.seq
}

// Guards against more requests than slots or queue positions, a waiter that is
// not woken, a refused request that still runs, and counts that drift.
func TestSlotsStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &slotsModel{queue: rapid.IntRange(0, 6).Draw(t, "queue")}
		m.limit = rapid.IntRange(1, 6).Draw(t, "slots")
		m.slots = NewSlots(SlotsConfig{Slots: m.limit, Queue: m.queue, Now: m.clock})
		m.configure(t)
		before := 0
		act := func(f func(*rapid.T)) func(*rapid.T) {
			return func(t *rapid.T) { before = len(m.running); f(t) }
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive":    act(m.arrive),
			"release":   act(m.release),
			"cancel":    act(m.cancel),
			"configure": act(m.configure),
			"":          func(t *rapid.T) { m.check(t, before) },
		})
		m.slots.Close()
		for _, w := range m.waiting {
			if r := <-w.done; codeOf(r.err) != resultcode.TargetDraining {
				t.Fatalf("a waiter at a closed target got %v, want TargetDraining", r.err)
			}
		}
		if running, queued := m.slots.Load(); running != len(m.running) || queued != 0 {
			t.Fatalf("%d running and %d queued after Close, want %d and 0", running, queued, len(m.running))
		}
	})
}

// Guards against a slot or connection that is granted twice to concurrent
// goroutines.
func TestSlotsConcurrent(t *testing.T) {
	const limit, workers, rounds = 5, 40, 200
	s := NewSlots(SlotsConfig{Slots: limit, Queue: workers})
	conns := NewConnLimiter(limit)
	var running, peak, ran, open, peakOpen atomic.Int64
	var wg sync.WaitGroup
	for i := range workers {
		wg.Go(func() {
			for k := range rounds {
				ctx, cancel := context.WithCancel(context.Background())
				if (i+k)%7 == 0 {
					cancel()
				}
				if r, err := s.Acquire(ctx, fleet.Class(i%fleet.NumClasses), time.Minute); err == nil {
					raise(&peak, running.Add(1))
					ran.Add(1)
					running.Add(-1)
					r.Release()
				}
				cancel()
				if conns.Acquire() == nil {
					raise(&peakOpen, open.Add(1))
					open.Add(-1)
					conns.Release()
				}
			}
		})
	}
	wg.Wait()
	if peak.Load() > limit || peakOpen.Load() > limit {
		t.Errorf("%d requests ran and %d connections were open at once, want at most %d", peak.Load(), peakOpen.Load(), limit)
	}
	if running, queued := s.Load(); running != 0 || queued != 0 || conns.Open() != 0 {
		t.Errorf("%d running, %d queued, %d connections at the end, want none", running, queued, conns.Open())
	}
	if ran.Load() == 0 {
		t.Error("no request ran")
	}
}

// Guards against a slot that is lost when it is granted while its caller cancels
// the wait.
func TestGrantDuringCancellation(t *testing.T) {
	s := NewSlots(SlotsConfig{Slots: 1, Queue: 2})
	first, err := s.Acquire(context.Background(), fleet.Order, time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	s.mu.Lock()
	canceled, _ := s.acquireOrEnqueue(0, fleet.Order, time.Minute)
	next, _ := s.acquireOrEnqueue(0, fleet.Order, time.Minute)
	s.mu.Unlock()
	first.Release()
	if _, err := s.cancelWait(canceled, errCallerGone); codeOf(err) != resultcode.CallerGone {
		t.Errorf("the canceled caller got %v, want CallerGone", err)
	}
	select {
	case err := <-next.done:
		if err != nil {
			t.Errorf("the next caller got %v, want a slot", err)
		}
	default:
		t.Error("the slot was not handed to the next caller")
	}
}

func raise(peak *atomic.Int64, v int64) {
	for old := peak.Load(); v > old && !peak.CompareAndSwap(old, v); old = peak.Load() {
	}
}

// queueOrder queues requests of the given classes and returns their indexes in
// the order in which they are served.
func queueOrder(classes []fleet.Class) []int {
	var q waitQueue
	index := map[uint64]int{}
	for i, c := range classes {
		index[q.push(c).seq] = i
	}
	var out []int
	for q.len() > 0 {
		w := q.next(func(fleet.Class) bool { return true })
		q.remove(w)
		out = append(out, index[w.seq])
	}
	return out
}

// Guards against reordering within a class, serving lower classes before higher
// ones, and starvation of the lowest class.
func TestQueueOrder(t *testing.T) {
	got := queueOrder([]fleet.Class{fleet.Background, fleet.Interactive, fleet.Order, fleet.Interactive, fleet.Order, fleet.Download})
	if want := []int{2, 4, 1, 3, 5, 0}; !slices.Equal(got, want) {
		t.Errorf("order %v, want %v", got, want)
	}
	classes := []fleet.Class{fleet.Background}
	for range 100 {
		classes = append(classes, fleet.Order)
	}
	if at := slices.Index(queueOrder(classes), 0); at != oldestFirstPeriod-1 {
		t.Errorf("the oldest request, of the lowest class, was served at index %d, want %d", at, oldestFirstPeriod-1)
	}
}

// Guards against a request that waits for a slot that it cannot get before its
// deadline, instead of being refused at once.
func TestDeadlineTooShortIsRefusedAtOnce(t *testing.T) {
	now := time.Duration(0)
	s := NewSlots(SlotsConfig{Slots: 1, Queue: 10, Now: func() time.Duration { return now }})
	acquire := func(class fleet.Class, remaining time.Duration) (Reservation, error) {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		return s.Acquire(ctx, class, remaining)
	}
	first, err := acquire(fleet.Interactive, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	now = 100 * time.Millisecond
	first.Release()
	if _, err := acquire(fleet.Interactive, time.Millisecond); err != nil {
		t.Fatalf("refused with %v although a slot is free", err)
	}
	for _, c := range []struct {
		class     fleet.Class
		remaining time.Duration
		want      resultcode.Code
	}{
		{fleet.Interactive, 0, resultcode.DeadlineTooShort},
		{fleet.Interactive, 199 * time.Millisecond, resultcode.DeadlineTooShort},
		{fleet.Interactive, 201 * time.Millisecond, resultcode.CallerGone}, // joined the queue
		{fleet.Download, 99 * time.Millisecond, resultcode.DeadlineTooShort},
		{fleet.Download, 101 * time.Millisecond, resultcode.CallerGone},
	} {
		if _, err := acquire(c.class, c.remaining); codeOf(err) != c.want {
			t.Errorf("class %v with %v remaining: %v, want %v", c.class, c.remaining, err, c.want)
		}
	}
}

// Guards against background requests that fill the queue, and against an order
// that is refused while requests of lower classes wait.
func TestClassShares(t *testing.T) {
	s := NewSlots(SlotsConfig{Slots: 1, Queue: 8})
	if _, err := s.Acquire(context.Background(), fleet.Order, time.Minute); err != nil {
		t.Fatal(err)
	}
	var got []resultcode.Code
	join := func(class fleet.Class) *waiter {
		s.mu.Lock()
		defer s.mu.Unlock()
		w, err := s.acquireOrEnqueue(0, class, time.Minute)
		got = append(got, codeOf(err))
		return w
	}
	join(fleet.Background)
	newest := join(fleet.Background)
	join(fleet.Background) // over its quarter of the queue
	for range 6 {
		join(fleet.Order)
	}
	join(fleet.Background) // queue full, no lower class to displace
	join(fleet.Order)      // displaces the newest background request
	want := []resultcode.Code{0, 0, resultcode.ClassShed, 0, 0, 0, 0, 0, 0, resultcode.QueueFull, 0}
	if !slices.Equal(got, want) {
		t.Errorf("result codes %v, want %v", got, want)
	}
	if err := <-newest.done; codeOf(err) != resultcode.ClassShed {
		t.Errorf("the displaced request got %v, want ClassShed", err)
	}
}
