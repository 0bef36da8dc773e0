package control

import "time"

// A new node serves after it has read the log to its head, or after enough
// peers have sent their state. A single peer may be behind, in which case a
// withdrawn mandate would be served again. Peers are tried first, since reading
// the whole retained log is the larger transfer.

// join marks the node as joined once its state may be served.
func (c *Controller) join() {
	if c.joined || c.state.Version() == 0 {
		return
	}
	responses, tried := c.peers.tally()
	if responses >= 1 && (responses >= c.wantResponses() || tried == len(c.peers.live)) {
		c.joined = true
	}
}

func (c *Controller) wantResponses() int { return min(c.cfg.JoinPeers, len(c.peers.live)) }

// joiningFromPeers reports whether a new node still expects state from peers
// and does not read the log yet.
func (c *Controller) joiningFromPeers(now time.Time) bool {
	if len(c.peers.live) == 0 {
		return now.Sub(c.started) < c.cfg.JoinWait
	}
	return !c.peers.allTried
}

// tally counts the live peers that have responded, and those that have either
// responded or failed.
func (p *peerTable) tally() (responses, tried int) {
	for _, id := range p.live {
		switch {
		case p.responded[id]:
			responses++
			tried++
		case p.failed[id]:
			tried++
		}
	}
	return responses, tried
}

// requestJoinState requests state from peers that have not been tried: the full
// state from one, then only the newer items from the others, so that a full
// state (3.9 MB with 5,800 services) is sent once and not JoinPeers times. When
// the peers had no state or have all failed, it makes another attempt later.
func (c *Controller) requestJoinState(now time.Time) {
	p := &c.peers
	responses, tried := p.tally()
	if len(p.live) > 0 && (responses >= c.wantResponses() || tried == len(p.live)) {
		p.allTried = true
		clear(p.failed)
		clear(p.responded)
		p.nextJoinAttempt = now.Add(c.jitter(c.cfg.PeerTimeout))
		return
	}
	if now.Before(p.nextJoinAttempt) {
		return
	}
	limit := 1
	if c.state.Version() > 0 {
		limit = c.cfg.JoinPeers - responses
	}
	for _, i := range c.rng.Perm(len(p.live)) {
		if len(p.pending) >= limit {
			return
		}
		id := p.live[i]
		if _, sent := p.pending[id]; !sent && !p.responded[id] && !p.failed[id] {
			c.requestState(now, id)
		}
	}
}
