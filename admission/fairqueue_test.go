package admission

import (
	"fmt"
	"maps"
	"slices"
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

// Guards against small customers that never get a place, since one place in a
// short line is more for their weight than all places of a large customer.
func TestSmallCustomersGetTheirTurn(t *testing.T) {
	const slotTime = 100 * ms
	q := newQueue()
	weights := map[string]float64{"small": 1, "middle": 9, "large": 90}
	names := slices.Sorted(maps.Keys(weights))
	started := map[string]int{}
	for now := time.Duration(0); now < 200*time.Second; now += slotTime {
		for _, name := range names {
			req := Request{Customer: name, Weight: weights[name], GoodWait: 500 * ms, MaxWait: 500 * ms}
			q.add(newWaiter(req, now), now, pace{perPlace: slotTime})
		}
		q.evicted = nil
		name := q.take(0).req.Customer
		q.usages.recordStart(Request{Customer: name, Weight: weights[name]}, now)
		started[name]++
	}
	// 2,000 starts are owed as 20, 180 and 1,800. A customer may be one request
	// ahead of its share in each horizon.
	for name, weight := range weights {
		if owed := 20 * weight; float64(started[name]) < 0.9*owed || float64(started[name]) > 1.1*owed+20 {
			t.Errorf("%d requests of customer %s were started, want about %.0f", started[name], name, owed)
		}
	}
}

// Guards against a waiter that gives way to a customer which is behind by less than
// half a start: small customers then got more than their weight, the largest less.
func TestPlacesAreNotTakenForAFractionOfAStart(t *testing.T) {
	for behind, takes := range map[float64]bool{0.3: false, 0.7: true} {
		q := newQueue()
		for fromCustomer(&q, "one", 1) {
		}
		q.usages.recordStart(Request{Customer: "one"}, 0)
		q.usages.recordStart(Request{Customer: "other"}, 0)
		// The last waiter of "one" has its start and the other places before it.
		q.usages.byCustomer["other"] = usage{float64(len(q.waiters)) - behind, 1}
		w := newWaiter(Request{Customer: "other", GoodWait: 2 * time.Second, MaxWait: 2 * time.Second}, 0)
		if got := q.makeRoom(w, 0, pace{perPlace: 100 * ms}) >= 0; got != takes {
			t.Errorf("customer %v starts behind takes a place: %v, want %v", behind, got, takes)
		}
	}
}

// Guards against a state that grows with every customer ever seen.
func TestUsagesAreForgotten(t *testing.T) {
	var u usages
	for i := range 10_000 {
		u.recordStart(Request{Customer: fmt.Sprint(i)}, time.Duration(i)*100*ms)
	}
	// Ten starts a second; each counts for 3 horizons, and is found within another.
	if most := 4 * 10 * int(usageHorizon.Seconds()); len(u.byCustomer) > most {
		t.Errorf("%d customers are remembered, want at most %d", len(u.byCustomer), most)
	}
	u.recordStart(Request{}, 0)
	if _, ok := u.byCustomer[""]; ok {
		t.Error("requests without a customer are counted")
	}
}

// Guards against a customer that keeps others of a lower priority from being
// served, against one whose priority counts for nothing, and against routes whose
// priority depends on what their customer got.
func TestPriorityDecidesWithinShare(t *testing.T) {
	q := newQueue()
	start := func(customer string, priority, n int) {
		for range n {
			q.usages.recordStart(Request{Customer: customer, Priority: priority}, 0)
		}
	}
	start("flood", 0, 20)
	start("starved", 2*RoutePriorities, 1)
	start("usual", RoutePriorities, 9)
	start("other", RoutePriorities, 10)
	const route = 3
	add := func(customer string, priority int) {
		req := Request{Customer: customer, Priority: priority*RoutePriorities + route, GoodWait: time.Second, MaxWait: time.Second}
		if !q.add(newWaiter(req, 0), 0, pace{perPlace: ms, spare: 1}) {
			t.Errorf("the request of customer %s was refused", customer)
		}
	}
	add("usual", 1)
	add("flood", 0)
	add("other", 1)
	add("starved", 2)
	add("usual", 0)
	var order []string
	for _, w := range q.waiters {
		order = append(order, w.req.Customer)
		if w.priority%RoutePriorities != route {
			t.Errorf("customer %s: the priority of its route became %d", w.req.Customer, w.priority%RoutePriorities)
		}
	}
	if want := []string{"starved", "usual", "usual", "flood", "other"}; !slices.Equal(order, want) {
		t.Errorf("order in line %v, want %v", order, want)
	}
}

// Guards against slots that go to the customer that asks most often while no
// request can be promised a start in time, so that nobody waits.
func TestLineWithoutPromises(t *testing.T) {
	q := newQueue()
	for range 9 {
		q.usages.recordStart(Request{Customer: "flood"}, 0)
	}
	q.usages.recordStart(Request{Customer: "usual"}, 0)
	add := func(customer string) bool {
		req := Request{Customer: customer, GoodWait: time.Second, MaxWait: 10 * time.Second}
		return q.add(newWaiter(req, 0), 0, pace{perPlace: 2 * time.Second})
	}
	if add("flood") {
		t.Error("a customer with more than its share was admitted at the cost of others")
	}
	if !add("usual") {
		t.Error("a customer with less than its share was refused")
	}
}

// Guards against calls of targets, which have no customer, that leave the line for
// the first customers that ask, whose weights are in requests per second.
func TestCallsKeepHalfOfTheLine(t *testing.T) {
	q := newQueue()
	for range 100 {
		fromCustomer(&q, "", 0)
	}
	full := len(q.waiters)
	for i := range 100 {
		fromCustomer(&q, fmt.Sprint("customer ", i%20), 30)
	}
	if calls := places(&q, ""); calls < full/2 || calls == full {
		t.Errorf("calls hold %d of %d places, want more than half but not all", calls, full)
	}
}

// Guards against requests of a flood that wait until they have to give way, and
// against a customer that is refused for a burst while there is room.
func TestFloodIsRefusedAtOnce(t *testing.T) {
	for _, c := range []struct {
		spare float64
		flood bool
	}{{0, false}, {0.5, true}} {
		q := newQueue()
		for range 7 {
			q.usages.recordStart(Request{Customer: "flood"}, 0)
		}
		for range 3 {
			q.usages.recordStart(Request{Customer: "usual"}, 0)
		}
		add := func(customer string) bool {
			req := Request{Customer: customer, GoodWait: time.Second, MaxWait: time.Second}
			return q.add(newWaiter(req, 0), 0, pace{perPlace: 100 * ms, spare: c.spare})
		}
		if got := add("flood"); got != c.flood {
			t.Errorf("with %.1f of the capacity usually free: request of the flood admitted: %v, want %v", c.spare, got, c.flood)
		}
		if !add("usual") {
			t.Errorf("with %.1f of the capacity usually free: request of the other customer refused", c.spare)
		}
	}
}
