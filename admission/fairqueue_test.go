package admission

import (
	"fmt"
	"testing"
	"time"
)

func fromCustomer(q *queue, customer string, weight float64) bool {
	w := newWaiter(Request{Customer: customer, Weight: weight, GoodWait: 2 * time.Second, MaxWait: 2 * time.Second}, 0)
	return q.add(w, 0, pace{perPlace: 100 * ms})
}

func places(q *queue, customer string) int {
	n := 0
	for _, w := range q.waiters {
		if w.req.Customer == customer {
			n++
		}
	}
	return n
}

// Guards against a customer that floods a full queue and so keeps others out, and
// against a large customer that is held to the share of a small one.
func TestFullQueueIsSharedByWeight(t *testing.T) {
	q := newQueue()
	for range 100 {
		fromCustomer(&q, "flood", 1)
	}
	full := len(q.waiters)
	for range 100 {
		fromCustomer(&q, "large", 4)
		fromCustomer(&q, "flood", 1)
	}
	if len(q.waiters) != full {
		t.Errorf("%d in line, want %d", len(q.waiters), full)
	}
	if large, flood := places(&q, "large"), places(&q, "flood"); large < 3*flood || large > 5*flood {
		t.Errorf("places in line: %d of the customer with weight 4, %d of that with weight 1", large, flood)
	}
	if !fromCustomer(&q, "small", 1) {
		t.Error("a customer without a place in line was refused")
	}
}

// Guards against state that grows with the number of customers, and against
// waiters that leave the line without being refused.
func TestManyCustomers(t *testing.T) {
	q := newQueue()
	admitted := 0
	for i := range 10_000 {
		if fromCustomer(&q, fmt.Sprint(i), 1) {
			admitted++
		}
	}
	if len(q.waiters)+len(q.evicted) != admitted || len(q.waiters) > maxWaiters {
		t.Errorf("%d admitted, %d in line, %d left it", admitted, len(q.waiters), len(q.evicted))
	}
}
