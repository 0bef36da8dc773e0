package control

import (
	"math/rand/v2"
	"time"

	"hyssopbridge/fleet"
	"hyssopbridge/platformlog"
)

// Output is what a Controller wants done. Every request is answered by one
// input: Read by LogEntries or ReadFailed, StateRequests by UpdateReceived or PeerFailed,
// Append by AppendDone, Bounds by LogBounds or nothing.
type Output struct {
	Snapshot      *Snapshot           // new state to publish; nil for none
	Read          *ReadRequest        // read of the log
	StateRequests []StateRequest      // questions to peers
	Append        *platformlog.Record // checkpoint part to append
	Bounds        bool                // look up the log's bounds
	Outcomes      []Outcome           // outcomes of the records folded since the last output
}

// ReadRequest asks for at most Max entries of the log from an offset.
type ReadRequest struct {
	From int64
	Max  int
}

// StateRequest asks a peer for the update after a version.
type StateRequest struct {
	Node  string
	Since int64
}

// Controller decides what one node does to hold the newest accepted state. It
// does no I/O and reads no clock: inputs carry the time and must not go back.
// One goroutine owns it.
type Controller struct {
	cfg   Config
	rng   *rand.Rand
	state *State
	out   Output

	published int64 // version of the last snapshot put out
	joined    bool  // state may be served; see join.go
	started   time.Time

	log   logReader
	peers peerTable
	ckpt  checkpointer
}

// NewController returns a controller with empty state.
func NewController(cfg Config) *Controller {
	cfg.setDefaults()
	c := &Controller{
		cfg:   cfg,
		rng:   rand.New(rand.NewPCG(cfg.Seed, 0x636f6e74726f6c)),
		state: NewState(nil),
	}
	c.peers.init()
	c.log.reader = true
	return c
}

// Version returns the version of the state, whether published or not.
func (c *Controller) Version() int64 { return c.state.Version() }

// IsReader reports whether this node is one of its region's log readers.
func (c *Controller) IsReader() bool { return c.log.reader }

// Joined reports whether the state may be served.
func (c *Controller) Joined() bool { return c.joined }

// Progress returns how far the log is known to have been read.
func (c *Controller) Progress(now time.Time) Progress { return c.log.heard.progress(now) }

// TakeOutput returns the pending output and clears it.
func (c *Controller) TakeOutput() Output {
	out := c.out
	c.out = Output{}
	return out
}

// NodesChanged gives the live nodes of the fleet. NodesChanged that are leaving or dead are
// not among them.
func (c *Controller) NodesChanged(now time.Time, live []fleet.Node) {
	c.peers.set(live, c.cfg.Self.ID)
	all := append([]fleet.Node{c.cfg.Self}, live...)
	was := c.log.reader
	c.log.reader = false
	for _, id := range LogReaders(all, c.cfg.Self.Region, c.cfg.Readers) {
		c.log.reader = c.log.reader || id == c.cfg.Self.ID
	}
	if c.log.reader && !was {
		c.log.next = now
	}
	c.step(now)
}

// Tick gives the time. A tick is due about every 100 ms.
func (c *Controller) Tick(now time.Time) { c.step(now) }

// step decides everything that depends on time and state.
func (c *Controller) step(now time.Time) {
	if c.started.IsZero() {
		c.started = now
	}
	c.peers.expire(now.Add(-c.cfg.PeerTimeout))
	c.join()
	if c.joined {
		clear(c.peers.answered)
		clear(c.peers.failed)
	}
	c.publish()
	c.readLog(now)
	c.askPeers(now)
	c.checkpoint(now)
}

// publish puts out the state if it is new and may be served.
func (c *Controller) publish() {
	if !c.joined || c.state.Version() <= c.published {
		return
	}
	c.published = c.state.Version()
	c.out.Snapshot = c.state.Snapshot()
}

// jitter returns a duration between 3/4 and 5/4 of d.
func (c *Controller) jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(c.rng.Int64N(int64(d/2)+1))
}
