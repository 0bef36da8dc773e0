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

	buckets       map[int64][]string // keys of records by start time, for expiry
	firstBucket   int64              // earlier buckets are empty
	responseOrder []string           // keys with a stored response, oldest first
}

// service is the state of one service at this home.
type service struct {
	history      []lease.Group // accepted groups, oldest first; the last one is current
	activeWall   int64         // when the last group became active, Unix ms
	closedBefore int64         // no runs in epochs before this one
	handovers    []Handover
}

// recordBytes is the accounted size of a record without key and response. It
// makes the accounted size of 100000 records match their heap size.
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

// Activate opens a service for the last group of history, which this node has
// known to be active since activeWallMS (lease.Core.ActiveSince). history must
// contain the accepted groups of the window and the two before them, if there
// are any, oldest first. An epoch that is not newer than the current one is
// ignored.
func (s *Store) Activate(name string, history []lease.Group, activeWallMS int64) {
	if len(history) == 0 {
		return
	}
	v := s.service(name)
	epoch := history[len(history)-1].Epoch
	if epoch <= v.epoch() || epoch < v.closedBefore {
		return
	}
	v.history = history
	v.activeWall = activeWallMS
	v.dropOldHandovers()
	s.dropImports(name, history[0].Epoch)
}

// Close forbids further runs of a service at this node in epochs before the
// given one. It must be called before Export.
func (s *Store) Close(name string, epoch int64) {
	v := s.service(name)
	v.closedBefore = max(v.closedBefore, epoch)
}

func (s *Store) service(name string) *service {
	v := s.services[name]
	if v == nil {
		v = &service{}
		s.services[name] = v
	}
	return v
}

// acceptsOrders reports whether orders of an epoch may run at this node.
func (v *service) acceptsOrders(epoch int64) bool {
	return epoch > 0 && v.epoch() == epoch && v.closedBefore <= epoch
}

func (v *service) epoch() int64 {
	if len(v.history) == 0 {
		return 0
	}
	return v.history[len(v.history)-1].Epoch
}

// dropOldHandovers drops the handovers of epochs that are no longer in the
// history.
func (v *service) dropOldHandovers() {
	kept := v.handovers[:0]
	for _, e := range v.handovers {
		if e.Epoch >= v.history[0].Epoch {
			kept = append(kept, e)
		}
	}
	v.handovers = kept
}

// dropImports drops incomplete imports for epochs before the given one.
func (s *Store) dropImports(name string, epoch int64) {
	for k := range s.imports {
		if k.service == name && k.epoch < epoch {
			delete(s.imports, k)
		}
	}
}

func (v *service) addHandovers(handovers []Handover) {
	for _, e := range handovers {
		if !v.hasHandover(e) {
			v.handovers = append(v.handovers, e)
		}
	}
}

func (v *service) hasHandover(e Handover) bool {
	for _, have := range v.handovers {
		if have == e {
			return true
		}
	}
	return false
}

// Size returns the number of records and their accounted bytes.
func (s *Store) Size() (records, bytes int) { return len(s.records), s.bytes }

// makeRoom makes room for a new record by dropping expired records, then the
// oldest stored responses, and reports whether there is room. Records in the
// window are never dropped.
func (s *Store) makeRoom(now time.Duration, key string) bool {
	s.sweep(now)
	if len(s.records) >= s.cfg.MaxRecords {
		return false
	}
	return s.evictResponses(recordBytes + len(key))
}

// evictResponses drops stored responses, oldest first, until n more bytes fit, and
// reports whether they fit.
func (s *Store) evictResponses(n int) bool {
	for s.bytes+n > s.cfg.MaxBytes && len(s.responseOrder) > 0 {
		key := s.responseOrder[0]
		s.responseOrder = s.responseOrder[1:]
		if r := s.records[key]; r != nil {
			s.dropResponse(r)
		}
	}
	return s.bytes+n <= s.cfg.MaxBytes
}

func (s *Store) dropResponse(r *record) {
	s.bytes -= r.response.size()
	r.response = nil
}

// insert adds an empty record. The caller must call makeRoom first.
func (s *Store) insert(key string, started time.Duration) *record {
	r := &record{}
	s.records[key] = r
	s.bytes += recordBytes + len(key)
	s.setStarted(key, r, started)
	return r
}
