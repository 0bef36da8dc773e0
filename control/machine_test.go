package control

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// convergeTicks bounds the time to convergence after the faults end: 30 s.
const convergeTicks = 300

var machineServices = []string{"belt-desk", "depot", "reserve", "catalogue"}
var machineMandates = []string{"grain", "chairs", "lens"}

// machine draws faults and operations for a fakeFleet.
type machine struct {
	*fakeFleet
	rt  *rapid.T
	ids int
}

func (m *machine) id() string {
	m.ids++
	return fmt.Sprintf("r%d", m.ids)
}

func (m *machine) drawNode() *fakeNode { return rapid.SampledFrom(m.nodes).Draw(m.rt, "node") }

// base draws a base revision and a term: the current ones, or outdated ones as
// an operator with an old view would give.
func (m *machine) base(mandate string) (base, term int64) {
	cur := m.log.model.mandates[mandate]
	base, term = cur.revision, max(cur.term, 1)
	if rapid.IntRange(0, 3).Draw(m.rt, "old base") == 0 {
		base = rapid.Int64Range(0, base).Draw(m.rt, "base")
	}
	if cur.withdrawn && rapid.Bool().Draw(m.rt, "new term") {
		term++
	}
	return base, term
}

func (m *machine) publish() {
	mandate := rapid.SampledFrom(machineMandates).Draw(m.rt, "mandate")
	services := rapid.SliceOfNDistinct(rapid.SampledFrom(machineServices), 1, 2, rapid.ID).Draw(m.rt, "services")
	base, term := m.base(mandate)
	r := manifestRecord(m.t, m.id(), mandate, term, base, services...)
	m.schedule(rapid.IntRange(0, 3).Draw(m.rt, "delay"), nil, func() { m.log.append(r) })
}

func (m *machine) withdraw() {
	mandate := rapid.SampledFrom(machineMandates).Draw(m.rt, "mandate")
	base, term := m.base(mandate)
	r := withdrawRecord(m.t, m.id(), mandate, term, base)
	m.schedule(rapid.IntRange(0, 3).Draw(m.rt, "delay"), nil, func() { m.log.append(r) })
}

func (m *machine) homes() {
	service := rapid.SampledFrom(machineServices).Draw(m.rt, "service")
	g, _ := m.log.ref.Snapshot().HomeGroup(service)
	m.log.append(homesRecord(m.t, m.id(), service, g.Epoch, "n1", "n2"))
}

// resendRecord appends an earlier record again, as a retrying middlebox does.
func (m *machine) resendRecord() {
	if m.log.head() > 0 {
		i := rapid.Int64Range(0, m.log.head()-1).Draw(m.rt, "record")
		m.log.append(m.log.entries[i].Record)
	}
}

func (m *machine) cutLink() {
	a, b := m.drawNode(), m.drawNode()
	m.cut[[2]int{a.index, b.index}] = rapid.Bool().Draw(m.rt, "cut")
}

func (m *machine) cutLog() {
	n := m.drawNode()
	n.cut = rapid.Bool().Draw(m.rt, "cut")
}

func (m *machine) outage() {
	m.logDown = rapid.Bool().Draw(m.rt, "down")
	m.appendsDown = rapid.Bool().Draw(m.rt, "appends down")
	m.loseResponses = rapid.Bool().Draw(m.rt, "lose responses")
	m.appendDelay = rapid.IntRange(0, 30).Draw(m.rt, "append delay")
}

func (m *machine) pause() {
	n := m.drawNode()
	n.paused = rapid.Bool().Draw(m.rt, "paused")
}

func (m *machine) replaceHost() {
	if n := m.drawNode(); m.recoverable(m.log.first, n) {
		m.replace(n)
	}
}

func (m *machine) expire() {
	first := rapid.Int64Range(m.log.first, m.log.head()+1).Draw(m.rt, "first")
	if m.recoverable(first, nil) {
		m.log.first = first
	}
}

func (m *machine) time() { m.run(rapid.IntRange(1, 40).Draw(m.rt, "ticks")) }

// Guards against a version that decreases, an accepted manifest replaced by an
// older one, a withdrawn mandate that becomes live again, and nodes that do not
// converge after the faults end. The faults are message loss and reordering,
// one-way link failures, pauses, log outages, expired records, concurrent
// operators and replaced hosts.
func TestControlStateMachine(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		m := &machine{fakeFleet: newFakeFleet(t, 5, seed), rt: rt}
		m.t, m.log.t = rapidTB{t, rt}, rapidTB{t, rt}
		rt.Repeat(map[string]func(*rapid.T){
			"publish":  func(rt *rapid.T) { m.rt = rt; m.publish() },
			"withdraw": func(rt *rapid.T) { m.rt = rt; m.withdraw() },
			"homes":    func(rt *rapid.T) { m.rt = rt; m.homes() },
			"repeat":   func(rt *rapid.T) { m.rt = rt; m.resendRecord() },
			"cut link": func(rt *rapid.T) { m.rt = rt; m.cutLink() },
			"cut log":  func(rt *rapid.T) { m.rt = rt; m.cutLog() },
			"outage":   func(rt *rapid.T) { m.rt = rt; m.outage() },
			"pause":    func(rt *rapid.T) { m.rt = rt; m.pause() },
			"replace":  func(rt *rapid.T) { m.rt = rt; m.replaceHost() },
			"expire":   func(rt *rapid.T) { m.rt = rt; m.expire() },
			"time":     func(rt *rapid.T) { m.rt = rt; m.time() },
			"time 2":   func(rt *rapid.T) { m.rt = rt; m.time() },
			"time 3":   func(rt *rapid.T) { m.rt = rt; m.time() },
		})
		m.converge(convergeTicks)
	})
}

// rapidTB reports failures in helpers to rapid, so that it shrinks them.
type rapidTB struct {
	testing.TB
	rt *rapid.T
}

func (t rapidTB) Fatalf(format string, args ...any) { t.rt.Fatalf(format, args...) }
func (t rapidTB) Fatal(args ...any)                 { t.rt.Fatal(args...) }
func (t rapidTB) Helper()                           {}
