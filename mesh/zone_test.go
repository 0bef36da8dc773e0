package mesh

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"hyssopbridge/internal/testutil"
)

// addReader adds a known reader of the node's zone that was heard just now.
func addReader(n *Node, addr string, flags uint8) *peer {
	q := &peer{
		last: heartbeat{Flags: flagConfigReader | flags, Addr: addr, Gossip: addr, Zone: n.cfg.Zone, Started: 1},
		addr: netip.MustParseAddrPort(addr), known: true, lastHeard: n.now(),
	}
	n.peers.byAddr[q.addr] = q
	return q
}

// Guards against a lost reader that keeps its role for longer than a new
// configuration may take to be in force: with all readers lost at the moment of a
// change, the fleet followed it 2.8 to 3.2 s later (bound 2 s).
func TestLostReaderIsReplacedInTime(t *testing.T) {
	clock := time.Minute
	n := New(Config{Zone: "z", NodeAddr: "127.0.0.2:1", GossipAddr: "127.0.0.2:2", Clock: func() time.Duration { return clock }})
	clock += time.Second
	addReader(n, "127.0.0.1:1", flagStandby)
	for _, zone := range []string{"y", "x"} { // readers of other zones, so that one is enough here
		addReader(n, fmt.Sprintf("127.0.1.%d:1", zone[0]), 0).last.Zone = zone
	}
	if n.ShouldReadConfig() || !n.ZoneHasConfigReader() || n.RankInZone() != 1 {
		t.Error("a live reader is not relied on")
	}
	if wait := n.peers.untilReaderTimeout(time.Hour); wait != StandbyReaderTimeout {
		t.Errorf("a standby checks after %v, want %v", wait, StandbyReaderTimeout)
	}
	clock += StandbyReaderTimeout
	if _, lost := n.LostConfigReader(); !lost || !n.ShouldReadConfig() || n.ZoneHasConfigReader() {
		t.Errorf("a reader that is silent for %v is still relied on", StandbyReaderTimeout)
	}
	if rank := n.RankInZone(); rank != 0 {
		t.Errorf("rank %d behind a lost reader, want 0", rank)
	}
}

// Guards against a reader that is not missed because its next process, which does
// not read yet, has been heard.
func TestReplacedReaderIsMissed(t *testing.T) {
	clock := time.Minute
	n := New(Config{Zone: "z", NodeAddr: "127.0.0.2:1", GossipAddr: "127.0.0.2:2", Clock: func() time.Duration { return clock }})
	clock += time.Second
	q := addReader(n, "127.0.0.1:1", flagStandby)
	msg := q.last
	msg.Flags, msg.Started = 0, 2
	n.peers.noteReplacedReader(q, msg)
	q.last = msg
	if _, lost := n.LostConfigReader(); !lost {
		t.Error("the loss of a reader that was replaced is not known")
	}
	select {
	case <-n.peers.readerChanged:
	default:
		t.Error("a standby is not woken when the reader is replaced")
	}
}

// Guards against a zone that waits longer than after the loss of a reader when
// its reader says that it no longer reads.
func TestReaderThatGivesUpIsMissed(t *testing.T) {
	clock := time.Minute
	n := New(Config{Zone: "z", NodeAddr: "127.0.0.2:1", GossipAddr: "127.0.0.2:2", Clock: func() time.Duration { return clock }})
	clock += time.Second
	q, other := addReader(n, "127.0.0.1:1", flagStandby), addReader(n, "127.0.0.3:1", flagStandby)
	msg := q.last
	msg.Flags = 0
	n.peers.noteReplacedReader(q, msg)
	if _, lost := n.LostConfigReader(); lost {
		t.Error("a reader that gave up is missed although the zone has another one")
	}
	other.last.Flags = 0
	n.peers.noteReplacedReader(q, msg)
	q.last = msg
	if _, lost := n.LostConfigReader(); !lost {
		t.Error("the reader that gave up is not missed")
	}
	select {
	case <-n.peers.readerChanged:
	default:
		t.Error("a standby is not woken when the reader gives up")
	}
}

// Guards against nodes that leave the first turns to read the configuration to
// nodes which have just given up, as those do that lost their way to the source.
func TestNodesThatGaveUpHaveNoTurn(t *testing.T) {
	clock := time.Minute
	n := New(Config{Zone: "z", NodeAddr: "127.0.0.9:1", GossipAddr: "127.0.0.9:2", Clock: func() time.Duration { return clock }})
	clock += time.Second
	for _, addr := range []string{"127.0.0.1:1", "127.0.0.3:1"} {
		q := addReader(n, addr, flagStandby)
		msg := q.last
		msg.Flags = 0
		n.peers.noteReplacedReader(q, msg)
		q.last = msg
	}
	addReader(n, "127.0.0.5:1", 0).last.Flags = 0
	if rank := n.RankInZone(); rank != 1 {
		t.Errorf("rank %d behind one node and two that gave up, want 1", rank)
	}
	clock += silentTimeout
	if rank := n.RankInZone(); rank != 3 {
		t.Errorf("rank %d behind three nodes %v after two of them gave up, want 3", rank, silentTimeout)
	}
}

// Guards against a reader whose zone notices its loss late because no node gets
// its frequent heartbeats, or all nodes of a large zone get them.
func TestStandbysOfReader(t *testing.T) {
	reader := startNode(t, nil)
	for k := range maxStandbys + 3 {
		addReader(reader, fmt.Sprintf("127.0.0.%d:1", 100+k), 0).last.Flags = 0
	}
	choose := func() int {
		reader.peers.mu.Lock()
		defer reader.peers.mu.Unlock()
		return len(reader.peers.chooseStandbys())
	}
	if got := choose(); got != 0 {
		t.Errorf("a node that does not read has %d standbys", got)
	}
	reader.SetConfigReader(true)
	if got := choose(); got != maxStandbys {
		t.Errorf("%d standbys, want %d", got, maxStandbys)
	}
	standby := startNode(t, nil)
	standby.AddPeer(netip.MustParseAddrPort(reader.GossipAddr()))
	testutil.Eventually(t, "a standby learns its role from the reader", func() bool {
		standby.peers.mu.Lock()
		defer standby.peers.mu.Unlock()
		q := standby.peers.byAddr[netip.MustParseAddrPort(reader.GossipAddr())]
		return q != nil && q.last.Flags&flagStandby != 0
	})
}

// Guards against a new configuration that waits for a node which announced it and
// then stopped responding: the node was the only one asked for 1 s, and
// announcements of others were ignored meanwhile.
func TestConfigFromNodeThatStandsStill(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	givenUp := make(chan bool, 1) // whether the version was in force then
	n, other := startNode(t, nil), startNode(t, nil)
	asked := make(chan struct{})
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		close(asked)
		_, _ = io.Copy(io.Discard, c) // ends when the node gives up
		givenUp <- n.identity().Version == 5
	}()
	n.peers.mu.Lock()
	addReader(n, l.Addr().String(), 0).last.Version = 5
	n.peers.mu.Unlock()
	n.startFetch(versionSource{version: 5, sameZone: true})
	<-asked
	setConfig(t, "5", other)
	other.AddPeer(netip.MustParseAddrPort(n.GossipAddr()))
	testutil.Eventually(t, "the version is in force", func() bool { return n.identity().Version == 5 })
	if !<-givenUp {
		t.Error("the version came into force only after the silent node was given up")
	}
}
