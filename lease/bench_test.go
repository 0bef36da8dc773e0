package lease

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"hyssopbridge/fleet"
)

// benchCores returns a node with 10 groups of 5 members and its distinct peers,
// 4 or 40, with all services in use.
func benchCores(distinct int) (*Core, map[string]*Core) {
	node := New(member("host-000", 1_700_000_000_000))
	cores := map[string]*Core{}
	for g := range 10 {
		gr := Group{HomeGroup: fleet.HomeGroup{Service: fmt.Sprintf("service-%04d", g), Epoch: 1_000_000 + int64(g)}}
		gr.Members = append(gr.Members, node.Self())
		for p := range 4 {
			m := member(fmt.Sprintf("host-%03d", 1+(g*4+p)%distinct), 1_700_000_000_000)
			gr.Members = append(gr.Members, m)
			if cores[m.Node] == nil {
				cores[m.Node] = New(m)
			}
		}
		for _, c := range cores {
			c.SetGroups(0, 0, gr.Service, []Group{gr})
		}
		node.SetGroups(0, 0, gr.Service, []Group{gr})
	}
	return node, cores
}

// BenchmarkRenewal reports the messages and bytes that the node sends and
// receives per second of protocol time for its own renewals and those of its
// peers.
func BenchmarkRenewal(b *testing.B) {
	for _, distinct := range []int{40, 4} {
		b.Run(fmt.Sprintf("peers=%d", distinct), func(b *testing.B) { renew(b, distinct) })
	}
}

func renew(b *testing.B, distinct int) {
	node, peers := benchCores(distinct)
	messages, bytes := 0, 0
	count := func(m Message) {
		data, err := cbor.Marshal(m)
		if err != nil {
			b.Fatal(err)
		}
		messages++
		bytes += len(data)
	}
	peers[node.Self().Node] = node
	const seconds = 30
	for now := time.Duration(0); now < seconds*time.Second; now += 100 * time.Millisecond {
		for _, c := range peers {
			useAll(c, now)
			for _, m := range c.Tick(now, 0).Messages {
				reply, _ := peers[m.To].Receive(now, 0, m)
				c.Receive(now, 0, reply)
				if c == node || m.To == node.Self().Node {
					count(m)
					count(reply)
				}
			}
		}
	}
	b.ReportMetric(float64(messages)/seconds, "messages/s")
	b.ReportMetric(float64(bytes)/seconds, "bytes/s")
	b.ReportMetric(float64(bytes)/float64(messages), "bytes/message")
	for range b.N {
		node.Tick(seconds*time.Second, 0)
	}
}

func useAll(c *Core, now time.Duration) {
	for g := range 10 {
		c.MarkInUse(now, fmt.Sprintf("service-%04d", g))
	}
}

func BenchmarkHolds(b *testing.B) {
	node, peers := benchCores(40)
	node.MarkInUse(0, "service-0003")
	for _, m := range node.Tick(0, 0).Messages {
		reply, _ := peers[m.To].Receive(0, 0, m)
		node.Receive(0, 0, reply)
	}
	b.ReportAllocs()
	for range b.N {
		if _, _, ok := node.Holds(time.Second, "service-0003"); !ok {
			b.Fatal("no lease")
		}
	}
}
