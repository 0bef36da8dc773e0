package once

import (
	"slices"
	"time"

	"hyssopbridge/fleet"
	"hyssopbridge/lease"
	"hyssopbridge/resultcode"
)

// simNode runs the handlers of the entry, home and host node. Every handler is
// split into tasks, one per tick, so that a pause can occur between any two.
type simNode struct {
	w      *world
	index  int
	offset time.Duration
	frozen bool    // the monotonic clock stops while the node is paused
	rate   float64 // of the monotonic clock
	skewMS int64   // of the wall clock

	up, paused, draining bool
	drainingTicks        int // since draining began
	forceHost            int // index of the host node to use; 0 for a random one
	member               fleet.Member
	core                 *lease.Core
	store                *Store
	admissions           *AdmissionTable
	inbox                []func(*simNode)
	tasks                []func()
	candidates           []lease.Candidate
	known                int // number of log records that the node has read
	moved                map[moveKey]bool
}

type moveKey struct {
	epoch int64
	to    fleet.Member
	index int
	of    int64
}

// simWait is the response timeout of calls between nodes, in ticks.
const simWait = 10

// simDrainLimit is the drain limit of a node, in ticks.
const simDrainLimit = 200

func nodeName(i int) string { return string(rune('a' + i)) }

func nodeIndex(name string) int { return int(name[0] - 'a') }

func (n *simNode) mono() time.Duration {
	return n.offset + time.Duration(float64(n.w.now)*n.rate)
}

func (n *simNode) wall() int64 { return n.w.wall() + n.skewMS }

// start begins a new process with empty memory.
func (n *simNode) start() {
	n.member = fleet.Member{Node: nodeName(n.index), Incarnation: n.wall() + 1}
	n.core = lease.New(n.member)
	n.store = New(Config{}, n.member)
	n.admissions = NewAdmissionTable(AdmissionConfig{}, n.wall())
	n.up, n.paused, n.draining, n.drainingTicks = true, false, false, 0
	n.inbox, n.tasks, n.candidates, n.known = nil, nil, nil, 0
	n.moved = map[moveKey]bool{}
}

func (n *simNode) crash() {
	n.up, n.paused, n.draining = false, false, false
	n.inbox, n.tasks = nil, nil
}

// after runs a task after the node has run for the given number of ticks.
func (n *simNode) after(ticks int, task func()) {
	if ticks <= 1 {
		n.tasks = append(n.tasks, task)
		return
	}
	n.tasks = append(n.tasks, func() { n.after(ticks-1, task) })
}

func (n *simNode) nextTick(task func()) { n.after(1, task) }

// step runs the pending tasks, then handles messages, then control state.
func (n *simNode) step() {
	tasks := n.tasks
	n.tasks = nil
	for _, task := range tasks {
		task()
	}
	inbox := n.inbox
	n.inbox = nil
	for _, deliver := range inbox {
		deliver(n)
	}
	n.control()
}

func (n *simNode) control() {
	if !n.w.logDown && !n.w.logCut[n.index] && n.known < len(n.w.log) && n.w.rng.IntN(10) == 0 {
		n.known = len(n.w.log)
		n.core.SetGroups(n.mono(), n.wall(), simService, n.w.log[:n.known])
	}
	if !slices.Equal(n.candidates, n.w.candidates) {
		n.candidates = n.w.candidates
		n.core.SetCandidates(simService, n.candidates)
	}
	out := n.core.Tick(n.mono(), n.wall())
	for _, p := range out.Proposals {
		n.w.appendGroup(p.Base, p.Members)
	}
	for _, m := range out.Messages {
		n.sendLease(m)
	}
	if epoch, wall, ok := n.core.ActiveSince(simService); ok && n.known == int(epoch) {
		n.store.Activate(simService, n.w.log[:n.known:n.known], wall)
	}
	n.core.MarkInUse(n.mono(), simService)
	if n.draining {
		n.drainingTicks++
		n.handOver()
	}
}

func (n *simNode) sendLease(m lease.Message) {
	n.w.send(n.index, nodeIndex(m.To), func(to *simNode) {
		if reply, ok := to.core.Receive(to.mono(), to.wall(), m); ok {
			to.sendLease(reply)
		}
	})
}

func (w *world) listCandidates() []lease.Candidate {
	out := make([]lease.Candidate, 0, len(w.nodes))
	for _, n := range w.nodes {
		k := lease.Candidate{Member: n.member, Zone: string(rune('x' + n.index%3))}
		switch {
		case !n.up || w.falseDead[n.index]:
			k.Condition = lease.Dead
		case n.draining:
			k.Condition = lease.Draining
		}
		out = append(out, k)
	}
	return out
}

// handleEntry acts as the entry node: it sends the order to the home according
// to its own view.
func (n *simNode) handleEntry(c *call) {
	if n.known == 0 {
		n.w.deliverOutcome(c, resultcode.NoLease, nil)
		return
	}
	home, ok := lease.HomeIn(n.w.log[n.known-1].HomeGroup, c.key.Scoped())
	if !ok {
		return
	}
	to, self := nodeIndex(home.Node), n.member
	c.requestID = n.w.uuid(n.wall())
	n.w.send(n.index, to, func(h *simNode) { h.nextTick(func() { h.handleHome(n.index, c) }) })
	n.after(4*simWait, func() {
		if c.done || n.member != self {
			return
		}
		n.w.send(n.index, to, func(h *simNode) {
			if h.admissions.Settle(h.mono(), h.wall(), c.requestID) {
				h.reply(n.index, c, resultcode.NoTarget, nil)
			}
		})
	})
}

// handleHome acts as the home: it registers the request as a host node does, so
// that a duplicate delivery gets no outcome of its own and the entry node can
// settle.
func (n *simNode) handleHome(entry int, c *call) {
	if err := n.admissions.Admit(n.mono(), n.wall(), c.requestID); err != nil {
		if err.Ran == resultcode.RanNo {
			n.reply(entry, c, err.Code, nil)
		}
		return
	}
	n.nextTick(func() { n.beginOrder(entry, c) })
}

func (n *simNode) reply(entry int, c *call, code resultcode.Code, a *Response) {
	if code.Ran() == resultcode.RanNo {
		n.admissions.Withdraw(c.requestID)
	}
	n.w.send(n.index, entry, func(*simNode) { n.w.deliverOutcome(c, code, a) })
}

func request(c *call, epoch int64) Request {
	return Request{Key: c.key, Hash: PayloadHash{c.payload}, Epoch: epoch}
}

// beginOrder acts as the home: it checks the lease, then calls Begin. A pause
// can occur in between.
func (n *simNode) beginOrder(entry int, c *call) {
	epoch, deadline, ok := n.core.Holds(n.mono(), simService)
	if !ok {
		n.reply(entry, c, resultcode.NoLease, nil)
		return
	}
	n.nextTick(func() {
		d := n.store.Begin(n.mono(), n.wall(), request(c, epoch))
		n.carryOut(entry, c, d, epoch, deadline, 2*simWait)
	})
}

func (n *simNode) carryOut(entry int, c *call, d Decision, epoch int64, deadline time.Duration, joinTicks int) {
	switch d.Action {
	case Run:
		n.nextTick(func() { n.forward(entry, c, d.Attempt, epoch, deadline) })
	case Replay:
		n.w.replays++
		n.reply(entry, c, resultcode.Answered, d.Response)
	case Refuse:
		n.reply(entry, c, d.Code, nil)
	case Join:
		n.join(entry, c, joinTicks)
	case AskPrevious:
		n.askPrevious(entry, c, d.Ask, epoch)
	}
}

func (n *simNode) join(entry int, c *call, joinTicks int) {
	if joinTicks == 0 {
		n.reply(entry, c, resultcode.StillRunning, nil)
		return
	}
	n.nextTick(func() {
		epoch, deadline, ok := n.core.Holds(n.mono(), simService)
		if !ok {
			n.reply(entry, c, resultcode.NoLease, nil)
			return
		}
		d := n.store.Begin(n.mono(), n.wall(), request(c, epoch))
		n.carryOut(entry, c, d, epoch, deadline, joinTicks-1)
	})
}

func (n *simNode) askPrevious(entry int, c *call, homes []fleet.Member, epoch int64) {
	replies := make([]Reply, 0, len(homes))
	for _, m := range homes {
		n.w.send(n.index, nodeIndex(m.Node), func(p *simNode) {
			r := p.store.Lookup(p.mono(), m, c.key, epoch)
			p.w.send(p.index, n.index, func(*simNode) { replies = append(replies, r) })
		})
	}
	n.after(simWait, func() {
		epoch, deadline, ok := n.core.Holds(n.mono(), simService)
		if !ok {
			n.reply(entry, c, resultcode.NoLease, nil)
			return
		}
		n.nextTick(func() {
			d := n.store.Resolve(n.mono(), n.wall(), request(c, epoch), replies)
			n.carryOut(entry, c, d, epoch, deadline, 2*simWait)
		})
	})
}

// attempt is one sending of an order to a host node, as the home sees it.
type attempt struct {
	n        *simNode
	member   fleet.Member
	entry    int
	c        *call
	number   uint32
	id       string
	finished bool
}

func (n *simNode) forward(entry int, c *call, number uint32, epoch int64, deadline time.Duration) {
	remaining := deadline - n.mono()
	a := &attempt{n: n, member: n.member, entry: entry, c: c, number: number, id: n.w.uuid(n.wall())}
	if remaining <= 0 {
		a.notRun(resultcode.NoLease)
		return
	}
	host := n.w.rng.IntN(len(n.w.nodes))
	if n.forceHost > 0 {
		host = n.forceHost
	}
	n.nextTick(func() {
		if !n.w.nodes[host].up || n.w.cut[[2]int{n.index, host}] {
			a.notRun(resultcode.PeerUnreachable)
			return
		}
		n.w.send(n.index, host, func(h *simNode) { h.nextTick(func() { h.handleHost(a, epoch, remaining) }) })
		n.after(simWait, func() { a.settle(host) })
	})
}

// senderRunning reports whether the process that sent the attempt still runs.
func (a *attempt) senderRunning() bool { return a.n.up && a.n.member == a.member }

func (a *attempt) notRun(code resultcode.Code) {
	if !a.senderRunning() || a.finished {
		return
	}
	a.finished = true
	if a.n.store.NotRun(a.c.key, a.number) {
		a.n.reply(a.entry, a.c, code, nil)
	}
}

func (a *attempt) settle(host int) {
	if !a.senderRunning() || a.finished {
		return
	}
	a.n.store.Unknown(a.c.key, a.number)
	a.n.w.send(a.n.index, host, func(h *simNode) {
		notRun := h.admissions.Settle(h.mono(), h.wall(), a.id)
		h.w.send(h.index, a.n.index, func(*simNode) {
			if notRun {
				a.notRun(resultcode.NoTarget)
			}
		})
	})
	a.n.after(simWait, func() {
		if a.senderRunning() && !a.finished {
			a.n.reply(a.entry, a.c, resultcode.UnknownOutcome, nil)
		}
	})
}

// handleHost acts as the host node: it admits the attempt, checks lease and
// epoch, and runs the order. A pause can occur before each step.
func (n *simNode) handleHost(a *attempt, epoch int64, remaining time.Duration) {
	refuse := func(code resultcode.Code) {
		n.w.send(n.index, a.n.index, func(*simNode) { a.notRun(code) })
	}
	if err := n.admissions.Admit(n.mono(), n.wall(), a.id); err != nil {
		if err.Ran == resultcode.RanNo {
			refuse(err.Code)
		}
		return
	}
	n.nextTick(func() {
		_, left := RemainingLease(n.wall(), a.id, remaining)
		if !left || !n.core.Admits(n.mono(), simService, epoch) {
			n.admissions.Withdraw(a.id)
			refuse(resultcode.NoLease)
			return
		}
		n.nextTick(func() {
			response := n.w.run(a.c)
			n.w.send(n.index, a.n.index, func(*simNode) { a.answered(response) })
		})
	})
}

func (a *attempt) answered(response *Response) {
	if !a.senderRunning() {
		return
	}
	a.finished = true
	if a.n.store.Finished(a.c.key, a.number, response) {
		a.n.reply(a.entry, a.c, resultcode.Answered, response)
	}
}

// handOver transfers the records of a draining node to the members of the
// latest group, and ends the process once all have arrived.
func (n *simNode) handOver() {
	if n.drainingTicks > simDrainLimit {
		n.crash()
		return
	}
	g, ok := n.core.Group(simService)
	if !ok || n.core.IsMember(simService) || g.Epoch != int64(n.known) {
		return
	}
	n.store.Close(simService, g.Epoch)
	done := true
	for _, to := range g.Members {
		if !n.handOverTo(g, to) {
			done = false
		}
	}
	if done && len(n.tasks) == 0 && n.core.MayStop() {
		n.crash()
	}
}

func (n *simNode) handOverTo(g lease.Group, to fleet.Member) bool {
	last := moveKey{epoch: g.Epoch, to: to, index: -1}
	if n.moved[last] {
		return true
	}
	batches, ok := n.store.Export(n.mono(), simService, g, to, 2, 1<<20)
	if !ok {
		return false
	}
	self := n.member
	for _, b := range batches {
		n.w.send(n.index, nodeIndex(to.Node), func(p *simNode) {
			if !p.store.Import(p.mono(), b) {
				return
			}
			p.w.send(p.index, n.index, func(*simNode) {
				if n.member == self {
					n.imported(last, b, len(batches))
				}
			})
		})
	}
	return false
}

func (n *simNode) imported(last moveKey, b Batch, total int) {
	n.moved[moveKey{last.epoch, last.to, b.Index, b.ExportID}] = true
	for i := range total {
		if !n.moved[moveKey{last.epoch, last.to, i, b.ExportID}] {
			return
		}
	}
	n.moved[last] = true
}
