package once

import (
	"time"

	"hyssopbridge/fleet"
	"hyssopbridge/lease"
)

// Store holds the records of one home node.
type Store struct {
	cfg      Config
	self     fleet.Member
	records  map[string]*record
	services map[string]*service
	bytes    int

	imports map[importKey]*importer

	buckets map[int64][]string // records by start time, for expiry
	swept   int64              // buckets before this one are empty
	answers []string           // keys with a stored answer, oldest first
}

// service is the state of one service at this home.
type service struct {
	chain      []lease.Group // accepted groups, oldest first; the last is current
	activeWall int64         // Unix ms at which the last became active
	closed     int64         // no run in epochs before this one
	edges      []Handover
}

// recordBytes is the accounted size of a record without key and answer. With
// it, 100000 records account for the heap that they take.
const recordBytes = 300

// New returns an empty store of a process that has just started.
func New(cfg Config, self fleet.Member) *Store {
	return &Store{
		cfg:      cfg.withDefaults(),
		self:     self,
		records:  map[string]*record{},
		services: map[string]*service{},
		imports:  map[importKey]*importer{},
		buckets:  map[int64][]string{},
	}
}

// Activate opens a service for the last group of chain, which this node has
// seen active at activeWallMS (lease.Core.ActiveSince). chain holds the
// accepted groups of the window and at least two before them, oldest first, as
// far as there are any. An older epoch than the current one is ignored.
func (s *Store) Activate(name string, chain []lease.Group, activeWallMS int64) {
	if len(chain) == 0 {
		return
	}
	v := s.service(name)
	epoch := chain[len(chain)-1].Epoch
	if epoch <= v.epoch() || epoch < v.closed {
		return
	}
	v.chain = chain
	v.activeWall = activeWallMS
	v.dropEdges()
	s.dropImports(name, chain[0].Epoch)
}

// Close ends the runs of a service at this node in all epochs before the given
// one, before its records are handed over.
func (s *Store) Close(name string, epoch int64) {
	v := s.service(name)
	v.closed = max(v.closed, epoch)
}

func (s *Store) service(name string) *service {
	v := s.services[name]
	if v == nil {
		v = &service{}
		s.services[name] = v
	}
	return v
}

// runs reports whether orders of an epoch may run here.
func (v *service) runs(epoch int64) bool {
	return epoch > 0 && v.epoch() == epoch && v.closed <= epoch
}

func (v *service) epoch() int64 {
	if len(v.chain) == 0 {
		return 0
	}
	return v.chain[len(v.chain)-1].Epoch
}

// dropEdges forgets edges of epochs that are no longer in the chain.
func (v *service) dropEdges() {
	kept := v.edges[:0]
	for _, e := range v.edges {
		if e.Epoch >= v.chain[0].Epoch {
			kept = append(kept, e)
		}
	}
	v.edges = kept
}

// dropImports forgets unfinished hand-overs of epochs before the given one.
func (s *Store) dropImports(name string, epoch int64) {
	for k := range s.imports {
		if k.service == name && k.epoch < epoch {
			delete(s.imports, k)
		}
	}
}

func (v *service) addEdges(edges []Handover) {
	for _, e := range edges {
		if !v.hasEdge(e) {
			v.edges = append(v.edges, e)
		}
	}
}

func (v *service) hasEdge(e Handover) bool {
	for _, have := range v.edges {
		if have == e {
			return true
		}
	}
	return false
}

// Size returns the number of records and their accounted bytes.
func (s *Store) Size() (records, bytes int) { return len(s.records), s.bytes }

// hasRoom makes room for a new record by dropping the oldest stored answers.
// Records in the window are never dropped.
func (s *Store) hasRoom(now time.Duration, key string) bool {
	s.sweep(now)
	if len(s.records) >= s.cfg.MaxRecords {
		return false
	}
	return s.shrink(recordBytes + len(key))
}

// shrink drops stored answers, oldest first, until n more bytes fit.
func (s *Store) shrink(n int) bool {
	for s.bytes+n > s.cfg.MaxBytes && len(s.answers) > 0 {
		key := s.answers[0]
		s.answers = s.answers[1:]
		if r := s.records[key]; r != nil {
			s.dropAnswer(r)
		}
	}
	return s.bytes+n <= s.cfg.MaxBytes
}

func (s *Store) dropAnswer(r *record) {
	s.bytes -= r.answer.size()
	r.answer = nil
}

// insert adds an empty record. The caller has checked for room.
func (s *Store) insert(key string, started time.Duration) *record {
	r := &record{}
	s.records[key] = r
	s.bytes += recordBytes + len(key)
	s.setStarted(key, r, started)
	return r
}
