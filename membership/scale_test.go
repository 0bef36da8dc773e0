package membership

import (
	"fmt"
	"os"
	"runtime"
	"testing"
	"time"

	"hyssopbridge/fleet"
)

// preload adds the records of all cores to each core, as after a join.
func preload(n *network, cores []*Core) {
	for _, c := range cores {
		for _, other := range cores {
			if c != other {
				u := other.self.fullUpdate(0)
				c.merge(0, &u, true)
			}
		}
		for _, id := range c.order {
			c.dropRumor(id)
		}
		c.hasUnpushed = false
		c.joined, c.transfer = true, transfer{}
		c.View()
	}
}

func loadedFleet(size, instances int) (*network, []*Core) {
	n := newNetwork(uint64(size))
	cores := startFleet(n, size, instances)
	preload(n, cores)
	return n, cores
}

// roundsToKnowDraining marks a node as draining and returns the number of rounds
// (steps of the network) until 99% of the nodes know it and until all do.
func roundsToKnowDraining(n *network, cores []*Core) (most, all int) {
	node := cores[len(cores)/2]
	node.SetSelf(node.self.instances, true)
	for round := 1; ; round++ {
		n.step()
		known := 0
		for _, c := range cores {
			if c.members[node.self.node.ID].draining {
				known++
			}
		}
		if most == 0 && known*100 >= 99*len(cores) {
			most = round
		}
		if known == len(cores) {
			return most, round
		}
		if round > 400 {
			return most, round
		}
	}
}

// Guards against a draining node that the whole fleet does not know within 2 s
// of simulated time, also at the largest supported size. A step of 50 ms is the
// delay of a message and the interval of ticks.
func TestDisseminationRounds(t *testing.T) {
	sizes := []int{10, 40, 100}
	if os.Getenv("HYSSOPBRIDGE_LARGE") != "" {
		sizes = []int{1000, 2800}
	}
	for _, size := range sizes {
		for _, loss := range []float64{0, 0.1} {
			if loss > 0 && size > 1000 {
				continue // takes minutes
			}
			n, cores := loadedFleet(size, 0)
			n.loss = loss
			for range 40 {
				n.step()
			}
			most, all := roundsToKnowDraining(n, cores)
			t.Logf("%4d nodes, loss %.0f%%: 99%% know after %d rounds, all after %d (%v)", size, 100*loss, most, all, time.Duration(all)*step)
			if loss == 0 && time.Duration(all)*step > 2*time.Second {
				t.Errorf("%d nodes: %d rounds", size, all)
			}
		}
	}
}

// instanceChanges changes instances of random nodes at a fixed rate.
type instanceChanges struct {
	perSecond float64 // of the whole fleet
	credit    float64
	seq       int64
}

func (c *instanceChanges) step(n *network, cores []*Core) {
	c.credit += c.perSecond * step.Seconds()
	for ; c.credit >= 1; c.credit-- {
		c.seq++
		core := cores[n.rng.IntN(len(cores))]
		list := append([]fleet.Instance(nil), core.self.instances...)
		if len(list) == 0 {
			continue
		}
		list[n.rng.IntN(len(list))].Seq = 1 + c.seq
		core.SetSelf(list, false)
	}
}

// BenchmarkFleet measures the time and traffic of one node, including the encoding and
// decoding of messages, at the given number of instance changes per second in
// the whole fleet. One operation is one second of the whole fleet.
func BenchmarkFleet(b *testing.B) {
	for _, size := range []int{10, 50, 100, 200} {
		for _, rate := range []float64{0, 2} {
			b.Run(fmt.Sprintf("nodes=%d/changes=%g", size, rate), func(b *testing.B) { benchmarkFleet(b, size, rate) })
		}
	}
}

func benchmarkFleet(b *testing.B, size int, rate float64) {
	n, cores := loadedFleet(size, 64)
	n.encode = true
	load := &instanceChanges{perSecond: rate}
	second := func() {
		for range int(time.Second / step) {
			load.step(n, cores)
			n.step()
			for _, c := range cores {
				c.View()
			}
		}
	}
	for range 5 {
		second()
	}
	n.messages, n.bytes = 0, 0
	seconds := 0
	for b.Loop() {
		second()
		seconds++
	}
	perNode := float64(seconds * size)
	b.ReportMetric(float64(b.Elapsed().Microseconds())/perNode, "µs/node/s")
	b.ReportMetric(float64(n.messages)/perNode, "sent/node/s")
	b.ReportMetric(float64(n.bytes)/perNode, "sentB/node/s")
	b.ReportMetric(float64(n.maxSize), "maxB")
}

// BenchmarkMemory measures the heap of one core with its view.
func BenchmarkMemory(b *testing.B) {
	for _, size := range []int{10, 50, 100, 200, 2800} {
		b.Run(fmt.Sprintf("nodes=%d/instances=%d", size, size*64), func(b *testing.B) {
			var c *Core
			before := heap()
			for b.Loop() {
				c = nil
				before = heap()
				c = loadedCore(size)
			}
			b.ReportMetric(float64(heap()-before)/(1<<20), "MiB")
			runtime.KeepAlive(c)
		})
	}
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// loadedCore returns a core that merged a fleet from encoded records, as a
// joining node does.
func loadedCore(size int) *Core {
	n := newNetwork(1)
	c := New(Config{Self: fleet.Node{ID: "self"}}, 1)
	for i := range size {
		other := New(Config{Self: testNode(i)}, 1)
		other.SetSelf(testInstances(i, 64), false)
		o := Outgoing{Msg: &Message{Kind: State, Updates: []Update{other.self.fullUpdate(0)}}}
		n.encodeAndDecode(&o)
		c.merge(0, &o.Msg.Updates[0], true)
	}
	for _, id := range c.order {
		c.dropRumor(id)
	}
	c.View()
	return c
}

// BenchmarkView measures a new view after one node changed, at the largest
// supported size.
func BenchmarkView(b *testing.B) {
	c := loadedCore(2800)
	m := c.members["node-1400"]
	b.ReportAllocs()
	for b.Loop() {
		c.markChanged(m)
		c.View()
	}
}

// BenchmarkTick measures an idle tick at the largest supported size.
func BenchmarkTick(b *testing.B) {
	c := loadedCore(2800)
	now := time.Duration(0)
	b.ReportAllocs()
	for b.Loop() {
		now += step
		c.probes = nil
		c.suspects = nil
		c.Tick(now)
	}
}
