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
	ReadEvery       time.Duration // interval of a reader's reads at the log's head; default 250 ms
	PollEvery       time.Duration // mean interval of the other nodes' reads; default 10 s
	ProgressTimeout time.Duration // a node without news of a reader's progress for this long reads by itself; default 3 s
	ReadMax         int           // entries of one read; default 512

	AskPeers   int           // peers whose state a new node asks for before it serves; default 3
	AskTimeout time.Duration // a peer that has not answered for this long is passed over; default 2 s
	AskDelay   time.Duration // a node that is behind for this long asks a peer; default 200 ms

	JoinWait time.Duration // a new node reads the log if it knows no peers after this time; default 500 ms, negative for no wait

	Retention        time.Duration // time for which the log keeps records; default 24 h
	CheckpointSpread time.Duration // bound of the random delay before a checkpoint round; default 1 min
	CheckpointBytes  int           // approximate size of one part of a round; default 128 KiB
	BoundsEvery      time.Duration // interval of a reader's look at the log's bounds; default 30 s
}

func (c *Config) setDefaults() {
	setDefault(&c.Readers, 3)
	setDefault(&c.ReadEvery, 250*time.Millisecond)
	setDefault(&c.PollEvery, 10*time.Second)
	setDefault(&c.ProgressTimeout, 3*time.Second)
	setDefault(&c.ReadMax, 512)
	setDefault(&c.AskPeers, 3)
	setDefault(&c.AskTimeout, 2*time.Second)
	setDefault(&c.AskDelay, 200*time.Millisecond)
	setDefault(&c.JoinWait, 500*time.Millisecond)
	setDefault(&c.Retention, 24*time.Hour)
	setDefault(&c.CheckpointSpread, time.Minute)
	setDefault(&c.CheckpointBytes, 128<<10)
	setDefault(&c.BoundsEvery, 30*time.Second)
}

func setDefault[T int | time.Duration](p *T, v T) {
	if *p == 0 {
		*p = v
	}
}
