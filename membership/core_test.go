package membership

import (
	"testing"
	"time"

	"hyssopbridge/fleet"
)

// Guards against joins that do not spread, and changes that wait for a probe.
func TestJoinAndChange(t *testing.T) {
	n := newNetwork(1)
	n.encode = true
	cores := startFleet(n, 20, 3)
	t.Logf("joined after %v", n.runUntil(t, 10*time.Second, "join", n.agreed))
	leaving := testInstances(4, 3)
	leaving[1].State = fleet.Draining
	leaving[1].Seq++
	cores[4].SetSelf(leaving, false)
	t.Logf("change known after %v", n.runUntil(t, 2*time.Second, "change", n.agreed))
	for _, c := range cores {
		e := c.View().Endpoints(leaving[1].Service)
		if len(e) != 1 || e[0].State != fleet.Draining || e[0].Node.ID != "node-0004" {
			t.Fatalf("endpoints at %s: %+v", c.self.node.ID, e)
		}
	}
}

// Guards against dead nodes that stay in use, and a lost restart.
func TestCrashAndRestart(t *testing.T) {
	n := newNetwork(2)
	cores := startFleet(n, 10, 2)
	n.runUntil(t, 10*time.Second, "join", n.agreed)
	old := cores[3].self.node
	n.remove(old.ControlAddr)
	t.Logf("crash known after %v", n.runUntil(t, 6*time.Second, "crash", n.agreed))
	next := old
	next.Incarnation++
	next.ControlAddr = "10.9.9.9:8101"
	n.add(Config{Self: next, Seeds: []string{testNode(0).ControlAddr}}, 99)
	t.Logf("restart known after %v", n.runUntil(t, 5*time.Second, "restart", n.agreed))
}
