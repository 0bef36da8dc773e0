package control

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"hyssopbridge/fleet"
	"hyssopbridge/platformlog"
)

// StateFetcher asks other nodes for state.
type StateFetcher interface {
	// FetchState returns the update after version since of a node's state, as
	// the node's Watcher.StateResponse gives it.
	FetchState(ctx context.Context, node string, since int64) (Update, error)
}

// WatcherConfig sets up a Watcher.
type WatcherConfig struct {
	Config
	Log   platformlog.Log
	Peers StateFetcher     // nil for a node that has only the log
	Now   func() time.Time // default time.Now
	Tick  time.Duration    // default 100 ms

	// OnSnapshot, if set, is called by the watcher's goroutine with every new
	// snapshot after it is published. It must not block.
	OnSnapshot func(*Snapshot)
	// OnOutcome, if set, is called by the watcher's goroutine for every record
	// that this node folded itself. It must not block.
	OnOutcome func(Outcome)
}

// watcherQueue bounds the inputs that wait for the watcher's goroutine. An
// announcement beyond it is dropped; the peer's next message repeats it.
const watcherQueue = 256

// callTimeout bounds one call to the log or to a peer.
const callTimeout = 10 * time.Second

// Watcher merges the log and the peers' state and publishes snapshots. One
// goroutine, Run, owns the control state.
type Watcher struct {
	cfg      WatcherConfig
	core     *Controller
	inputs   chan func(now time.Time)
	changed  chan struct{}
	current  atomic.Pointer[Snapshot]
	progress atomic.Pointer[heard]
	reader   atomic.Bool
	done     chan struct{}
}

// NewWatcher returns a watcher that holds no state until Run is called.
func NewWatcher(cfg WatcherConfig) *Watcher {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Tick == 0 {
		cfg.Tick = 100 * time.Millisecond
	}
	if cfg.Peers == nil {
		cfg.JoinWait = -1
	}
	w := &Watcher{
		cfg:     cfg,
		core:    NewController(cfg.Config),
		inputs:  make(chan func(time.Time), watcherQueue),
		changed: make(chan struct{}, 1),
		done:    make(chan struct{}),
	}
	w.current.Store(&Snapshot{})
	w.progress.Store(&heard{})
	return w
}

// Current returns the newest snapshot; its version is 0 before any state is
// known. It never returns nil.
func (w *Watcher) Current() *Snapshot { return w.current.Load() }

// Changed receives a value after new snapshots; several may share one.
func (w *Watcher) Changed() <-chan struct{} { return w.changed }

// Progress returns how far the log is known to have been read, for passing on
// to peers.
func (w *Watcher) Progress() Progress { return w.progress.Load().progress(w.cfg.Now()) }

// IsReader reports whether this node is one of its region's log readers.
func (w *Watcher) IsReader() bool { return w.reader.Load() }

// StateResponse returns the response to a peer's FetchState.
func (w *Watcher) StateResponse(since int64) Update { return w.Current().StateResponse(since) }

// SetNodes gives the live nodes of the fleet, with or without this node. It
// waits for the watcher's goroutine to take them.
func (w *Watcher) SetNodes(live []fleet.Node) {
	live = append([]fleet.Node(nil), live...)
	w.send(func(now time.Time) { w.core.NodesChanged(now, live) })
}

// PeerAnnounced gives the version and log progress that a message of a peer
// carries. It does not block; under overload the announcement is dropped.
func (w *Watcher) PeerAnnounced(node string, version int64, p Progress) {
	select {
	case w.inputs <- func(now time.Time) { w.core.PeerAnnounced(now, node, version, p) }:
	default:
	}
}

// PeerUpdate gives an update that a peer sent unasked. It does not block; under
// overload the update is dropped.
func (w *Watcher) PeerUpdate(node string, u Update) {
	select {
	case w.inputs <- func(now time.Time) { w.core.UpdateReceived(now, node, u) }:
	default:
	}
}

// send queues an input that must not be lost.
func (w *Watcher) send(input func(time.Time)) {
	select {
	case w.inputs <- input:
	case <-w.done:
	}
}

// Run runs the watcher until ctx ends. It may be called once.
func (w *Watcher) Run(ctx context.Context) error {
	defer close(w.done)
	tick := time.NewTicker(w.cfg.Tick)
	defer tick.Stop()
	w.core.Tick(w.cfg.Now())
	for {
		w.act(ctx, w.core.TakeOutput())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			w.core.Tick(w.cfg.Now())
		case input := <-w.inputs:
			input(w.cfg.Now())
		}
	}
}

// act carries out the controller's output. Calls that may block run in their
// own goroutines and send their results back as inputs.
func (w *Watcher) act(ctx context.Context, out Output) {
	w.publish(&out)
	if out.Read != nil {
		go w.read(ctx, *out.Read)
	}
	if out.Append != nil {
		go w.append(ctx, *out.Append)
	}
	if out.Bounds {
		go w.bounds(ctx)
	}
	for _, ask := range out.StateRequests {
		go w.ask(ctx, ask)
	}
}

func (w *Watcher) publish(out *Output) {
	h := w.core.log.heard
	w.progress.Store(&h)
	w.reader.Store(w.core.IsReader())
	if out.Snapshot != nil {
		w.current.Store(out.Snapshot)
		select {
		case w.changed <- struct{}{}:
		default:
		}
		if w.cfg.OnSnapshot != nil {
			w.cfg.OnSnapshot(out.Snapshot)
		}
	}
	if w.cfg.OnOutcome == nil {
		return
	}
	for _, o := range out.Outcomes {
		w.cfg.OnOutcome(o)
	}
}

func (w *Watcher) read(ctx context.Context, r ReadRequest) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entries, err := w.cfg.Log.Read(ctx, Stream, r.From, r.Max)
	w.send(func(now time.Time) {
		if err != nil {
			w.core.ReadFailed(now, r.From, err)
			return
		}
		w.core.LogEntries(now, r.From, entries)
	})
}

func (w *Watcher) append(ctx context.Context, r platformlog.Record) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := w.cfg.Log.Append(ctx, r)
	w.send(func(now time.Time) { w.core.AppendDone(now, err) })
}

func (w *Watcher) bounds(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	first, _, err := w.cfg.Log.Bounds(ctx, Stream)
	if err == nil {
		w.send(func(now time.Time) { w.core.LogBounds(now, first) })
	}
}

var errNoPeers = errors.New("no connection to peers")

func (w *Watcher) ask(ctx context.Context, a StateRequest) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	u, err := Update{}, errNoPeers
	if w.cfg.Peers != nil {
		u, err = w.cfg.Peers.FetchState(ctx, a.Node, a.Since)
	}
	w.send(func(now time.Time) {
		if err != nil {
			w.core.PeerFailed(now, a.Node)
			return
		}
		w.core.UpdateReceived(now, a.Node, u)
	})
}
