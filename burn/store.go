package burn

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// MinuteRetention is how long minute slots are kept; the longest burn-rate
	// window needs them.
	MinuteRetention = 6 * time.Hour
	// HourRetention is how long hour slots are kept: the longest window of an
	// objective.
	HourRetention = 366 * 24 * time.Hour
	// slotOverhead is the memory of a slot besides its data, in bytes.
	slotOverhead = 160
	// maxAhead is how far in the future a slot of a peer may start; clocks
	// differ.
	maxAhead = 2 * time.Hour
)

// Store keeps packed slots within a bound. Its methods are safe for concurrent
// use.
type Store struct {
	maxBytes int
	mu       sync.Mutex
	slots    map[Key]PackedInterval
	bytes    int
}

// NewStore returns an empty store for at most maxBytes.
func NewStore(maxBytes int) *Store {
	return &Store{maxBytes: maxBytes, slots: map[Key]PackedInterval{}}
}

// Put takes a slot unless the one it holds is as new. When the bound is
// exceeded, the oldest slots are dropped, histograms first.
func (s *Store) Put(p PackedInterval) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, held := s.slots[p.Key]
	if held && !p.newer(&old) {
		return
	}
	if held {
		s.bytes -= size(&old)
	}
	s.slots[p.Key] = p
	s.bytes += size(&p)
	if s.bytes > s.maxBytes {
		s.shrink()
	}
}

func size(p *PackedInterval) int { return len(p.Data) + len(p.Node) + slotOverhead }

// shrink drops the oldest slots, histograms first, until an eighth of the bound
// is free, so that not every Put sorts the slots.
func (s *Store) shrink() {
	keys := make([]Key, 0, len(s.slots))
	for k := range s.slots {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b Key) int {
		return cmp.Or(cmp.Compare(b.Part, a.Part), cmp.Compare(a.EndS(), b.EndS()))
	})
	for _, k := range keys {
		if s.bytes <= s.maxBytes/8*7 {
			return
		}
		s.drop(k)
	}
}

func (s *Store) drop(k Key) {
	p := s.slots[k]
	s.bytes -= size(&p)
	delete(s.slots, k)
}

// Expire drops slots past their time.
func (s *Store) Expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k := range s.slots {
		kept := HourRetention
		if k.LengthS == MinuteS {
			kept = MinuteRetention
		}
		if time.Unix(k.EndS(), 0).Add(kept).Before(now) {
			s.drop(k)
		}
	}
}

// Intervals returns the slots, oldest first.
func (s *Store) Intervals() []PackedInterval {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]PackedInterval, 0, len(s.slots))
	for _, p := range s.slots {
		list = append(list, p)
	}
	slices.SortFunc(list, compareSlots)
	return list
}

// ToReplicate returns the slots that other nodes keep: all counts, and the
// histograms of hours that have ended.
func (s *Store) ToReplicate(now time.Time) []PackedInterval {
	return slices.DeleteFunc(s.Intervals(), func(p PackedInterval) bool {
		return p.Part == PartLatency && p.EndS() > now.Unix()
	})
}

// Bytes returns the memory of the slots.
func (s *Store) Bytes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bytes
}

// Valid reports whether a slot of a peer is well formed at a time.
func (p *PackedInterval) Valid(now time.Time) bool {
	if p.LengthS != MinuteS && p.LengthS != HourS || p.StartS%p.LengthS != 0 || p.Part > PartLatency {
		return false
	}
	ahead := time.Unix(p.StartS, 0).Sub(now)
	if p.StartS < 0 || ahead > maxAhead || -ahead > HourRetention+HourS*time.Second {
		return false
	}
	_, err := p.Unpack()
	return err == nil
}
