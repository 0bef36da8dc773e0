package control

import (
	"errors"
	"maps"
	"slices"
	"time"

	"hyssopbridge/fleet"
)

// peerTable holds what is known of the other live nodes.
type peerTable struct {
	live     []string         // IDs of live peers, sorted
	versions map[string]int64 // highest version that a live peer announced
	asked    map[string]time.Time
	answered map[string]bool // peers that have answered; used until the node has joined
	failed   map[string]bool // peers that have not; used until the node has joined
	behind   time.Time       // since when a higher version is known; zero if none
	again    time.Time       // no question before this time, until the node has joined
	tried    bool            // every live peer was tried without success
	full     bool            // the next question is for full state
}

func (p *peerTable) init() {
	p.versions = make(map[string]int64)
	p.asked = make(map[string]time.Time)
	p.answered = make(map[string]bool)
	p.failed = make(map[string]bool)
}

func (p *peerTable) set(live []fleet.Node, self string) {
	p.live = p.live[:0]
	for i := range live {
		if live[i].ID != self {
			p.live = append(p.live, live[i].ID)
		}
	}
	slices.Sort(p.live)
	p.live = slices.Compact(p.live)
	maps.DeleteFunc(p.versions, func(id string, _ int64) bool { return !p.isLive(id) })
}

func (p *peerTable) isLive(id string) bool {
	_, ok := slices.BinarySearch(p.live, id)
	return ok
}

// expire passes over the peers that were asked before a time.
func (p *peerTable) expire(before time.Time) {
	for id, sent := range p.asked {
		if sent.Before(before) {
			p.fail(id)
		}
	}
}

func (p *peerTable) fail(id string) {
	delete(p.asked, id)
	delete(p.versions, id)
	p.failed[id] = true
}

// PeerAnnounced gives the version and log progress that a message of a peer
// carries. The age of p is that at the time of receipt.
func (c *Controller) PeerAnnounced(now time.Time, node string, version int64, p Progress) {
	if c.peers.isLive(node) && version > c.state.Version() {
		c.peers.versions[node] = version
	}
	if p.Age >= 0 && p.Age < unknownAge {
		c.log.heard.note(p.Offset, now.Add(-p.Age))
	}
	c.step(now)
}

// UpdateReceived gives the answer to a question, or an update that a peer sent
// unasked.
func (c *Controller) UpdateReceived(now time.Time, node string, u Update) {
	delete(c.peers.asked, node)
	_, err := c.state.ApplyUpdate(u)
	switch {
	case err == nil:
		c.peers.answered[node] = true
		c.endScan()
	case errors.Is(err, ErrBadUpdate):
		c.peers.full = u.From > 0
	}
	if err != nil || u.To <= c.state.Version() {
		c.peers.forget(node, c.state.Version(), u.To)
	}
	c.step(now)
}

// forget drops an announced version that the peer's answer did not confirm, so
// that the node does not ask the same peer again and again.
func (p *peerTable) forget(node string, have, to int64) {
	if v := p.versions[node]; v <= have || to < v {
		delete(p.versions, node)
	}
}

// PeerFailed states that a peer did not answer.
func (c *Controller) PeerFailed(now time.Time, node string) {
	c.peers.fail(node)
	c.step(now)
}

// askPeers sends the questions that are due: several at once until the node
// has joined, one at a time when a peer is known to be ahead.
func (c *Controller) askPeers(now time.Time) {
	if !c.joined {
		c.askToJoin(now)
		return
	}
	node := c.peers.ahead(c.state.Version())
	if node == "" {
		c.peers.behind = time.Time{}
		return
	}
	if c.peers.behind.IsZero() {
		c.peers.behind = now
	}
	if len(c.peers.asked) == 0 && now.Sub(c.peers.behind) >= c.cfg.CatchUpDelay {
		c.ask(now, node)
	}
}

func (c *Controller) ask(now time.Time, node string) {
	since := c.state.Version()
	if c.peers.full {
		since, c.peers.full = 0, false
	}
	c.peers.asked[node] = now
	c.out.StateRequests = append(c.out.StateRequests, StateRequest{Node: node, Since: since})
}

// ahead returns the peer that announced the highest version above have.
func (p *peerTable) ahead(have int64) string {
	var best string
	for id, v := range p.versions {
		if v <= have {
			continue
		}
		if best == "" || v > p.versions[best] || v == p.versions[best] && id < best {
			best = id
		}
	}
	return best
}
