package membership

import (
	"testing"
	"time"

	"hyssopbridge/fleet"
)

// cutBetween blocks or restores both directions between two groups.
func (n *network) cutBetween(a, b []*Core, cut bool) {
	for _, x := range a {
		for _, y := range b {
			n.cut[[2]string{x.self.node.ControlAddr, y.self.node.ControlAddr}] = cut
			n.cut[[2]string{y.self.node.ControlAddr, x.self.node.ControlAddr}] = cut
		}
	}
}

// knowEachOther reports whether every core of a group knows all others as live.
func knowEachOther(group []*Core) bool {
	for _, c := range group {
		for _, other := range group {
			if !c.View().Live(other.self.node.ID) {
				return false
			}
		}
	}
	return true
}

// Guards against regions that do not find each other again after both have
// removed the other's nodes from their tables, and against outdated dead records
// that remove live nodes.
func TestPartitionOfRegions(t *testing.T) {
	for _, size := range []int{1, 12} {
		n := newNetwork(3)
		var cores []*Core
		for i := range 24 {
			node := testNode(i)
			if i >= size {
				node.Region = "kyushu"
			}
			cores = append(cores, n.add(Config{
				Self: node, Seeds: []string{testNode(0).ControlAddr}, DeadRetention: time.Minute,
			}, uint64(i)))
		}
		n.runUntil(t, 10*time.Second, "join", n.agreed)
		a, b := cores[:size], cores[size:]
		n.cutBetween(a, b, true)
		for end := n.now + 2*time.Minute; n.now < end; {
			n.step()
			if !knowEachOther(a) || !knowEachOther(b) {
				t.Fatal("live node removed during the partition")
			}
		}
		if n := a[0].View().Len(); n != size {
			t.Fatalf("%d nodes live during the partition, want %d", n, size)
		}
		n.cutBetween(a, b, false)
		took := n.runUntil(t, 2*time.Minute, "agreement after the partition", func() bool {
			if !knowEachOther(a) || !knowEachOther(b) {
				t.Fatal("live node removed after the partition")
			}
			return n.agreed()
		})
		t.Logf("regions of %d and %d nodes agree %v after the partition", size, 24-size, took)
	}
}

// Guards against a node that was partitioned for a short time and considers all
// others dead: its records must not remove them.
func TestReturnOfPartitionedNode(t *testing.T) {
	n := newNetwork(4)
	cores := startFleet(n, 30, 1)
	n.runUntil(t, 10*time.Second, "join", n.agreed)
	n.cutBetween(cores[:1], cores[1:], true)
	n.runUntil(t, 2*time.Minute, "isolation", func() bool { return cores[0].View().Len() == 1 })
	n.cutBetween(cores[:1], cores[1:], false)
	took := n.runUntil(t, time.Minute, "return", func() bool {
		if !knowEachOther(cores[1:]) {
			t.Fatal("the returning node removed a live node")
		}
		return n.agreed()
	})
	t.Logf("agreement %v after the return", took)
}

// Guards against a change that stays unknown because all its messages were
// lost.
func TestDigestRepairsLostChange(t *testing.T) {
	n := newNetwork(5)
	cores := startFleet(n, 10, 1)
	n.runUntil(t, 10*time.Second, "join", n.agreed)
	cores[2].SetSelf([]fleet.Instance{{ID: "new", Service: "s"}}, false)
	cores[2].dropRumor(cores[2].self.node.ID)
	t.Logf("repaired after %v", n.runUntil(t, time.Minute, "repair", n.agreed))
}

// Guards against an incomplete record that is never requested again.
func TestFetchIsRetried(t *testing.T) {
	c := New(Config{Self: testNode(0)}, 1)
	sender := New(Config{Self: testNode(1)}, 2)
	sender.SetSelf(testInstances(1, 50), false)

	msg := &Message{Kind: Push, Updates: []Update{sender.self.deltaUpdate(0, 0)}}
	msg.From = Sender{ID: "node-0001", Addr: "a"}
	first := c.Receive(0, "node-0001", msg)
	if len(first) != 1 || first[0].Msg.Kind != Fetch {
		t.Fatalf("first request: %+v", first)
	}
	if again := c.tickFetch(fetchRetry); len(again) != 1 || again[0].Msg.Kind != Fetch {
		t.Fatalf("second request: %+v", again)
	}
}

// Guards against a process that does not detect that a later one uses its node
// ID, and against messages of the replaced process that are still accepted.
func TestSupersededProcess(t *testing.T) {
	n := newNetwork(6)
	cores := startFleet(n, 4, 1)
	n.runUntil(t, 10*time.Second, "join", n.agreed)
	old := cores[2]
	next := old.self.node
	next.Incarnation++
	next.ControlAddr = "10.9.9.9:1"
	n.add(Config{Self: next, Seeds: []string{testNode(0).ControlAddr}}, 50)
	n.runUntil(t, 10*time.Second, "detection", func() bool { return old.View().Superseded() == next.Incarnation })
	for _, c := range []*Core{cores[0], cores[1], cores[3]} {
		if got := c.View().Node(next.ID); got.Incarnation != next.Incarnation {
			t.Fatalf("%s holds incarnation %d", c.self.node.ID, got.Incarnation)
		}
		ping := old.messageTo(c.self, &Message{Kind: Ping})
		if out := c.Receive(n.now, next.ID, ping.Msg); len(out) != 1 || out[0].Msg.Kind != Push {
			t.Fatalf("response to a probe by the replaced process: %+v, want one push", out)
		}
	}
}

// Guards against a process that removes live nodes after it was paused.
func TestPausedProcess(t *testing.T) {
	n := newNetwork(7)
	cores := startFleet(n, 10, 1)
	n.runUntil(t, 10*time.Second, "join", n.agreed)
	suspected := cores[2].self.update(n.now)
	suspected.Status = Suspect
	cores[1].merge(n.now, &suspected, false)
	addr := cores[1].self.node.ControlAddr
	n.paused[addr] = true
	n.runUntil(t, 10*time.Second, "removal", func() bool { return !cores[0].View().Live("node-0001") })
	delete(n.paused, addr)
	took := n.runUntil(t, time.Minute, "return", func() bool {
		if cores[1].View().Len() != 10 {
			t.Fatal("the paused node removed a live one")
		}
		return n.agreed()
	})
	t.Logf("agreement %v after the pause", took)
}

// Guards against records of dead nodes that are exchanged after their
// retention.
func TestExpiredRecordIsNotAdded(t *testing.T) {
	c := New(Config{Self: testNode(0)}, 1)
	u := Update{ID: "gone", Incarnation: 1, Status: Dead, AgeMS: time.Hour.Milliseconds() - 1}
	c.merge(time.Minute, &u, true)
	if n := c.View().Node("gone"); n == nil || n.Status != Dead {
		t.Fatalf("record within its retention: %+v", n)
	}
	c.Tick(2 * time.Minute)
	u.ID, u.AgeMS = "older", u.AgeMS+1
	c.merge(2*time.Minute, &u, true)
	if c.View().Node("gone") != nil || c.View().Node("older") != nil {
		t.Fatal("record past its retention is kept")
	}
}
