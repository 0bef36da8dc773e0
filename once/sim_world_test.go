package once

import (
	"fmt"
	"math/rand/v2"
	"time"

	"hyssopbridge/fleet"
	"hyssopbridge/lease"
	"hyssopbridge/resultcode"
)

// simTick is the simulated time of one step.
const simTick = 100 * time.Millisecond

const simService = "svc"

// simStartMS is the wall time at which the simulation starts, Unix ms.
const simStartMS = 1_700_000_000_000

// world simulates a fleet of nodes with a network, a log and a target that
// counts runs.
type world struct {
	rng        *rand.Rand
	now        time.Duration // simulated true time
	nodes      []*simNode
	net        []*envelope
	cut        map[[2]int]bool
	candidates []lease.Candidate
	falseDead  map[int]bool // nodes that membership falsely reports as dead
	lossy      bool
	logDown    bool
	logCut     map[int]bool // nodes that cannot read the log
	log        []lease.Group

	calls      []*call
	runs       map[Key]int
	violations []string // violated invariants
	uuidSeq    uint64
	ran        int // runs at the target, to check the coverage of the test
	replays    int
}

// call is one request from a caller.
type call struct {
	id        int
	key       Key
	requestID string
	payload   byte
	ran       bool
	notRun    bool
	code      resultcode.Code
	done      bool
}

type envelope struct {
	from, to int
	at       time.Duration
	deliver  func(n *simNode)
}

func newWorld(seed uint64, nodes int) *world {
	w := &world{
		rng:       rand.New(rand.NewPCG(seed, 1)),
		cut:       map[[2]int]bool{},
		falseDead: map[int]bool{},
		logCut:    map[int]bool{},
		lossy:     true,
		runs:      map[Key]int{},
	}
	for i := range nodes {
		n := &simNode{w: w, index: i}
		n.offset = time.Duration(w.rng.IntN(1000)) * time.Second
		n.rate = 0.97 + 0.06*w.rng.Float64()
		n.skewMS = int64(w.rng.IntN(2001)) - 1000
		w.nodes = append(w.nodes, n)
		n.start()
	}
	return w
}

func (w *world) violationf(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("at %v: ", w.now)+fmt.Sprintf(format, args...))
}

// send queues a message, which may be lost, delayed, reordered or duplicated.
func (w *world) send(from, to int, deliver func(n *simNode)) {
	if w.cut[[2]int{from, to}] {
		return
	}
	copies := 1
	if w.lossy {
		switch r := w.rng.IntN(100); {
		case r < 5:
			copies = 0
		case r < 10:
			copies = 2
		}
	}
	for range copies {
		w.net = append(w.net, &envelope{from: from, to: to, at: w.now + w.delay(), deliver: deliver})
	}
}

func (w *world) delay() time.Duration {
	switch r := w.rng.IntN(100); {
	case w.lossy && r < 3:
		return time.Duration(w.rng.IntN(100)) * simTick
	case r < 30:
		return simTick
	}
	return 0
}

// step advances the simulated time by one tick.
func (w *world) step() {
	w.now += simTick
	var later, due []*envelope
	for _, e := range w.net {
		if e.at <= w.now {
			due = append(due, e)
		} else {
			later = append(later, e)
		}
	}
	w.net = later
	for _, e := range due {
		if n := w.nodes[e.to]; n.up {
			n.inbox = append(n.inbox, e.deliver)
		}
	}
	w.candidates = w.listCandidates()
	for _, n := range w.nodes {
		if n.paused && n.frozen {
			n.offset -= time.Duration(float64(simTick) * n.rate)
		}
		if n.up && !n.paused {
			n.step()
		}
	}
	w.checkLeases()
}

// checkLeases checks that all lease holders, paused or not, act in the same
// epoch. Nodes whose clock violates the time contract are exempt.
func (w *world) checkLeases() {
	held := int64(0)
	for _, n := range w.nodes {
		if !n.up || n.frozen {
			continue
		}
		epoch, _, ok := n.core.Holds(n.mono(), simService)
		if !ok {
			continue
		}
		if held != 0 && epoch != held {
			w.violationf("leases are held in epochs %d and %d", held, epoch)
		}
		held = epoch
	}
}

func (w *world) steps(n int) {
	for range n {
		w.step()
	}
}

// appendGroup appends a proposal to the log; the first one with the current
// base wins.
func (w *world) appendGroup(base int64, members []fleet.Member) {
	if w.logDown || base != w.epoch() || len(members) == 0 {
		return
	}
	g := lease.Group{
		HomeGroup:  fleet.HomeGroup{Service: simService, Epoch: w.epoch() + 1, Members: members},
		Base:       base,
		AcceptedMS: w.wall(),
	}
	w.log = append(w.log, g)
}

func (w *world) epoch() int64 { return int64(len(w.log)) }

func (w *world) wall() int64 { return simStartMS + w.now.Milliseconds() }

// uuid returns a UUIDv7 with issue time ms.
func (w *world) uuid(ms int64) string {
	w.uuidSeq++
	return fmt.Sprintf("%08x-%04x-7000-8000-%012x", ms>>16, ms&0xffff, w.uuidSeq)
}

// run acts as the target: it runs every order that reaches it and ignores
// deadlines.
func (w *world) run(c *call) *Response {
	w.runs[c.key]++
	w.ran++
	if w.runs[c.key] > 1 {
		w.violationf("key %v ran %d times", c.key, w.runs[c.key])
	}
	c.ran = true
	if c.notRun {
		w.violationf("call %d ran after its caller was told that it was not run", c.id)
	}
	return &Response{Status: 200, Body: fmt.Appendf(nil, "%v/%d", c.key, c.payload)}
}

// deliverOutcome returns the outcome of a call to its caller.
func (w *world) deliverOutcome(c *call, code resultcode.Code, a *Response) {
	c.done = true
	c.code = code
	if code.Ran() == resultcode.RanNo {
		c.notRun = true
		if c.ran {
			w.violationf("call %d was told %v although it ran", c.id, code)
		}
	}
	if a == nil {
		return
	}
	if want := fmt.Sprintf("%v/%d", c.key, c.payload); string(a.Body) != want {
		w.violationf("call %d got response %q, want %q", c.id, a.Body, want)
	}
}

// call sends an order to an entry node.
func (w *world) call(entry int, key Key, payload byte) *call {
	c := &call{id: len(w.calls), key: key, payload: payload}
	w.calls = append(w.calls, c)
	n := w.nodes[entry]
	if n.up {
		n.tasks = append(n.tasks, func() { n.handleEntry(c) })
	}
	return c
}
