package control

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"hyssopbridge/fleet"
	"hyssopbridge/platformlog"
)

const tick = 100 * time.Millisecond

// fakeFleet runs several controllers on one clock, connected by a simulated
// network and log that can fail independently in each direction.
type fakeFleet struct {
	t     testing.TB
	clock *clock
	rng   *rand.Rand
	log   *fakeLog
	nodes []*fakeNode
	queue []event
	cut   map[[2]int]bool // messages from the first to the second are lost

	logDown, appendsDown bool
	loseResponses        bool // responses to appends are lost
	appendDelay          int  // ticks before an append takes effect
	retention            time.Duration
}

type fakeNode struct {
	index       int
	incarnation int // incremented when the host is replaced
	controller  *Controller
	snap        *Snapshot // last published
	paused      bool
	cut         bool // the node cannot reach the log
	reads       int
}

// event is a function to run at a tick.
type event struct {
	at          time.Time
	node        *fakeNode // nil for the log
	incarnation int
	run         func()
}

func newFakeFleet(t testing.TB, count int, seed uint64) *fakeFleet {
	f := &fakeFleet{
		t: t, clock: &clock{t: epoch}, rng: rand.New(rand.NewPCG(seed, 1)),
		cut: make(map[[2]int]bool), retention: 2 * time.Minute,
	}
	f.log = newFakeLog(t, f.clock)
	for i := range count {
		f.nodes = append(f.nodes, &fakeNode{index: i})
	}
	for _, n := range f.nodes {
		f.replace(n)
	}
	return f
}

func (f *fakeFleet) name(i int) string { return fmt.Sprintf("n%d", i) }

func (f *fakeFleet) members() []fleet.Node {
	var out []fleet.Node
	for _, n := range f.nodes {
		out = append(out, fleet.Node{ID: f.name(n.index), Region: "riga", Incarnation: int64(n.incarnation)})
	}
	return out
}

// replace replaces a node by a new one with empty state and the same name.
func (f *fakeFleet) replace(n *fakeNode) {
	n.incarnation++
	n.snap, n.paused = nil, false
	n.controller = NewController(Config{
		Self: f.members()[n.index], Seed: f.rng.Uint64(), Readers: 2,
		PollInterval: 5 * time.Second, Retention: f.retention,
		CheckpointMaxDelay: 2 * time.Second, CheckpointPartBytes: 600, BoundsInterval: 2 * time.Second, ReadBatch: 7,
	})
	n.controller.NodesChanged(f.clock.now(), f.members())
}

// schedule queues an event. Events due at the same tick run in random order.
func (f *fakeFleet) schedule(ticks int, n *fakeNode, run func()) {
	d := event{at: f.clock.now().Add(time.Duration(ticks) * tick), node: n, run: run}
	if n != nil {
		d.incarnation = n.incarnation
	}
	f.queue = append(f.queue, d)
}

// randomDelay returns the delay of a message in ticks.
func (f *fakeFleet) randomDelay() int { return 1 + f.rng.IntN(4) }

// step advances the clock by one tick.
func (f *fakeFleet) step() {
	f.clock.t = f.clock.t.Add(tick)
	f.deliver()
	for _, n := range f.nodes {
		if n.paused {
			continue
		}
		n.controller.Tick(f.clock.now())
		f.announce(n)
		f.execute(n)
	}
}

func (f *fakeFleet) run(ticks int) {
	for range ticks {
		f.step()
	}
}

// deliver runs the events that are due. Events of a paused node wait; events of
// a replaced node are lost.
func (f *fakeFleet) deliver() {
	var due, rest []event
	for _, d := range f.queue {
		switch {
		case d.node != nil && d.incarnation != d.node.incarnation:
		case d.at.After(f.clock.now()) || d.node != nil && d.node.paused:
			rest = append(rest, d)
		default:
			due = append(due, d)
		}
	}
	f.queue = rest
	f.rng.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, d := range due {
		d.run()
		if d.node != nil {
			f.execute(d.node)
		}
	}
}

// announce sends a node's version and progress to a random peer.
func (f *fakeFleet) announce(n *fakeNode) {
	to := f.nodes[f.rng.IntN(len(f.nodes))]
	if to == n || f.cut[[2]int{n.index, to.index}] {
		return
	}
	version, p := f.version(n), n.controller.Progress(f.clock.now())
	f.schedule(f.randomDelay(), to, func() { to.controller.PeerAnnounced(f.clock.now(), f.name(n.index), version, p) })
}

func (f *fakeFleet) version(n *fakeNode) int64 {
	if n.snap == nil {
		return 0
	}
	return n.snap.Version
}

// execute performs the actions in the output of a node's controller.
func (f *fakeFleet) execute(n *fakeNode) {
	out := n.controller.TakeOutput()
	if out.Snapshot != nil {
		f.checkSnapshot(n, out.Snapshot)
		n.snap = out.Snapshot
	}
	if out.Read != nil {
		n.reads++
		f.read(n, *out.Read)
	}
	if out.Append != nil {
		f.append(n, *out.Append)
	}
	if out.Bounds && !f.logDown && !n.cut {
		f.schedule(f.randomDelay(), n, func() { n.controller.LogBounds(f.clock.now(), f.log.first) })
	}
	for _, req := range out.StateRequests {
		f.fetchState(n, req)
	}
}

func (f *fakeFleet) read(n *fakeNode, r ReadRequest) {
	var entries []platformlog.Entry
	err := error(platformlog.ErrUnavailable)
	if !f.logDown && !n.cut {
		entries, err = f.log.read(r.From, r.Max)
	}
	f.schedule(f.randomDelay(), n, func() {
		if err != nil {
			n.controller.ReadFailed(f.clock.now(), r.From, err)
			return
		}
		n.controller.LogEntries(f.clock.now(), r.From, entries)
	})
}

func (f *fakeFleet) append(n *fakeNode, r platformlog.Record) {
	if f.logDown || f.appendsDown || n.cut {
		f.schedule(f.randomDelay(), n, func() { n.controller.AppendDone(f.clock.now(), platformlog.ErrUnavailable) })
		return
	}
	f.schedule(1+f.appendDelay, nil, func() { f.log.append(r) })
	var err error
	if f.loseResponses {
		err = platformlog.ErrUnknownOutcome
	}
	f.schedule(2+f.appendDelay, n, func() { n.controller.AppendDone(f.clock.now(), err) })
}

func (f *fakeFleet) fetchState(n *fakeNode, req StateRequest) {
	var to *fakeNode
	for _, m := range f.nodes {
		if f.name(m.index) == req.Node {
			to = m
		}
	}
	if f.cut[[2]int{n.index, to.index}] {
		f.schedule(f.randomDelay(), n, func() { n.controller.PeerFailed(f.clock.now(), req.Node) })
		return
	}
	f.schedule(f.randomDelay(), to, func() { f.respond(n, to, req) })
}

func (f *fakeFleet) respond(n, to *fakeNode, req StateRequest) {
	snap := to.snap
	if snap == nil {
		snap = &Snapshot{}
	}
	u := snap.StateResponse(req.Since)
	if !f.cut[[2]int{to.index, n.index}] {
		f.schedule(f.randomDelay(), n, func() { n.controller.UpdateReceived(f.clock.now(), req.Node, u) })
	}
}

// checkSnapshot compares a new snapshot with the reference fold and with the
// node's previous snapshot.
func (f *fakeFleet) checkSnapshot(n *fakeNode, s *Snapshot) {
	if want := f.log.digests[s.Version]; s.Digest != want {
		f.t.Fatalf("%s: state of version %d differs from the log's records 1 to %d", f.name(n.index), s.Version, s.Version)
	}
	if n.snap == nil {
		return
	}
	if s.Version <= n.snap.Version {
		f.t.Fatalf("%s: version %d after %d", f.name(n.index), s.Version, n.snap.Version)
	}
	for old := range n.snap.Mandates() {
		now, ok := s.Mandate(old.Name)
		switch {
		case !ok:
			f.t.Fatalf("%s: mandate %s is missing", f.name(n.index), old.Name)
		case now.Revision < old.Revision:
			f.t.Fatalf("%s: mandate %s went from revision %d to %d", f.name(n.index), old.Name, old.Revision, now.Revision)
		case old.Withdrawn && !now.Withdrawn && now.Term <= old.Term:
			f.t.Fatalf("%s: withdrawn mandate %s is live again without a higher term", f.name(n.index), old.Name)
		}
	}
}

// recoverable reports whether the state could still be restored if the log
// started at first and node lost were replaced.
func (f *fakeFleet) recoverable(first int64, lost *fakeNode) bool {
	for _, n := range f.nodes {
		if n != lost && n.controller.Joined() && f.version(n) >= first-1 {
			return true
		}
	}
	return f.log.restorable(first)
}

// clearFaults ends all faults.
func (f *fakeFleet) clearFaults() {
	clear(f.cut)
	f.logDown, f.appendsDown, f.loseResponses, f.appendDelay = false, false, false, 0
	for _, n := range f.nodes {
		n.paused, n.cut = false, false
	}
}

// converge ends all faults and checks that all nodes reach the current head of
// the log within a number of ticks.
func (f *fakeFleet) converge(ticks int) {
	f.clearFaults()
	head := f.log.head()
	for range ticks {
		f.step()
		if f.describeBehind(head) == "" {
			return
		}
	}
	f.t.Fatalf("not converged %d ticks after the faults ended: head %d, first retained %d: %s", ticks, head, f.log.first, f.describeBehind(head))
}

func (f *fakeFleet) describeBehind(head int64) string {
	text := ""
	for _, n := range f.nodes {
		if f.version(n) < head {
			text += fmt.Sprintf("%s at %d (joined %v) ", f.name(n.index), f.version(n), n.controller.Joined())
		}
	}
	return text
}
