package membership

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"hyssopbridge/peer"
)

// settleTime lets the fleet finish joining before the measurement.
const settleTime = 15 * time.Second

// BenchmarkRunners measures the CPU time and heap of a node, including its
// transport over plain-text loopback connections. All nodes run in one process.
// One operation is a second of wall time in which two instances change.
func BenchmarkRunners(b *testing.B) {
	for _, size := range []int{10, 50, 100} {
		b.Run(fmt.Sprintf("nodes=%d", size), func(b *testing.B) { benchmarkRunners(b, size) })
	}
}

func benchmarkRunners(b *testing.B, size int) {
	before := heap()
	nodes, stop := startRunners(b, size)
	defer stop()
	for end := time.Now().Add(30 * time.Second); nodes[0].View().Len() < size; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			b.Fatalf("%d of %d nodes joined", nodes[0].View().Len(), size)
		}
	}
	time.Sleep(settleTime)
	cpu := cpuTime(b)
	for i := 0; b.Loop(); i++ {
		for j := range 2 {
			node := (2*i + j) % size
			list := testInstances(node, 64)
			list[i%64].Seq = int64(2 + i)
			nodes[node].SetSelf(list, false)
			time.Sleep(500 * time.Millisecond)
		}
	}
	b.ReportMetric(float64((cpuTime(b)-cpu).Microseconds())/float64(b.N*size), "µs/node/s")
	b.ReportMetric(float64(heap()-before)/float64(size)/(1<<20), "MiB/node")
}

func startRunners(b *testing.B, size int) (nodes []*Runner, stop func()) {
	var stops []func()
	var seed string
	for i := range size {
		node := testNode(i)
		local := peer.Local{Node: node.ID, Incarnation: node.Incarnation}
		srv, err := peer.NewServer(peer.Settings{}, local)
		if err != nil {
			b.Fatal(err)
		}
		l, err := srv.Listen("127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		client, err := peer.NewClient(peer.Settings{}, local)
		if err != nil {
			b.Fatal(err)
		}
		node.ControlAddr = l.Addr().String()
		if i == 0 {
			seed = node.ControlAddr
		}
		r := Start(RunnerOptions{
			Config: Config{Self: node, Seeds: []string{seed}}, Seed: uint64(i), Server: srv, Client: client,
		})
		r.SetSelf(testInstances(i, 64), false)
		go srv.Serve(l)
		nodes = append(nodes, r)
		stops = append(stops, func() { r.Stop(); client.Close(); srv.Stop() })
	}
	return nodes, func() {
		for _, s := range stops {
			s()
		}
	}
}

func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
