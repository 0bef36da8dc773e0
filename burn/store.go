package burn

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// MinuteRetention is how long intervals of a minute are kept: the longest
	// burn-rate window.
	MinuteRetention = 6 * time.Hour
	// HourRetention is how long intervals of an hour are kept: the longest
	// window of an objective.
	HourRetention = 366 * 24 * time.Hour
	// intervalOverhead is the memory of an interval besides its data, in bytes.
	intervalOverhead = 160
	// maxClockSkew is how far in the future an interval of a peer may start.
	maxClockSkew = 2 * time.Hour
)

// Store holds packed intervals within a memory limit. Its methods are safe for
// concurrent use.
type Store struct {
	maxBytes  int
	mu        sync.Mutex
	intervals map[Key]PackedInterval
	bytes     int
}

// NewStore returns an empty store with a limit of maxBytes.
func NewStore(maxBytes int) *Store {
	return &Store{maxBytes: maxBytes, intervals: map[Key]PackedInterval{}}
}

// Put stores p unless the store already holds the same or a newer version. If the
// limit is exceeded, the oldest intervals are dropped, histograms first.
func (s *Store) Put(p PackedInterval) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, held := s.intervals[p.Key]
	if held && !p.newer(&old) {
		return
	}
	if held {
		s.bytes -= memoryBytes(&old)
	}
	s.intervals[p.Key] = p
	s.bytes += memoryBytes(&p)
	if s.bytes > s.maxBytes {
		s.evictOldest()
	}
}

func memoryBytes(p *PackedInterval) int { return len(p.Data) + len(p.Node) + intervalOverhead }

// evictOldest removes the oldest intervals, histograms first, until an eighth of
// the limit is free, so that not every Put has to sort the intervals.
func (s *Store) evictOldest() {
	keys := make([]Key, 0, len(s.intervals))
	for k := range s.intervals {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b Key) int {
		return cmp.Or(cmp.Compare(b.Part, a.Part), cmp.Compare(a.EndS(), b.EndS()))
	})
	for _, k := range keys {
		if s.bytes <= s.maxBytes/8*7 {
			return
		}
		s.remove(k)
	}
}

func (s *Store) remove(k Key) {
	p := s.intervals[k]
	s.bytes -= memoryBytes(&p)
	delete(s.intervals, k)
}

// Expire removes intervals whose retention has passed.
func (s *Store) Expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k := range s.intervals {
		kept := HourRetention
		if k.LengthS == MinuteS {
			kept = MinuteRetention
		}
		if time.Unix(k.EndS(), 0).Add(kept).Before(now) {
			s.remove(k)
		}
	}
}

// Intervals returns all intervals, oldest first.
func (s *Store) Intervals() []PackedInterval {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]PackedInterval, 0, len(s.intervals))
	for _, p := range s.intervals {
		list = append(list, p)
	}
	slices.SortFunc(list, compareIntervals)
	return list
}

// ToReplicate returns the intervals that are replicated to other nodes: all
// counts, and the histograms of hours that have ended.
func (s *Store) ToReplicate(now time.Time) []PackedInterval {
	return slices.DeleteFunc(s.Intervals(), func(p PackedInterval) bool {
		return p.Part == PartLatency && p.EndS() > now.Unix()
	})
}

// Bytes returns the memory of the intervals.
func (s *Store) Bytes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bytes
}

// Valid reports whether an interval received from a peer is well formed and
// within the accepted range around now.
func (p *PackedInterval) Valid(now time.Time) bool {
	if p.LengthS != MinuteS && p.LengthS != HourS || p.StartS%p.LengthS != 0 || p.Part > PartLatency {
		return false
	}
	ahead := time.Unix(p.StartS, 0).Sub(now)
	if p.StartS < 0 || ahead > maxClockSkew || -ahead > HourRetention+HourS*time.Second {
		return false
	}
	_, err := p.Unpack()
	return err == nil
}
