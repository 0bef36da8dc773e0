package control

import (
	"time"

	"hyssopbridge/fleet"
)

// Config configures a Controller. Zero values select the defaults.
type Config struct {
	Self fleet.Node // this node; ID, Region and Incarnation are used
	Seed uint64     // seed of jitter and delays

	Readers         int           // nodes per region that act as log readers; default 3
	ReadInterval    time.Duration // interval between a reader's reads at the head of the log; default 250 ms
	PollInterval    time.Duration // mean interval between reads on all other nodes; default 10 s
	ProgressTimeout time.Duration // a node that has learned of no log progress for this long reads the log itself; default 3 s
	ReadBatch       int           // maximum number of entries per read; default 512

	JoinPeers    int           // number of peers from which a new node requests state before it serves; default 3
	PeerTimeout  time.Duration // a state request without a response for this long has failed; default 2 s
	CatchUpDelay time.Duration // a node that is behind for this long requests state from a peer; default 200 ms

	JoinWait time.Duration // a new node that knows no peers after this time reads the log; default 500 ms, negative for no wait

	Retention           time.Duration // retention time of the log; default 24 h
	CheckpointMaxDelay  time.Duration // upper bound of the random delay before a checkpoint round; default 1 min
	CheckpointPartBytes int           // approximate size of one part of a checkpoint round; default 128 KiB
	BoundsInterval      time.Duration // interval at which a reader queries the log's bounds; default 30 s
}

func (c *Config) setDefaults() {
	setDefault(&c.Readers, 3)
	setDefault(&c.ReadInterval, 250*time.Millisecond)
	setDefault(&c.PollInterval, 10*time.Second)
	setDefault(&c.ProgressTimeout, 3*time.Second)
	setDefault(&c.ReadBatch, 512)
	setDefault(&c.JoinPeers, 3)
	setDefault(&c.PeerTimeout, 2*time.Second)
	setDefault(&c.CatchUpDelay, 200*time.Millisecond)
	setDefault(&c.JoinWait, 500*time.Millisecond)
	setDefault(&c.Retention, 24*time.Hour)
	setDefault(&c.CheckpointMaxDelay, time.Minute)
	setDefault(&c.CheckpointPartBytes, 128<<10)
	setDefault(&c.BoundsInterval, 30*time.Second)
}

func setDefault[T int | time.Duration](p *T, v T) {
	if *p == 0 {
		*p = v
	}
}
