package membership

import (
	"fmt"
	"testing"
	"time"

	"hyssopbridge/fleet"
	"hyssopbridge/peer"
)

type testRunner struct {
	*Runner
	addr string
}

func startTestRunner(t *testing.T, id string, incarnation int64, seeds ...string) testRunner {
	t.Helper()
	local := peer.Local{Node: id, Incarnation: incarnation}
	srv, err := peer.NewServer(peer.Settings{}, local)
	if err != nil {
		t.Fatal(err)
	}
	l, err := srv.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	client, err := peer.NewClient(peer.Settings{}, local)
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	r := Start(RunnerOptions{
		Config: Config{Self: fleet.Node{ID: id, Incarnation: incarnation, ControlAddr: addr}, Seeds: seeds},
		Seed:   uint64(incarnation), Server: srv, Client: client,
	})
	go srv.Serve(l)
	t.Cleanup(func() { r.Stop(); client.Close(); srv.Stop() })
	return testRunner{r, addr}
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("%s: not seen", what)
}

// Guards against a runner that loses replies, and against a Leave that is not
// sent to other nodes.
func TestRunnerOverSockets(t *testing.T) {
	nodes := []testRunner{startTestRunner(t, "n0", 10)}
	for i := 1; i < 4; i++ {
		nodes = append(nodes, startTestRunner(t, fmt.Sprintf("n%d", i), int64(10+i), nodes[0].addr))
	}
	eventually(t, "join", func() bool {
		for _, n := range nodes {
			if n.View().Len() != 4 {
				return false
			}
		}
		return true
	})
	start := time.Now()
	nodes[1].SetSelf([]fleet.Instance{{ID: "t1", Service: "reserve", Slots: 5, State: fleet.Ready}}, false)
	eventually(t, "instance", func() bool { return len(nodes[3].View().Endpoints("reserve")) == 1 })
	t.Logf("instance known after %v", time.Since(start))
	start = time.Now()
	nodes[1].Leave()
	eventually(t, "leave", func() bool {
		n := nodes[2].View().Node("n1")
		return n.Status == Left && len(nodes[3].View().Endpoints("reserve")) == 0
	})
	t.Logf("leave known after %v", time.Since(start))
}
