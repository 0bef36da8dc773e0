package membership

import (
	"time"

	"hyssopbridge/fleet"
)

// Config of a Core. Zero values take the stated defaults.
type Config struct {
	Self               fleet.Node
	Seeds              []string      // control addresses of nodes to join through
	ProbeInterval      time.Duration // default 500 ms
	ProbeTimeout       time.Duration // wait for a direct response; default 200 ms
	RemoteProbeTimeout time.Duration // the same for nodes of other regions; default 400 ms
	SuspicionTimeout   time.Duration // default 1.5 s
	IndirectProbes     int           // default 3
	DeadRetention      time.Duration // default 1 h
	AddressRetention   time.Duration // default 24 h
	DeadProbeInterval  time.Duration // default 30 s
	SyncInterval       time.Duration // longest time between digests; default 10 s
	PiggybackBytes     int           // default 1024
	RetransmitFactor   int           // transmissions of an update: this times log2(n); default 3
	PushFanout         int           // peers to which news is pushed at once; default 4
}

// Bounds of the core.
const (
	// MaxInstances bounds the instances of one node, so that its record fits
	// into one message.
	MaxInstances = 4096
	// pageBytes bounds one page of a state transfer.
	pageBytes = 128 << 10
	// maxFetch bounds the records requested in one message.
	maxFetch = 64
	// maxAddresses bounds the addresses kept of dead nodes.
	maxAddresses = 4096
	// maxInstanceUpdate bounds the instances sent inside an update, in bytes;
	// the receiver fetches larger records.
	maxInstanceUpdate = 700
	// pagesPerSecond bounds the state pages a node serves.
	pagesPerSecond = 20
)

func (c Config) withDefaults() Config {
	setDefault(&c.ProbeInterval, 500*time.Millisecond)
	setDefault(&c.ProbeTimeout, 200*time.Millisecond)
	setDefault(&c.RemoteProbeTimeout, 400*time.Millisecond)
	setDefault(&c.SuspicionTimeout, 1500*time.Millisecond)
	setDefault(&c.IndirectProbes, 3)
	setDefault(&c.DeadRetention, time.Hour)
	setDefault(&c.AddressRetention, 24*time.Hour)
	setDefault(&c.DeadProbeInterval, 30*time.Second)
	setDefault(&c.SyncInterval, 10*time.Second)
	setDefault(&c.PiggybackBytes, 1024)
	setDefault(&c.RetransmitFactor, 3)
	setDefault(&c.PushFanout, 4)
	return c
}

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}
