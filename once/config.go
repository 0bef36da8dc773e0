package once

import "time"

// Limits on clock differences, in milliseconds of wall time.
const (
	// MaxFutureMS bounds how far the issue time of a key may be ahead of the
	// home's wall clock.
	MaxFutureMS = 2000
	// MaxNodeSkewMS bounds the difference between the wall clocks of two nodes.
	MaxNodeSkewMS = 2000
	// NewKeyMarginMS is the time after the activation of an epoch from which a
	// key must have been issued to be new in that epoch. An earlier home
	// accepted only keys issued at most MaxFutureMS ahead of its own clock, and
	// that clock was at most MaxNodeSkewMS ahead, so the rule does not depend
	// on the clocks of callers.
	NewKeyMarginMS = MaxFutureMS + MaxNodeSkewMS
)

// Config configures a Store. Zero fields take their defaults.
type Config struct {
	Window      time.Duration // how long a record is kept; default 24 h
	MaxRecords  int           // default 500000
	MaxBytes    int           // bytes of keys and stored responses, with recordBytes for each record; default 256 MiB
	MaxResponse int           // largest stored response in bytes; default 64 KiB
}

// Defaults of Config.
const (
	DefaultWindow      = 24 * time.Hour
	DefaultMaxRecords  = 500_000
	DefaultMaxBytes    = 256 << 20
	DefaultMaxResponse = 64 << 10
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
	if c.MaxResponse == 0 {
		c.MaxResponse = DefaultMaxResponse
	}
	return c
}
