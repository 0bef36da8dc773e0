package control

import (
	"context"
	"testing"
	"time"

	"hyssopbridge/fleet"
	"hyssopbridge/platformlog"
	"hyssopbridge/platformlog/standin"
)

// watcherPeers is a Peers whose peers answer from watchers.
type watcherPeers map[string]*Watcher

func (p watcherPeers) FetchState(_ context.Context, node string, since int64) (Update, error) {
	w, ok := p[node]
	if !ok {
		return Update{}, errNoPeers
	}
	return w.StateResponse(since), nil
}

// start runs a watcher until the test ends.
func start(t *testing.T, id string, log platformlog.Log, peers StateFetcher) *Watcher {
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

// await waits until a watcher has a version.
func await(t *testing.T, w *Watcher, version int64) {
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

// Guards against a node that has only the log and does not follow it.
func TestWatcherFollowsTheLog(t *testing.T) {
	log := standin.New(time.Now)
	mustAppend(t, log, manifestRecord(t, "a1", "grain", 1, 0, "belt-desk"))
	w := start(t, "n1", log, nil)
	await(t, w, 1)
	mustAppend(t, log, withdrawRecord(t, "a2", "grain", 1, 1))
	await(t, w, 2)
	if _, live := w.Current().Owner("belt-desk"); live {
		t.Error("the withdrawn mandate owns a service")
	}
}

// Guards against a new node without configuration while the log is down and
// peers have state.
func TestNewNodeJoinsFromPeersDuringOutage(t *testing.T) {
	log := standin.New(time.Now)
	mustAppend(t, log, manifestRecord(t, "a1", "grain", 1, 0, "belt-desk"))
	old := start(t, "n1", log, nil)
	await(t, old, 1)
	dead := standin.New(time.Now)
	dead.SetDown(true)
	w := start(t, "n2", dead, watcherPeers{"n1": old})
	w.SetNodes([]fleet.Node{node("n1"), node("n2")})
	await(t, w, 1)
	if w.Current().Digest != old.Current().Digest {
		t.Error("the new node's state differs")
	}
}
