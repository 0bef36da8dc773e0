package once

// Finished records that an attempt ran and stores its answer. Answers over
// Config.MaxAnswer, or without room, are not kept. It reports whether the
// attempt is the latest of its key.
func (s *Store) Finished(key Key, attempt uint32, a *Answer) bool {
	scoped := key.Scoped()
	r := s.ended(scoped, attempt, Answered)
	if r == nil {
		return false
	}
	s.keep(scoped, r, a)
	return true
}

// NotRun records proof that an attempt was not run and will not be run.
func (s *Store) NotRun(key Key, attempt uint32) bool {
	return s.ended(key.Scoped(), attempt, NotRun) != nil
}

// Unknown records that an attempt may have run. Finished and NotRun may still
// follow when its outcome becomes known.
func (s *Store) Unknown(key Key, attempt uint32) bool {
	return s.ended(key.Scoped(), attempt, Unknown) != nil
}

// ended changes the state of the latest attempt. An answer is final.
func (s *Store) ended(scoped string, attempt uint32, state State) *record {
	r := s.records[scoped]
	if r == nil || r.attempt != attempt || (r.state != Running && r.state != Unknown) {
		return nil
	}
	r.state = state
	return r
}

// keep stores an answer if it fits.
func (s *Store) keep(scoped string, r *record, a *Answer) {
	n := a.size()
	if a == nil || n > s.cfg.MaxAnswer || !s.shrink(n) {
		return
	}
	r.answer = a
	s.bytes += n
	s.answers = append(s.answers, scoped)
}
