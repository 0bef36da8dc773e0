package control

import (
	"context"
	"testing"
	"time"

	"hyssopbridge/fleet"
	"hyssopbridge/platformlog"
	"hyssopbridge/platformlog/standin"
)

// watcherPeers is a StateFetcher that responds from watchers in this process.
type watcherPeers map[string]*Watcher

func (p watcherPeers) FetchState(_ context.Context, node string, since int64) (Update, error) {
	w, ok := p[node]
	if !ok {
		return Update{}, errNoPeers
	}
	return w.StateResponse(since), nil
}

// startWatcher runs a watcher until the test ends.
func startWatcher(t *testing.T, id string, log platformlog.Log, peers StateFetcher) *Watcher {
	t.Helper()
	w := NewWatcher(WatcherConfig{
		Config: Config{Self: node(id), Seed: 1, ReadInterval: time.Millisecond, JoinWait: time.Millisecond},
		Log:    log, Peers: peers, Tick: time.Millisecond,
	})
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() { defer close(stopped); _ = w.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-stopped })
	return w
}

// waitForVersion waits until a watcher has reached a version.
func waitForVersion(t *testing.T, w *Watcher, version int64) {
	t.Helper()
	deadline := time.After(20 * time.Second)
	for w.Current().Version < version {
		select {
		case <-w.Changed():
		case <-deadline:
			t.Fatalf("version %d, want %d", w.Current().Version, version)
		}
	}
}

// Guards against a node without peers that does not follow the log.
func TestWatcherFollowsTheLog(t *testing.T) {
	log := standin.New(time.Now)
	mustAppend(t, log, manifestRecord(t, "a1", "grain", 1, 0, "belt-desk"))
	w := startWatcher(t, "n1", log, nil)
	waitForVersion(t, w, 1)
	mustAppend(t, log, withdrawRecord(t, "a2", "grain", 1, 1))
	waitForVersion(t, w, 2)
	if _, live := w.Current().Owner("belt-desk"); live {
		t.Error("the withdrawn mandate owns a service")
	}
}

// Guards against a new node that stays without configuration while the log is
// down although a peer has the state.
func TestNewNodeJoinsFromPeersDuringOutage(t *testing.T) {
	log := standin.New(time.Now)
	mustAppend(t, log, manifestRecord(t, "a1", "grain", 1, 0, "belt-desk"))
	old := startWatcher(t, "n1", log, nil)
	waitForVersion(t, old, 1)
	downLog := standin.New(time.Now)
	downLog.SetDown(true)
	w := startWatcher(t, "n2", downLog, watcherPeers{"n1": old})
	w.SetNodes([]fleet.Node{node("n1"), node("n2")})
	waitForVersion(t, w, 1)
	if w.Current().Digest != old.Current().Digest {
		t.Error("the new node's state differs")
	}
}
