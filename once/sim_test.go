package once

import (
	"strconv"
	"testing"

	"pgregory.net/rapid"

	"hyssopbridge/fleet"
	"hyssopbridge/internal/propertytest"
	"hyssopbridge/resultcode"
)

// TestMain fixes the seed and the size of the property tests unless they are
// given on the command line.
func TestMain(m *testing.M) {
	propertytest.Main(m, "20261204", map[string]string{"rapid.checks": "800", "rapid.steps": "80"})
}

// actions returns the random events of the simulation.
func (w *world) actions(keys *[]Key) map[string]func(*rapid.T) {
	node := rapid.IntRange(0, len(w.nodes)-1)
	pick := func(t *rapid.T) *simNode { return w.nodes[node.Draw(t, "node")] }
	send := func(t *rapid.T) {
		key := rapid.SampledFrom(*keys).Draw(t, "key")
		payload := byte(0)
		if rapid.IntRange(0, 9).Draw(t, "payload") == 0 {
			payload = 1
		}
		for range rapid.IntRange(1, 3).Draw(t, "entries") {
			w.call(node.Draw(t, "entry"), key, payload)
		}
	}
	newKey := func(t *rapid.T) {
		*keys = append(*keys, w.newKey(rapid.IntRange(0, 3).Draw(t, "form"), rapid.IntRange(-15, 15).Draw(t, "skew")))
		for range rapid.IntRange(1, 2).Draw(t, "entries") {
			w.call(node.Draw(t, "entry"), (*keys)[len(*keys)-1], 0)
		}
	}
	return map[string]func(*rapid.T){
		"advance":       func(t *rapid.T) { w.steps(rapid.IntRange(1, 40).Draw(t, "ticks")) },
		"tick":          func(t *rapid.T) { w.steps(rapid.IntRange(1, 6).Draw(t, "ticks")) },
		"new key":       newKey,
		"send":          send,
		"resend":        send,
		"new key again": newKey,
		"calm":          func(t *rapid.T) { w.endFaults(); w.lossy = true; w.steps(rapid.IntRange(20, 200).Draw(t, "ticks")) },
		"cut": func(t *rapid.T) {
			pair := [2]int{node.Draw(t, "from"), node.Draw(t, "to")}
			w.cut[pair] = !w.cut[pair] && pair[0] != pair[1]
		},
		"heal":       func(*rapid.T) { clear(w.cut); clear(w.falseDead); clear(w.logCut) },
		"log cut":    func(t *rapid.T) { n := pick(t); w.logCut[n.index] = !w.logCut[n.index] },
		"isolate":    func(t *rapid.T) { w.isolate(node.Draw(t, "node"), rapid.Bool().Draw(t, "one way")) },
		"pause":      func(t *rapid.T) { n := pick(t); n.paused = n.up && !n.paused },
		"resume":     func(*rapid.T) { w.resume() },
		"crash":      func(t *rapid.T) { pick(t).crash() },
		"restart":    func(t *rapid.T) { pick(t).restart() },
		"leave":      func(t *rapid.T) { n := pick(t); n.draining = n.up },
		"log":        func(*rapid.T) { w.logDown = !w.logDown },
		"false dead": func(t *rapid.T) { w.falseDead[node.Draw(t, "node")] = true },
		"new epoch":  func(t *rapid.T) { w.newEpoch(rapid.SliceOfNDistinct(node, 1, 5, rapid.ID).Draw(t, "members")) },
		"": func(t *rapid.T) {
			if len(w.violations) > 0 {
				t.Fatalf("%v", w.violations)
			}
		},
	}
}

// isolate blocks a node from the log and from sending, and unless oneWay is set
// also from receiving.
func (w *world) isolate(node int, oneWay bool) {
	w.logCut[node] = true
	for i := range w.nodes {
		if i == node {
			continue
		}
		w.cut[[2]int{node, i}] = true
		if !oneWay {
			w.cut[[2]int{i, node}] = true
		}
	}
}

func (n *simNode) restart() {
	if !n.up {
		n.start()
	}
}

func (w *world) resume() {
	for _, n := range w.nodes {
		n.paused = false
	}
}

// newKey returns an opaque key if form is 0, or else a UUIDv7 key issued by a
// caller whose clock is skew seconds ahead.
func (w *world) newKey(form, skew int) Key {
	value := w.uuid(w.wall() + int64(skew)*1000)
	if form == 0 {
		w.uuidSeq++
		value = "order-" + strconv.FormatUint(w.uuidSeq, 10)
	}
	return Key{Service: simService, Customer: "c", Route: "orders", Value: value}
}

// newEpoch appends an arbitrary next group if a running node knows that the
// current one is active, as the rule for proposals requires.
func (w *world) newEpoch(indexes []int) {
	allowed := w.epoch() == 0
	for _, n := range w.nodes {
		if epoch, _, ok := n.core.ActiveSince(simService); ok && n.up && epoch == w.epoch() {
			allowed = true
		}
	}
	if !allowed {
		return
	}
	var members []fleet.Member
	for _, i := range indexes {
		members = append(members, w.nodes[i].member)
	}
	w.appendGroup(w.epoch(), members)
}

// endFaults ends all faults.
func (w *world) endFaults() {
	clear(w.cut)
	clear(w.falseDead)
	clear(w.logCut)
	w.lossy = false
	w.logDown = false
	w.resume()
	for _, n := range w.nodes {
		n.restart()
	}
}

// livenessTicks bounds the time from the last fault until a new order runs. It
// covers delayed messages, acknowledgements, the wait and ProposalDelay, and
// the same again for a group that names members of earlier processes.
const livenessTicks = 600

// runsNewKey reports whether a new key runs within the bound.
func (w *world) runsNewKey() bool {
	for range livenessTicks / 20 {
		for _, n := range w.nodes {
			n.restart() // a draining process has ended
		}
		c := w.call(0, w.newKey(1, 0), 0)
		w.steps(20)
		if c.done && c.code == resultcode.Answered {
			return true
		}
	}
	return false
}

// Guards against a second run of a key, a false report that a key was not run,
// and a response returned for another order, under faults of every kind. Also
// guards against a fleet that does not recover after the faults.
func TestAtMostOnce(t *testing.T) {
	ran, replays, epochs := 0, 0, int64(0)
	codes := map[resultcode.Code]int{}
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 6).Draw(t, "nodes"))
		var keys []Key
		for range 4 {
			keys = append(keys, w.newKey(len(keys), 0))
		}
		if rapid.IntRange(0, 9).Draw(t, "cold") > 0 {
			w.steps(100)
		}
		t.Repeat(w.actions(&keys))
		w.endFaults()
		recovered := w.runsNewKey()
		if len(w.violations) > 0 {
			t.Fatalf("%v", w.violations)
		}
		if !recovered {
			t.Fatalf("no new order ran within %d ticks; epoch %d, last group %+v", livenessTicks, w.epoch(), w.log[len(w.log)-1])
		}
		for _, c := range w.calls {
			codes[c.code]++
		}
		ran, replays, epochs = ran+w.ran, replays+w.replays, epochs+w.epoch()
	})
	t.Logf("orders run %d, responses replayed %d, epochs %d, outcomes %v", ran, replays, epochs, codes)
	if !t.Failed() && (ran == 0 || replays == 0 || epochs == 0) {
		t.Error("the simulation ran no orders, replayed no responses or had no epochs")
	}
}
