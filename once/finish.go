package once

// Finished records that an attempt ran and stores its response, unless the
// response exceeds Config.MaxResponse or there is no room. It reports whether the attempt
// is the latest of its key and was still open.
func (s *Store) Finished(key Key, attempt uint32, a *Response) bool {
	scoped := key.Scoped()
	r := s.endAttempt(scoped, attempt, Answered)
	if r == nil {
		return false
	}
	s.storeResponse(scoped, r, a)
	return true
}

// NotRun records that an attempt is proven not to have run and not to run
// later.
func (s *Store) NotRun(key Key, attempt uint32) bool {
	return s.endAttempt(key.Scoped(), attempt, NotRun) != nil
}

// Unknown records that an attempt may have run. Finished and NotRun may still
// follow when its outcome becomes known.
func (s *Store) Unknown(key Key, attempt uint32) bool {
	return s.endAttempt(key.Scoped(), attempt, Unknown) != nil
}

// endAttempt sets the state of the latest attempt and returns its record, or
// nil if the attempt is not the latest or has already ended. Unknown may still
// change; other states are final.
func (s *Store) endAttempt(scoped string, attempt uint32, state State) *record {
	r := s.records[scoped]
	if r == nil || r.attempt != attempt || (r.state != Running && r.state != Unknown) {
		return nil
	}
	r.state = state
	return r
}

// storeResponse stores a response if there is room for it.
func (s *Store) storeResponse(scoped string, r *record, a *Response) {
	n := a.size()
	if a == nil || n > s.cfg.MaxResponse || !s.evictResponses(n) {
		return
	}
	r.response = a
	s.bytes += n
	s.responseOrder = append(s.responseOrder, scoped)
}
