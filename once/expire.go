package once

import (
	"slices"
	"time"
)

// bucketTime is the granularity of expiry. Records are kept longer than the
// window by at least this time, which covers a monotonic clock that runs 1%
// fast over 24 h.
const bucketTime = 15 * time.Minute

// minCompact is the length below which the list of answers is not compacted.
const minCompact = 1024

func bucketOf(started time.Duration) int64 {
	b := int64(started / bucketTime)
	if started < 0 && started%bucketTime != 0 {
		b--
	}
	return b
}

// setStarted sets the time from which the window of a record counts.
func (s *Store) setStarted(key string, r *record, started time.Duration) {
	r.started = started
	b := bucketOf(started)
	s.buckets[b] = append(s.buckets[b], key)
	if len(s.buckets) == 1 || b < s.swept {
		s.swept = b
	}
}

// sweep drops records whose whole bucket has left the window.
func (s *Store) sweep(now time.Duration) {
	end := bucketOf(now-s.cfg.Window) - 1
	for ; s.swept < end && len(s.buckets) > 0; s.swept++ {
		for _, key := range s.buckets[s.swept] {
			s.drop(key, s.swept)
		}
		delete(s.buckets, s.swept)
	}
	s.compactAnswers()
}

// compactAnswers bounds the list of stored answers, which also names records
// that have expired.
func (s *Store) compactAnswers() {
	if len(s.answers) <= 2*len(s.records)+minCompact {
		return
	}
	s.answers = slices.DeleteFunc(s.answers, func(key string) bool {
		r := s.records[key]
		return r == nil || r.answer == nil
	})
}

// drop forgets a record unless a later attempt moved it to another bucket.
func (s *Store) drop(key string, bucket int64) {
	r := s.records[key]
	if r == nil || bucketOf(r.started) != bucket {
		return
	}
	s.dropAnswer(r)
	s.bytes -= recordBytes + len(key)
	delete(s.records, key)
}
