package once

import (
	"slices"
	"strings"
	"time"

	"hyssopbridge/fleet"
	"hyssopbridge/lease"
)

// Batch transfers records to their home in a later epoch.
type Batch struct {
	Service   string        `cbor:"1,keyasint"`
	From      fleet.Member  `cbor:"2,keyasint"`
	To        fleet.Member  `cbor:"3,keyasint"`
	Epoch     int64         `cbor:"4,keyasint"` // epoch in which To is the home
	ExportID  int64         `cbor:"5,keyasint"` // identifies the Export call; batches of different calls are not combined
	Index     int           `cbor:"6,keyasint"`
	Records   []MovedRecord `cbor:"7,keyasint,omitempty"`
	Last      bool          `cbor:"8,keyasint,omitempty"`
	Handovers []Handover    `cbor:"9,keyasint,omitempty"` // with Last
}

// MovedRecord is a record with its scoped key.
type MovedRecord struct {
	Key   string `cbor:"1,keyasint"`
	Entry Entry  `cbor:"2,keyasint"`
}

// Export returns the records of a service for one member of a later group, in
// batches of at most maxRecords records and about maxBytes bytes. ok is false
// if Close has not been called for the epoch of that group, or while an order
// of the service is running; the caller then retries later.
func (s *Store) Export(now time.Duration, name string, group lease.Group, to fleet.Member, maxRecords, maxBytes int) (batches []Batch, ok bool) {
	v := s.service(name)
	if v.closedBefore < group.Epoch || v.epoch() >= group.Epoch {
		return nil, false
	}
	keys, ok := s.movedKeys(name, group, to)
	if !ok {
		return nil, false
	}
	b := Batch{Service: name, From: s.self, To: to, Epoch: group.Epoch, ExportID: int64(now)}
	size := 0
	for _, key := range keys {
		r := s.records[key]
		n := recordBytes + len(key) + r.response.size()
		if len(b.Records) > 0 && (len(b.Records) >= maxRecords || size+n > maxBytes) {
			batches = append(batches, b)
			b.Index++
			b.Records = nil
			size = 0
		}
		b.Records = append(b.Records, MovedRecord{Key: key, Entry: s.entry(now, r)})
		size += n
	}
	b.Last = true
	b.Handovers = slices.Clone(v.handovers)
	return append(batches, b), true
}

// movedKeys returns the keys whose records forbid a run and whose home in group
// is to. A key that was not run needs no record at its next home.
func (s *Store) movedKeys(name string, group lease.Group, to fleet.Member) (keys []string, ok bool) {
	prefix := scopePrefix(name)
	for key, r := range s.records {
		if !r.state.forbidsRun() || !strings.HasPrefix(key, prefix) {
			continue
		}
		if r.state == Running {
			return nil, false
		}
		if home, found := lease.HomeIn(group.HomeGroup, key); found && home == to {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys, true
}
