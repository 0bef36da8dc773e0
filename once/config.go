package once

import "time"

// Clock rules in milliseconds of wall time.
const (
	// MaxFutureMS is how far the issue time of a key may lie ahead of the home's
	// wall clock.
	MaxFutureMS = 2000
	// MaxNodeSkewMS bounds the difference between the wall clocks of two nodes.
	MaxNodeSkewMS = 2000
	// NewKeyMarginMS is how long after the activation of an epoch a key must have been
	// issued to be new in it. An earlier home accepted only keys issued at most
	// MaxFutureMS after its own clock, and that clock was at most MaxNodeSkewMS
	// ahead, so the rule does not depend on the clocks of callers.
	NewKeyMarginMS = MaxFutureMS + MaxNodeSkewMS
)

// Config bounds a Store. Zero fields take their defaults.
type Config struct {
	Window     time.Duration // how long a record is kept; default 24 h
	MaxRecords int           // default 500000
	MaxBytes   int           // bytes of keys and answers; default 256 MiB
	MaxAnswer  int           // bytes of the largest stored answer; default 64 KiB
}

// Defaults of Config.
const (
	DefaultWindow     = 24 * time.Hour
	DefaultMaxRecords = 500_000
	DefaultMaxBytes   = 256 << 20
	DefaultMaxAnswer  = 64 << 10
)

func (c Config) withDefaults() Config {
	if c.Window == 0 {
		c.Window = DefaultWindow
	}
	if c.MaxRecords == 0 {
		c.MaxRecords = DefaultMaxRecords
	}
	if c.MaxBytes == 0 {
		c.MaxBytes = DefaultMaxBytes
	}
	if c.MaxAnswer == 0 {
		c.MaxAnswer = DefaultMaxAnswer
	}
	return c
}
