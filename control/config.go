package control

import (
	"time"

	"hyssopbridge/fleet"
)

// Config sets up a Controller. Zero values take the defaults.
type Config struct {
	Self fleet.Node // this node; ID and Region are used
	Seed uint64     // seed of jitter and delays

	Readers         int           // nodes per region that read the log; default 3
	ReadInterval    time.Duration // interval of a reader's reads at the log's head; default 250 ms
	PollInterval    time.Duration // mean interval of the other nodes' reads; default 10 s
	ProgressTimeout time.Duration // a node without news of a reader's progress for this long reads by itself; default 3 s
	ReadBatch       int           // entries of one read; default 512

	JoinPeers    int           // peers whose state a new node asks for before it serves; default 3
	PeerTimeout  time.Duration // a peer that has not answered for this long is passed over; default 2 s
	CatchUpDelay time.Duration // a node that is behind for this long asks a peer; default 200 ms

	JoinWait time.Duration // a new node reads the log if it knows no peers after this time; default 500 ms, negative for no wait

	Retention           time.Duration // time for which the log keeps records; default 24 h
	CheckpointMaxDelay  time.Duration // bound of the random delay before a checkpoint round; default 1 min
	CheckpointPartBytes int           // approximate size of one part of a round; default 128 KiB
	BoundsInterval      time.Duration // interval of a reader's look at the log's bounds; default 30 s
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
