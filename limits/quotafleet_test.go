package limits

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// quotaFleet is a fleet of nodes with quotas in virtual time. Messages may be
// lost, delayed, reordered and repeated; nodes may be cut off, suspended and
// restarted.
type quotaFleet struct {
	now    time.Duration
	rand   *rand.Rand
	nodes  []*quotaSimNode
	events eventHeap
	order  int
	rate   Rate
	rateAt int64 // version of the configuration that states the rate
	rates  []simRate
	policy QuotaPolicy

	loss   float64
	delay  func() time.Duration
	groups []int           // nodes of different groups cannot reach each other
	cut    map[[2]int]bool // pairs of nodes that cannot reach each other

	requests []*quotaSimRequest
	messages int // quota messages, without heartbeats
	bytes    int

	measureBytes bool
}

// simRate is a rate with the time from which it is in force.
type simRate struct {
	from time.Duration
	Rate
}

type quotaSimNode struct {
	fleet     *quotaFleet
	id, zone  string
	index     int
	quotas    *Quotas
	session   int64
	heard     []time.Duration // by index; negative if never
	ready     []bool
	beatAt    []time.Duration
	live      int     // live nodes of the zone, without this one
	announced bool    // the others were told that the node is ready
	crossNext uint64  // order of the node of another zone that is next
	crossDue  float64 // heartbeats to other zones that are due
	frozen    bool
	backlog   []func()
	asks      map[RateKey][]*quotaSimRequest
	processID int
}

type quotaSimRequest struct {
	node     *quotaSimNode
	process  int
	key      RateKey
	ticket   *QuotaTicket
	asked    time.Duration
	decided  time.Duration
	decision QuotaDecision
	open     bool
	refunded bool
}

type simEvent struct {
	at    time.Duration
	order int
	run   func()
}

type eventHeap []simEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].at, h[j].at), cmp.Compare(h[i].order, h[j].order)) < 0
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(simEvent)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

var platformPolicy = QuotaPolicy{Window: 5 * time.Second, Over: 0.1, Slack: 20}

const (
	simTick      = 250 * time.Millisecond
	simPoll      = 25 * time.Millisecond
	simInZone    = time.Second
	simWait      = 700 * time.Millisecond
	simLiveAfter = 2200 * time.Millisecond
	simSilent    = 5 * time.Second
	simForget    = 2 * time.Minute
)

func newQuotaFleet(nodes, zones int, rate Rate, seed uint64) *quotaFleet {
	f := &quotaFleet{rand: rand.New(rand.NewPCG(seed, 7)), rate: rate, rateAt: 1, rates: []simRate{{0, rate}}, policy: platformPolicy, groups: make([]int, nodes), cut: map[[2]int]bool{}}
	f.delay = func() time.Duration {
		return time.Millisecond + time.Duration(f.rand.Int64N(int64(2*time.Millisecond)))
	}
	for i := range nodes {
		n := &quotaSimNode{fleet: f, index: i, id: fmt.Sprintf("10.%d.0.%d:7001", i%zones, i), zone: fmt.Sprint("z", i%zones)}
		f.nodes = append(f.nodes, n)
	}
	for _, n := range f.nodes {
		n.start()
	}
	for _, n := range f.nodes {
		f.every(simTick, time.Duration(f.rand.Int64N(int64(simTick))), func() { n.do(n.tick) })
	}
	return f
}

func (f *quotaFleet) at(t time.Duration, run func()) {
	f.order++
	heap.Push(&f.events, simEvent{t, f.order, run})
}

func (f *quotaFleet) every(interval, first time.Duration, run func()) {
	var again func()
	again = func() { run(); f.at(f.now+interval, again) }
	f.at(f.now+first, again)
}

func (f *quotaFleet) run(until time.Duration) {
	for len(f.events) > 0 && f.events[0].at <= until {
		e := heap.Pop(&f.events).(simEvent)
		f.now = e.at
		e.run()
	}
	f.now = until
}

func (n *quotaSimNode) start() {
	f := n.fleet
	n.processID++
	n.session = int64(f.now)*1000 + int64(n.processID)
	n.quotas = NewQuotas(n.id, n.zone, f.policy, f.now)
	n.heard, n.ready, n.beatAt = make([]time.Duration, len(f.nodes)), make([]bool, len(f.nodes)), make([]time.Duration, len(f.nodes))
	for i := range n.heard {
		n.heard[i] = -1
	}
	n.asks, n.live, n.announced = map[RateKey][]*quotaSimRequest{}, 0, false
	n.backlog, n.frozen = nil, false
	// A started node is greeted by the others.
	for _, other := range f.nodes {
		if other != n && other.quotas != nil {
			f.at(f.now+10*time.Millisecond, func() { other.do(func() { other.beat(n) }) })
			f.at(f.now+15*time.Millisecond, func() { n.do(func() { n.beat(other) }) })
		}
	}
}

// do runs a step of the node's process, or keeps it while the process is
// suspended.
func (n *quotaSimNode) do(step func()) {
	if n.frozen {
		n.backlog = append(n.backlog, step)
		return
	}
	step()
}

func (n *quotaSimNode) resume() {
	n.frozen = false
	steps := n.backlog
	n.backlog = nil
	for _, step := range steps {
		step()
	}
}

// tick does what package mesh does in each step of its heartbeats.
func (n *quotaSimNode) tick() {
	f := n.fleet
	var live []QuotaNode
	var cross []*quotaSimNode
	perZone := map[string]int{}
	n.live = 0
	for i, other := range f.nodes {
		at := n.heard[i]
		if i == n.index {
			continue
		}
		if at < 0 || f.now-at > simForget {
			if f.now-n.beatAt[i] >= simSilent {
				n.beat(other)
			}
			continue
		}
		if other.zone != n.zone {
			cross = append(cross, other)
		} else {
			if f.now-at < simLiveAfter {
				n.live++
			}
			if f.now-n.beatAt[i] >= simInZone-simTick/2 {
				n.beat(other)
			}
		}
	}
	interval := max(2*time.Second, time.Duration(len(cross))*time.Second/8)
	for i, other := range f.nodes {
		if at := n.heard[i]; i != n.index && at >= 0 && f.now-at < max(simSilent, 3*interval) {
			live = append(live, QuotaNode{other.id, other.zone, n.ready[i], at})
			perZone[other.zone]++
		}
	}
	n.crossDue += float64(len(cross)) * simTick.Seconds() / interval.Seconds()
	order := func(other *quotaSimNode) uint64 { return mix(uint64(n.index)<<32 | uint64(other.index)) }
	slices.SortFunc(cross, func(a, b *quotaSimNode) int { return cmp.Compare(order(a), order(b)) })
	start, _ := slices.BinarySearchFunc(cross, n.crossNext, func(a *quotaSimNode, next uint64) int { return cmp.Compare(order(a), next) })
	for i := 0; n.crossDue >= 1 && i < len(cross); i++ {
		other := cross[(start+i)%len(cross)]
		n.crossDue--
		n.crossNext = order(other) + 1
		n.beat(other)
	}
	silence := time.Duration(0)
	for zone, count := range perZone {
		if zone != n.zone {
			silence = max(silence, min(3*interval, 12*interval/time.Duration(count)))
		}
	}
	n.quotas.SetNodes(f.now, live, len(f.nodes), silence)
	n.quotas.Tick(f.now)
	n.flush()
	if n.quotas.Ready() != n.announced {
		n.announced = n.quotas.Ready()
		for i, other := range f.nodes {
			if n.heard[i] >= 0 {
				n.beat(other)
			}
		}
	}
}

// beat sends a heartbeat.
func (n *quotaSimNode) beat(to *quotaSimNode) {
	f := n.fleet
	n.beatAt[to.index] = f.now
	live, ready := n.live+1, n.quotas.Ready()
	f.transmit(n, to, func() {
		to.heard[n.index], to.ready[n.index] = f.now, ready
		if n.zone == to.zone {
			live = to.live
		}
		to.quotas.Heard(f.now, n.id, n.zone, live)
	})
}

func (f *quotaFleet) transmit(from, to *quotaSimNode, receive func()) {
	if f.groups[from.index] != f.groups[to.index] || f.cut[[2]int{from.index, to.index}] || f.cut[[2]int{to.index, from.index}] {
		return
	}
	copies := 1
	if f.rand.Float64() < f.loss {
		copies = 0
	} else if f.rand.Float64() < f.loss {
		copies = 2
	}
	for range copies {
		process := to.processID
		f.at(f.now+f.delay(), func() {
			if to.processID == process {
				to.do(receive)
			}
		})
	}
}

func (n *quotaSimNode) flush() {
	f := n.fleet
	for _, m := range n.quotas.Messages() {
		to := f.byID(m.To)
		if m.Grants != nil {
			f.count(m.Grants)
			f.transmit(n, to, func() {
				if to.session == m.Session {
					to.quotas.HandleGrants(f.now, n.id, true, m.Grants)
					to.flush()
					to.collect()
				}
			})
			continue
		}
		f.count(m.Requests)
		session := n.session
		f.transmit(n, to, func() {
			grants, ready := to.quotas.HandleRequests(f.now, n.id, session, m.Requests), to.quotas.Ready()
			to.flush()
			f.count(grants)
			f.transmit(to, n, func() {
				if n.session == session {
					n.quotas.HandleGrants(f.now, to.id, ready, grants)
					n.flush()
					n.collect()
				}
			})
		})
	}
}

const datagramOverhead = 28 // IP and UDP headers

// count counts a message with the same fields as in package mesh.
func (f *quotaFleet) count(items any) {
	f.messages++
	if !f.measureBytes {
		return
	}
	b, err := cbor.Marshal([]any{uint8(1), int64(1765000000000), items})
	if err != nil {
		panic(err)
	}
	f.bytes += len(b) + datagramOverhead
}

func (f *quotaFleet) byID(id string) *quotaSimNode {
	for _, n := range f.nodes {
		if n.id == id {
			return n
		}
	}
	panic("unknown node " + id)
}

// request makes a request of a customer at a node.
func (n *quotaSimNode) request(key RateKey) *quotaSimRequest {
	f := n.fleet
	r := &quotaSimRequest{node: n, process: n.processID, key: key, asked: f.now, open: true}
	f.requests = append(f.requests, r)
	n.do(func() {
		if r.process != n.processID {
			r.open = false
			return
		}
		r.ticket = n.quotas.Want(f.now, key, f.rate, f.rateAt, simWait)
		n.asks[key] = append(n.asks[key], r)
		n.flush()
		n.collect()
		n.pollLater(r)
	})
	return r
}

func (n *quotaSimNode) pollLater(r *quotaSimRequest) {
	f := n.fleet
	if !r.open {
		return
	}
	f.at(f.now+simPoll, func() {
		n.do(func() {
			if r.process != n.processID || !r.open {
				return
			}
			n.quotas.Poll(f.now, r.key)
			n.flush()
			n.collect()
			n.pollLater(r)
		})
	})
}

// collect notes the decisions on the node's requests.
func (n *quotaSimNode) collect() {
	for key, list := range n.asks {
		open := list[:0]
		for _, r := range list {
			select {
			case r.decision = <-r.ticket.Done():
				r.decided, r.open = n.fleet.now, false
			default:
				open = append(open, r)
			}
		}
		if n.asks[key] = open; len(open) == 0 {
			delete(n.asks, key)
		}
	}
}

// refund credits the token of an admitted request back.
func (r *quotaSimRequest) refund() {
	if r.process != r.node.processID || !r.decision.Granted || r.refunded {
		return
	}
	r.refunded = true
	r.node.do(func() {
		if r.process == r.node.processID {
			r.node.quotas.Refund(r.node.fleet.now, r.key, r.asked)
		}
	})
}

// setRate puts another rate in force, with a new version.
func (f *quotaFleet) setRate(perSecond float64) {
	f.rate.PerSecond = perSecond
	f.rateAt++
	f.rates = append(f.rates, simRate{f.now, f.rate})
}

// limit returns the most requests that are permitted in a window that starts at
// from. A lower rate binds one window after it is in force.
func (f *quotaFleet) limit(from time.Duration) float64 {
	var most Rate
	for i, r := range f.rates {
		ended := i+1 < len(f.rates) && f.rates[i+1].from < from-f.policy.Window
		if !ended && r.from <= from+f.policy.Window {
			most.PerSecond, most.Burst = max(most.PerSecond, r.PerSecond), max(most.Burst, r.Burst)
		}
	}
	return (most.PerSecond*f.policy.Window.Seconds()+most.Burst)*(1+f.policy.Over) + f.policy.Slack
}

// excess returns by how much the admitted requests of a key exceed what the
// policy permits in the worst window: those that are both made and admitted in
// it.
func (f *quotaFleet) excess(key RateKey) float64 {
	var admitted []*quotaSimRequest
	for _, r := range f.requests {
		if r.key == key && r.decision.Granted && !r.refunded {
			admitted = append(admitted, r)
		}
	}
	worst := math.Inf(-1)
	for i, first := range admitted {
		count := 0
		for _, r := range admitted[i:] {
			if r.asked-first.asked > f.policy.Window {
				break
			}
			if r.decided-first.asked <= f.policy.Window {
				count++
			}
		}
		worst = max(worst, float64(count)-f.limit(first.asked))
	}
	return worst
}

func (f *quotaFleet) tally(key RateKey, from, to time.Duration) (admitted, refused, undecided int) {
	for _, r := range f.requests {
		switch {
		case r.key != key || r.asked < from || r.asked >= to:
		case r.decision.Granted:
			admitted++
		case r.decision.Undecided:
			undecided++
		default:
			refused++
		}
	}
	return admitted, refused, undecided
}
