package once

import (
	"time"

	"hyssopbridge/fleet"
)

// importKey identifies a handover at its receiver.
type importKey struct {
	service string
	from    fleet.Member
	epoch   int64
}

// importer tracks the received batches of one handover.
type importer struct {
	exportID  int64
	received  map[int]bool
	last      int // index of the last batch; -1 while unknown
	handovers []Handover
}

// Import adds a batch. Batches may arrive in any order and repeatedly. It
// reports false if the batch is for another process or there is no room for it;
// the sender then sends it again later.
func (s *Store) Import(now time.Duration, b Batch) bool {
	if b.To != s.self {
		return false
	}
	for _, m := range b.Records {
		if !s.merge(now, m.Key, m.Entry) {
			return false
		}
	}
	k := importKey{b.Service, b.From, b.Epoch}
	im := s.importer(k, b.ExportID)
	im.received[b.Index] = true
	if b.Last {
		im.last = b.Index
		im.handovers = b.Handovers
	}
	s.completeImport(k, im)
	return true
}

// importer returns the state of a handover. Batches of different exports cannot
// be combined, because a response that arrived in between shifts their
// boundaries.
func (s *Store) importer(k importKey, exportID int64) *importer {
	im := s.imports[k]
	if im == nil || im.exportID != exportID {
		im = &importer{exportID: exportID, received: map[int]bool{}, last: -1}
		s.imports[k] = im
	}
	return im
}

// completeImport records the handover once all its batches have arrived.
func (s *Store) completeImport(k importKey, im *importer) {
	if im.last < 0 || len(im.received) <= im.last {
		return
	}
	v := s.service(k.service)
	v.addHandovers(im.handovers)
	v.addHandovers([]Handover{{To: s.self, Epoch: k.epoch, From: k.from}})
	delete(s.imports, k)
}

// merge adds a record of another home. An existing record is replaced only if
// it does not forbid a run, or if its outcome is unknown and the other record
// has the response.
func (s *Store) merge(now time.Duration, key string, e Entry) bool {
	r := s.records[key]
	started := now - e.Age
	switch {
	case r == nil:
		if !s.makeRoom(now, key) {
			return false
		}
		r = s.insert(key, started)
	case r.state.forbidsRun() && (r.state != Unknown || e.State != Answered):
		return true
	case r.started < started:
		s.setStarted(key, r, started)
	}
	r.state = e.State
	r.hash = e.Hash
	r.attempt = max(r.attempt, 1)
	if e.State == Answered {
		s.storeResponse(key, r, e.Response)
	}
	return true
}
