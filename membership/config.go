package membership

import (
	"time"

	"hyssopbridge/fleet"
)

// Config configures a Core. Zero fields take the stated defaults.
type Config struct {
	Self               fleet.Node
	Seeds              []string      // control addresses of the nodes to join through
	ProbeInterval      time.Duration // between probes of successive peers; default 500 ms
	ProbeTimeout       time.Duration // for a direct response; default 200 ms
	RemoteProbeTimeout time.Duration // ProbeTimeout for nodes in other regions; default 400 ms
	SuspicionTimeout   time.Duration // from suspect to dead; default 1.5 s
	IndirectProbes     int           // peers asked to probe one that did not respond; default 3
	DeadRetention      time.Duration // how long the record of a dead or left node is kept; default 1 h
	AddressRetention   time.Duration // how long the address of a dead node is probed; default 24 h
	DeadProbeInterval  time.Duration // average time between probes of such addresses; default 30 s
	SyncInterval       time.Duration // maximum time between digests; default 10 s
	PiggybackBytes     int           // updates added to one message; default 1024
	RetransmitFactor   int           // an update is sent RetransmitFactor*log2(n) times; default 3
	PushFanout         int           // peers that a new update is pushed to at once; default 4
}

// Limits of the core.
const (
	// MaxInstances bounds the instances of one node, so that its record fits
	// into one message.
	MaxInstances = 4096
	// maxPageBytes bounds one page of a state transfer.
	maxPageBytes = 128 << 10
	// maxFetch bounds the records requested in one message.
	maxFetch = 64
	// maxDeadAddresses bounds the stored addresses of dead nodes.
	maxDeadAddresses = 4096
	// maxUpdateInstanceBytes bounds the instances inside an update, in bytes.
	// The receiver fetches larger records.
	maxUpdateInstanceBytes = 700
	// maxPagesPerSecond bounds the state pages that a node serves.
	maxPagesPerSecond = 20
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
