package control

import "hyssopbridge/platformlog"

// maxScanRounds bounds the unfinished rounds that a scan keeps. Several readers
// may write rounds at the same time.
const maxScanRounds = 8

// scanner looks for a checkpoint round in the retained part of the log. The
// state stays in force meanwhile.
type scanner struct {
	first  int64 // first retained offset when the scan began
	next   int64 // next offset to read
	rounds map[string]*roundParts
}

// roundParts collects the parts of one round.
type roundParts struct {
	parts []Update
	have  []bool
	count int
}

func newScanner(first int64) *scanner {
	return &scanner{first: first, next: first, rounds: make(map[string]*roundParts)}
}

// startScan begins a scan at the first retained offset, unless the state
// already reaches it.
func (c *Controller) startScan(first int64) {
	c.log.first = max(c.log.first, first)
	if c.state.Version() >= first-1 {
		c.log.scan = nil
		return
	}
	c.log.scan = newScanner(first)
}

// endScan ends a scan if the state reaches the retained part, for example
// after a peer's update.
func (c *Controller) endScan() {
	if s := c.log.scan; s != nil && c.state.Version() >= s.first-1 {
		c.log.scan = nil
		c.log.next = c.log.sent
	}
}

func (c *Controller) scanEntries(entries []platformlog.Entry) {
	if c.log.scan.restore(c.state, entries) {
		c.log.scan = nil
		c.log.next = c.log.sent
	}
}

// restore takes entries, and reports whether the state now is that of a round.
func (s *scanner) restore(state *State, entries []platformlog.Entry) bool {
	for i := range entries {
		s.next = entries[i].Offset + 1
		u, ok := s.add(&entries[i])
		if !ok {
			continue
		}
		if adopted, _ := state.ApplyUpdate(u); adopted {
			return true
		}
	}
	return false
}

// add takes an entry and returns the state of a round that it completes.
func (s *scanner) add(e *platformlog.Entry) (Update, bool) {
	r, err := DecodeRecord(e.Data)
	if err != nil || r.Kind != KindCheckpoint {
		return Update{}, false
	}
	part := r.Checkpoint.Part
	// Records after `through` that are no longer retained would be missing
	// from the state: the round would bring back what they replaced.
	if part.To < s.first-1 {
		return Update{}, false
	}
	round := s.round(r.Checkpoint.Round, part.Parts)
	if round == nil || !round.add(part) {
		return Update{}, false
	}
	delete(s.rounds, r.Checkpoint.Round)
	u, err := Join(round.parts)
	return u, err == nil
}

func (s *scanner) round(id string, parts int) *roundParts {
	round := s.rounds[id]
	if round == nil {
		s.dropOldest()
		round = &roundParts{parts: make([]Update, parts), have: make([]bool, parts)}
		s.rounds[id] = round
	}
	if len(round.parts) != parts {
		return nil
	}
	return round
}

// dropOldest makes room for another round.
func (s *scanner) dropOldest() {
	if len(s.rounds) < maxScanRounds {
		return
	}
	var oldest string
	for id, round := range s.rounds {
		if oldest == "" || round.through() < s.rounds[oldest].through() {
			oldest = id
		}
	}
	delete(s.rounds, oldest)
}

func (p *roundParts) through() int64 {
	for i, have := range p.have {
		if have {
			return p.parts[i].To
		}
	}
	return 0
}

// add stores a part and reports whether the round is complete.
func (p *roundParts) add(part Update) bool {
	if !p.have[part.Part] {
		p.have[part.Part] = true
		p.parts[part.Part] = part
		p.count++
	}
	return p.count == len(p.parts)
}
