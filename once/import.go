package once

import (
	"time"

	"hyssopbridge/fleet"
)

// importKey identifies a hand-over at its receiver.
type importKey struct {
	service string
	from    fleet.Member
	epoch   int64
}

// importer collects the batches of one hand-over.
type importer struct {
	series   int64
	received map[int]bool
	last     int // index of the last batch; -1 while unknown
	edges    []Handover
}

// Import adds a batch, in any order and possibly repeated. It reports false if
// the batch is not meant for this process or there is no room for it; the
// sender then repeats it later.
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
		im.edges = b.Handovers
	}
	s.completeImport(k, im)
	return true
}

// importer returns the state of a hand-over. Batches of different exports do
// not add up, because an answer that arrived in between moves their limits.
func (s *Store) importer(k importKey, series int64) *importer {
	im := s.imports[k]
	if im == nil || im.series != series {
		im = &importer{series: series, received: map[int]bool{}, last: -1}
		s.imports[k] = im
	}
	return im
}

// completeImport records that the sender's records are here once all batches
// have arrived.
func (s *Store) completeImport(k importKey, im *importer) {
	if im.last < 0 || len(im.received) <= im.last {
		return
	}
	v := s.service(k.service)
	v.addEdges(im.edges)
	v.addEdges([]Handover{{To: s.self, Epoch: k.epoch, From: k.from}})
	delete(s.imports, k)
}

// merge adds a record of another home. A record that is here wins, unless it
// does not forbid a run or the other one knows the answer.
func (s *Store) merge(now time.Duration, key string, e Entry) bool {
	r := s.records[key]
	started := now - e.Age
	switch {
	case r == nil:
		if !s.hasRoom(now, key) {
			return false
		}
		r = s.insert(key, started)
	case r.state.terminal() && (r.state != Unknown || e.State != Answered):
		return true
	case r.started < started:
		s.setStarted(key, r, started)
	}
	r.state = e.State
	r.hash = e.Hash
	r.attempt = max(r.attempt, 1)
	if e.State == Answered {
		s.keep(key, r, e.Answer)
	}
	return true
}
