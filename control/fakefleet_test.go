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

// fakeFleet runs several controllers on one clock, joined by a network and a
// log that can fail in every direction.
type fakeFleet struct {
	t     testing.TB
	clock *clock
	rng   *rand.Rand
	log   *fakeLog
	nodes []*fakeNode
	queue []delivery
	cut   map[[2]int]bool // messages from the first to the second are lost

	logDown, appendsDown bool
	loseAnswers          bool // answers to appends are lost
	appendDelay          int  // ticks before an append takes effect
	retention            time.Duration
}

type fakeNode struct {
	index  int
	life   int // raised when the host is replaced
	core   *Controller
	snap   *Snapshot // last published
	paused bool
	cut    bool // the node cannot reach the log
	reads  int
}

// delivery is an event that takes place at a tick.
type delivery struct {
	at   time.Time
	node *fakeNode // nil for the log
	life int
	run  func()
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
		out = append(out, fleet.Node{ID: f.name(n.index), Region: "riga", Incarnation: int64(n.life)})
	}
	return out
}

// replace gives a node a new host with empty state.
func (f *fakeFleet) replace(n *fakeNode) {
	n.life++
	n.snap, n.paused = nil, false
	n.core = NewController(Config{
		Self: f.members()[n.index], Seed: f.rng.Uint64(), Readers: 2,
		PollInterval: 5 * time.Second, Retention: f.retention,
		CheckpointMaxDelay: 2 * time.Second, CheckpointPartBytes: 600, BoundsInterval: 2 * time.Second, ReadBatch: 7,
	})
	n.core.NodesChanged(f.clock.now(), f.members())
}

// after queues an event; events of one tick run in random order.
func (f *fakeFleet) after(ticks int, n *fakeNode, run func()) {
	d := delivery{at: f.clock.now().Add(time.Duration(ticks) * tick), node: n, run: run}
	if n != nil {
		d.life = n.life
	}
	f.queue = append(f.queue, d)
}

// lag draws the ticks that a message takes.
func (f *fakeFleet) lag() int { return 1 + f.rng.IntN(4) }

// step advances the clock by a tick.
func (f *fakeFleet) step() {
	f.clock.t = f.clock.t.Add(tick)
	f.deliver()
	for _, n := range f.nodes {
		if n.paused {
			continue
		}
		n.core.Tick(f.clock.now())
		f.announce(n)
		f.act(n)
	}
}

func (f *fakeFleet) run(ticks int) {
	for range ticks {
		f.step()
	}
}

// deliver runs the events that are due. Those of a paused node wait; those of a
// replaced host are lost.
func (f *fakeFleet) deliver() {
	var due, rest []delivery
	for _, d := range f.queue {
		switch {
		case d.node != nil && d.life != d.node.life:
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
			f.act(d.node)
		}
	}
}

// announce sends a node's version and progress to a random peer.
func (f *fakeFleet) announce(n *fakeNode) {
	to := f.nodes[f.rng.IntN(len(f.nodes))]
	if to == n || f.cut[[2]int{n.index, to.index}] {
		return
	}
	version, p := f.version(n), n.core.Progress(f.clock.now())
	f.after(f.lag(), to, func() { to.core.PeerAnnounced(f.clock.now(), f.name(n.index), version, p) })
}

func (f *fakeFleet) version(n *fakeNode) int64 {
	if n.snap == nil {
		return 0
	}
	return n.snap.Version
}

// act carries out the output of a node's controller.
func (f *fakeFleet) act(n *fakeNode) {
	out := n.core.TakeOutput()
	if out.Snapshot != nil {
		f.check(n, out.Snapshot)
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
		f.after(f.lag(), n, func() { n.core.LogBounds(f.clock.now(), f.log.first) })
	}
	for _, a := range out.StateRequests {
		f.ask(n, a)
	}
}

func (f *fakeFleet) read(n *fakeNode, r ReadRequest) {
	var entries []platformlog.Entry
	err := error(platformlog.ErrUnavailable)
	if !f.logDown && !n.cut {
		entries, err = f.log.read(r.From, r.Max)
	}
	f.after(f.lag(), n, func() {
		if err != nil {
			n.core.ReadFailed(f.clock.now(), r.From, err)
			return
		}
		n.core.LogEntries(f.clock.now(), r.From, entries)
	})
}

func (f *fakeFleet) append(n *fakeNode, r platformlog.Record) {
	if f.logDown || f.appendsDown || n.cut {
		f.after(f.lag(), n, func() { n.core.AppendDone(f.clock.now(), platformlog.ErrUnavailable) })
		return
	}
	f.after(1+f.appendDelay, nil, func() { f.log.append(r) })
	var err error
	if f.loseAnswers {
		err = platformlog.ErrUnknownOutcome
	}
	f.after(2+f.appendDelay, n, func() { n.core.AppendDone(f.clock.now(), err) })
}

func (f *fakeFleet) ask(n *fakeNode, a StateRequest) {
	var to *fakeNode
	for _, m := range f.nodes {
		if f.name(m.index) == a.Node {
			to = m
		}
	}
	if f.cut[[2]int{n.index, to.index}] {
		f.after(f.lag(), n, func() { n.core.PeerFailed(f.clock.now(), a.Node) })
		return
	}
	f.after(f.lag(), to, func() { f.answer(n, to, a) })
}

func (f *fakeFleet) answer(n, to *fakeNode, a StateRequest) {
	snap := to.snap
	if snap == nil {
		snap = &Snapshot{}
	}
	u := snap.StateResponse(a.Since)
	if !f.cut[[2]int{to.index, n.index}] {
		f.after(f.lag(), n, func() { n.core.UpdateReceived(f.clock.now(), a.Node, u) })
	}
}

// check compares a new snapshot with the node's last one and the reference.
func (f *fakeFleet) check(n *fakeNode, s *Snapshot) {
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
			f.t.Fatalf("%s: mandate %s is gone", f.name(n.index), old.Name)
		case now.Revision < old.Revision:
			f.t.Fatalf("%s: mandate %s went from revision %d to %d", f.name(n.index), old.Name, old.Revision, now.Revision)
		case old.Withdrawn && !now.Withdrawn && now.Term <= old.Term:
			f.t.Fatalf("%s: withdrawn mandate %s serves again", f.name(n.index), old.Name)
		}
	}
}

// recoverable reports whether the state would survive if the log began at
// first and the node lost were replaced.
func (f *fakeFleet) recoverable(first int64, lost *fakeNode) bool {
	for _, n := range f.nodes {
		if n != lost && n.core.Joined() && f.version(n) >= first-1 {
			return true
		}
	}
	return f.log.covered(first)
}

// heal ends every fault.
func (f *fakeFleet) heal() {
	clear(f.cut)
	f.logDown, f.appendsDown, f.loseAnswers, f.appendDelay = false, false, false, 0
	for _, n := range f.nodes {
		n.paused, n.cut = false, false
	}
}

// agree checks that all nodes reach the head as it is now within a number of
// ticks.
func (f *fakeFleet) agree(ticks int) {
	f.heal()
	head := f.log.head()
	for range ticks {
		f.step()
		if f.behind(head) == "" {
			return
		}
	}
	f.t.Fatalf("%d ticks after the faults: head %d, first retained %d: %s", ticks, head, f.log.first, f.behind(head))
}

func (f *fakeFleet) behind(head int64) string {
	text := ""
	for _, n := range f.nodes {
		if f.version(n) < head {
			text += fmt.Sprintf("%s at %d (joined %v) ", f.name(n.index), f.version(n), n.core.Joined())
		}
	}
	return text
}
