package control

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"hyssopbridge/fleet"
	"hyssopbridge/platformlog"
)

// StateFetcher requests state from other nodes.
type StateFetcher interface {
	// FetchState returns what Watcher.StateResponse returns on the given node
	// for version since.
	FetchState(ctx context.Context, node string, since int64) (Update, error)
}

// WatcherConfig configures a Watcher.
type WatcherConfig struct {
	Config
	Log   platformlog.Log
	Peers StateFetcher     // nil for a node that reads only the log
	Now   func() time.Time // default time.Now
	Tick  time.Duration    // default 100 ms

	// OnSnapshot, if set, is called on the watcher's goroutine with every new
	// snapshot after it is published. It must not block.
	OnSnapshot func(*Snapshot)
	// OnOutcome, if set, is called on the watcher's goroutine for every record
	// that this node folded itself. It must not block.
	OnOutcome func(Outcome)
}

// inputQueueSize bounds the inputs queued for the watcher's goroutine. When the
// queue is full, an announcement is dropped; the peer's next message repeats it.
const inputQueueSize = 256

// callTimeout bounds one call to the log or a peer.
const callTimeout = 10 * time.Second

// Watcher follows the log and the peers' state and publishes snapshots. Only the
// goroutine in Run accesses the control state.
type Watcher struct {
	cfg        WatcherConfig
	controller *Controller
	inputs     chan func(now time.Time)
	changed    chan struct{}
	current    atomic.Pointer[Snapshot]
	progress   atomic.Pointer[headTracker]
	reader     atomic.Bool
	done       chan struct{}
}

// NewWatcher returns a watcher, which has no state until Run is called.
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
		cfg:        cfg,
		controller: NewController(cfg.Config),
		inputs:     make(chan func(time.Time), inputQueueSize),
		changed:    make(chan struct{}, 1),
		done:       make(chan struct{}),
	}
	w.current.Store(&Snapshot{})
	w.progress.Store(&headTracker{})
	return w
}

// Current returns the newest snapshot. It never returns nil; the version is 0
// before any state is known.
func (w *Watcher) Current() *Snapshot { return w.current.Load() }

// Changed returns a channel that receives a value after a new snapshot. Several
// snapshots may share one value.
func (w *Watcher) Changed() <-chan struct{} { return w.changed }

// Progress returns how far the log is known to have been read, to be announced
// to peers.
func (w *Watcher) Progress() Progress { return w.progress.Load().progress(w.cfg.Now()) }

// IsReader reports whether this node is one of its region's log readers.
func (w *Watcher) IsReader() bool { return w.reader.Load() }

// StateResponse returns the response to a peer that calls FetchState.
func (w *Watcher) StateResponse(since int64) Update { return w.Current().StateResponse(since) }

// SetNodes sets the live nodes of the fleet, with or without this node. It
// blocks while the watcher's input queue is full.
func (w *Watcher) SetNodes(live []fleet.Node) {
	live = append([]fleet.Node(nil), live...)
	w.enqueue(func(now time.Time) { w.controller.NodesChanged(now, live) })
}

// PeerAnnounced reports the version and log progress carried by a message of a
// peer. It does not block; when the input queue is full, the announcement is
// dropped.
func (w *Watcher) PeerAnnounced(node string, version int64, p Progress) {
	select {
	case w.inputs <- func(now time.Time) { w.controller.PeerAnnounced(now, node, version, p) }:
	default:
	}
}

// PeerUpdate passes on an update that a peer sent without a request. It does not
// block; when the input queue is full, the update is dropped.
func (w *Watcher) PeerUpdate(node string, u Update) {
	select {
	case w.inputs <- func(now time.Time) { w.controller.UpdateReceived(now, node, u) }:
	default:
	}
}

// enqueue queues an input that must not be lost.
func (w *Watcher) enqueue(input func(time.Time)) {
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
	w.controller.Tick(w.cfg.Now())
	for {
		w.execute(ctx, w.controller.TakeOutput())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			w.controller.Tick(w.cfg.Now())
		case input := <-w.inputs:
			input(w.cfg.Now())
		}
	}
}

// execute performs the actions in the controller's output. Calls that may block
// run in their own goroutines and send their results back as inputs.
func (w *Watcher) execute(ctx context.Context, out Output) {
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
	for _, req := range out.StateRequests {
		go w.fetchState(ctx, req)
	}
}

func (w *Watcher) publish(out *Output) {
	h := w.controller.log.head
	w.progress.Store(&h)
	w.reader.Store(w.controller.IsReader())
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
	w.enqueue(func(now time.Time) {
		if err != nil {
			w.controller.ReadFailed(now, r.From, err)
			return
		}
		w.controller.LogEntries(now, r.From, entries)
	})
}

func (w *Watcher) append(ctx context.Context, r platformlog.Record) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := w.cfg.Log.Append(ctx, r)
	w.enqueue(func(now time.Time) { w.controller.AppendDone(now, err) })
}

func (w *Watcher) bounds(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	first, _, err := w.cfg.Log.Bounds(ctx, Stream)
	if err == nil {
		w.enqueue(func(now time.Time) { w.controller.LogBounds(now, first) })
	}
}

var errNoPeers = errors.New("no connection to peers")

func (w *Watcher) fetchState(ctx context.Context, req StateRequest) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	u, err := Update{}, errNoPeers
	if w.cfg.Peers != nil {
		u, err = w.cfg.Peers.FetchState(ctx, req.Node, req.Since)
	}
	w.enqueue(func(now time.Time) {
		if err != nil {
			w.controller.PeerFailed(now, req.Node)
			return
		}
		w.controller.UpdateReceived(now, req.Node, u)
	})
}
