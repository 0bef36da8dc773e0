package control

import "time"

// A new node serves after it has read the log to its head, or after enough
// peers have given their state. A single peer may be behind and would let a
// withdrawn mandate serve again. Peers are asked first, since a read of the
// whole retained log is the larger transfer.

// join decides whether the state may be served.
func (c *Controller) join() {
	if c.joined || c.state.Version() == 0 {
		return
	}
	answers, tried := c.peers.tally()
	if answers >= 1 && (answers >= c.wantAnswers() || tried == len(c.peers.live)) {
		c.joined = true
	}
}

func (c *Controller) wantAnswers() int { return min(c.cfg.JoinPeers, len(c.peers.live)) }

// joiningFromPeers reports whether a new node still expects state from peers
// and leaves the log alone.
func (c *Controller) joiningFromPeers(now time.Time) bool {
	if len(c.peers.live) == 0 {
		return now.Sub(c.started) < c.cfg.JoinWait
	}
	return !c.peers.tried
}

// tally counts the live peers that have answered, and those that have either
// answered or failed to.
func (p *peerTable) tally() (answers, tried int) {
	for _, id := range p.live {
		switch {
		case p.answered[id]:
			answers++
			tried++
		case p.failed[id]:
			tried++
		}
	}
	return answers, tried
}

// askToJoin asks peers that have not been tried: one for the whole state, then
// the others for what they have beyond it, so that a full state (3.9 MB with
// 5,800 services) is sent once and not JoinPeers times. When the peers had no state or have all failed, it begins again later.
func (c *Controller) askToJoin(now time.Time) {
	p := &c.peers
	answers, tried := p.tally()
	if len(p.live) > 0 && (answers >= c.wantAnswers() || tried == len(p.live)) {
		p.tried = true
		clear(p.failed)
		clear(p.answered)
		p.again = now.Add(c.jitter(c.cfg.PeerTimeout))
		return
	}
	if now.Before(p.again) {
		return
	}
	open := 1
	if c.state.Version() > 0 {
		open = c.cfg.JoinPeers - answers
	}
	for _, i := range c.rng.Perm(len(p.live)) {
		if len(p.asked) >= open {
			return
		}
		id := p.live[i]
		if _, asked := p.asked[id]; !asked && !p.answered[id] && !p.failed[id] {
			c.ask(now, id)
		}
	}
}
