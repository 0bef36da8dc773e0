package mesh

import (
	"context"
	"net"
	"sync"
	"testing"

	"hyssopbridge/internal/testutil"
)

// Guards against a departure that is lost with the process that acknowledged it
// although other nodes held it, and against one that counts as held by fewer
// nodes than must hold it.
func TestDeparturesAreHeldAndReturned(t *testing.T) {
	a, b, c := startNode(t, nil), startNodeIn(t, "far", nil), startNode(t, nil)
	d := Departure{Target: "t-1", Born: 5, At: 7}
	a.ShareDeparture(d)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	if a.AwaitHolders(ended, d) {
		t.Fatal("a departure counts as held although no other node is known")
	}
	connectNodes(t, a, b, c)
	if !a.AwaitHolders(t.Context(), d) {
		t.Fatal("no other node holds the departure")
	}
	if a.AwaitHolders(ended, Departure{Target: "t-2"}) {
		t.Error("a departure that was not shared counts as held")
	}

	a.cancel()
	a.nodeServer.http.Close()
	a.callerServer.listener.Close()
	cfg := a.cfg
	var mu sync.Mutex
	var returned []Departure
	knownEarlier := false
	cfg.OnDepartures = func(held []Departure, knewEarlier bool) {
		mu.Lock()
		defer mu.Unlock()
		returned = addDepartures(returned, held)
		knownEarlier = knownEarlier || knewEarlier
	}
	testutil.Eventually(t, "the datagram address is free", func() bool {
		l, err := net.ListenPacket("udp4", cfg.GossipAddr)
		return err == nil && l.Close() == nil
	})
	again := New(cfg)
	if err := again.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { again.cancel(); again.nodeServer.http.Close(); again.callerServer.listener.Close() })
	testutil.Eventually(t, "the departure is returned to the next process", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return knownEarlier && len(returned) == 1 && returned[0].Same(d)
	})
}
