package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"hyssopbridge/fleet"
	"hyssopbridge/peer"
)

const step = 50 * time.Millisecond

// network simulates an unreliable network between cores. A message sent in one
// step arrives in a later one.
type network struct {
	now       time.Duration
	rng       *rand.Rand
	cores     map[string]*Core // by control address
	addrs     []string
	queue     []packet
	cut       map[[2]string]bool // blocked links, by sending and receiving address
	paused    map[string]bool
	loss      float64
	dup       float64
	maxDelay  int // steps
	encode    bool
	messages  int
	bytes     int
	maxSize   int
	archive   []packet // packets to deliver again later, up to its capacity
	onDeliver func(c *Core)
}

type packet struct {
	from, fromID, to string
	at               time.Duration
	msg              *Message
}

func newNetwork(seed uint64) *network {
	return &network{
		rng: rand.New(rand.NewPCG(seed, 1)), cores: map[string]*Core{},
		cut: map[[2]string]bool{}, paused: map[string]bool{}, maxDelay: 1,
	}
}

func (n *network) add(cfg Config, seed uint64) *Core {
	c := New(cfg, seed)
	addr := cfg.Self.ControlAddr
	if n.cores[addr] == nil {
		n.addrs = append(n.addrs, addr)
		slices.Sort(n.addrs)
	}
	n.cores[addr] = c
	return c
}

func (n *network) remove(addr string) {
	delete(n.cores, addr)
	n.addrs = slices.DeleteFunc(n.addrs, func(a string) bool { return a == addr })
}

func (n *network) send(from string, list []Outgoing) {
	for _, o := range list {
		n.messages++
		if n.encode {
			n.encodeAndDecode(&o)
		}
		copies := 1
		if n.rng.Float64() < n.dup {
			copies = 2
		}
		for range copies {
			if n.rng.Float64() < n.loss {
				continue
			}
			delay := time.Duration(1+n.rng.IntN(n.maxDelay)) * step
			n.queue = append(n.queue, packet{from, o.Msg.From.ID, o.Addr, n.now + delay, o.Msg})
		}
	}
}

func (n *network) encodeAndDecode(o *Outgoing) {
	b, err := peer.Marshal(o.Msg)
	if err != nil {
		panic(err)
	}
	n.bytes += len(b)
	n.maxSize = max(n.maxSize, len(b))
	msg := new(Message)
	if err := peer.Unmarshal(b, msg); err != nil {
		panic(err)
	}
	o.Msg = msg
}

func (n *network) step() {
	n.now += step
	due := n.queue
	n.queue = nil
	for _, p := range due {
		if p.at > n.now {
			n.queue = append(n.queue, p)
			continue
		}
		if n.archive != nil && len(n.archive) < cap(n.archive) {
			n.archive = append(n.archive, p)
		}
		c := n.cores[p.to]
		if c == nil || n.cut[[2]string{p.from, p.to}] || n.paused[p.to] {
			continue
		}
		n.send(p.to, c.Receive(n.now, p.fromID, p.msg))
		if n.onDeliver != nil {
			n.onDeliver(c)
		}
	}
	for _, addr := range n.addrs {
		if !n.paused[addr] {
			n.send(addr, n.cores[addr].Tick(n.now))
		}
	}
}

// runUntil steps until ok and returns the time taken, or fails after limit.
func (n *network) runUntil(t testing.TB, limit time.Duration, what string, ok func() bool) time.Duration {
	t.Helper()
	start := n.now
	for !ok() {
		if n.now-start > limit {
			t.Fatalf("%s: not within %v", what, limit)
		}
		n.step()
	}
	return n.now - start
}

// agreed reports whether the views of all cores contain exactly the running
// cores as alive, with their current sequences.
func (n *network) agreed() bool {
	for _, c := range n.cores {
		v := c.View()
		if v.Len() != len(n.cores) {
			return false
		}
		for _, other := range n.cores {
			got, own := v.Node(other.self.node.ID), other.self
			if got == nil || got.Status != Alive || got.Incarnation != own.liveness.incarnation ||
				got.Seq != own.seq || got.Leaving != own.draining || len(got.Instances) != len(own.instances) {
				return false
			}
		}
	}
	return true
}

func testNode(i int) fleet.Node {
	return fleet.Node{
		ID: fmt.Sprintf("node-%04d", i), Incarnation: 1_700_000_000_000,
		PeerAddr: fmt.Sprintf("10.0.%d.%d:8100", i/250, i%250), ControlAddr: fmt.Sprintf("10.0.%d.%d:8101", i/250, i%250),
		Zone: fmt.Sprintf("zone-%d", i%3), Region: "riga",
	}
}

func testInstances(node, count int) []fleet.Instance {
	list := make([]fleet.Instance, count)
	for i := range list {
		list[i] = fleet.Instance{
			ID: fmt.Sprintf("target-%04d-%03d", node, i), Service: fmt.Sprintf("service-%04d", (node*64+i)%5800),
			Incarnation: 1_700_000_000_000, Slots: 5, Connections: 300, State: fleet.Ready, Seq: 1,
		}
	}
	return list
}

// startFleet adds count nodes that join through the first.
func startFleet(n *network, count, instances int) []*Core {
	var list []*Core
	for i := range count {
		c := n.add(Config{Self: testNode(i), Seeds: []string{testNode(0).ControlAddr}}, uint64(i+1))
		c.SetSelf(testInstances(i, instances), false)
		list = append(list, c)
	}
	return list
}
