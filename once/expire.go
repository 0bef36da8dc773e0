package once

import (
	"slices"
	"time"
)

// bucketDuration is the granularity of expiry. Records are kept for at least
// this much longer than the window, which covers a monotonic clock that runs 1%
// fast over 24 h.
const bucketDuration = 15 * time.Minute

// minCompactLength is the length up to which the list of keys with a
// stored response is not compacted.
const minCompactLength = 1024

func bucketOf(started time.Duration) int64 {
	b := int64(started / bucketDuration)
	if started < 0 && started%bucketDuration != 0 {
		b--
	}
	return b
}

// setStarted sets the start time of a record, from which its window counts, and
// adds the record to the bucket of that time.
func (s *Store) setStarted(key string, r *record, started time.Duration) {
	r.started = started
	b := bucketOf(started)
	s.buckets[b] = append(s.buckets[b], key)
	if len(s.buckets) == 1 || b < s.firstBucket {
		s.firstBucket = b
	}
}

// sweep drops the records of buckets that lie entirely outside the window.
func (s *Store) sweep(now time.Duration) {
	end := bucketOf(now-s.cfg.Window) - 1
	for ; s.firstBucket < end && len(s.buckets) > 0; s.firstBucket++ {
		for _, key := range s.buckets[s.firstBucket] {
			s.dropExpired(key, s.firstBucket)
		}
		delete(s.buckets, s.firstBucket)
	}
	s.compactResponses()
}

// compactResponses bounds the list of keys with a stored response, which also
// contains keys of expired records.
func (s *Store) compactResponses() {
	if len(s.responseOrder) <= 2*len(s.records)+minCompactLength {
		return
	}
	s.responseOrder = slices.DeleteFunc(s.responseOrder, func(key string) bool {
		r := s.records[key]
		return r == nil || r.response == nil
	})
}

// dropExpired drops a record unless a later attempt moved it to another bucket.
func (s *Store) dropExpired(key string, bucket int64) {
	r := s.records[key]
	if r == nil || bucketOf(r.started) != bucket {
		return
	}
	s.dropResponse(r)
	s.bytes -= recordBytes + len(key)
	delete(s.records, key)
}
