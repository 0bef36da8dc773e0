package control

import (
	"errors"
	"maps"
	"slices"
	"time"

	"hyssopbridge/fleet"
)

// peerTable tracks the other live nodes and the state requests sent to them.
type peerTable struct {
	live            []string             // IDs of live peers, sorted
	versions        map[string]int64     // highest version that a live peer announced
	pending         map[string]time.Time // when the request in progress was sent, by peer
	responded       map[string]bool      // peers that have responded; used until the node has joined
	failed          map[string]bool      // peers whose request failed; used until the node has joined
	behindSince     time.Time            // when a higher version first became known; zero if none is known
	nextJoinAttempt time.Time            // no request before this time, until the node has joined
	allTried        bool                 // a round of join requests has ended; if it did not suffice, the log is read
	wantFull        bool                 // the next request asks for the full state
}

func (p *peerTable) init() {
	p.versions = make(map[string]int64)
	p.pending = make(map[string]time.Time)
	p.responded = make(map[string]bool)
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

// expireRequests fails the requests that were sent before a time.
func (p *peerTable) expireRequests(before time.Time) {
	for id, sent := range p.pending {
		if sent.Before(before) {
			p.fail(id)
		}
	}
}

func (p *peerTable) fail(id string) {
	delete(p.pending, id)
	delete(p.versions, id)
	p.failed[id] = true
}

// PeerAnnounced records the version and log progress carried by a message of a
// peer. The age in p is relative to the time of receipt.
func (c *Controller) PeerAnnounced(now time.Time, node string, version int64, p Progress) {
	if c.peers.isLive(node) && version > c.state.Version() {
		c.peers.versions[node] = version
	}
	if p.Age >= 0 && p.Age < unknownAge {
		c.log.head.observe(p.Offset, now.Add(-p.Age))
	}
	c.step(now)
}

// UpdateReceived processes the response to a state request, or an update that
// a peer sent without a request.
func (c *Controller) UpdateReceived(now time.Time, node string, u Update) {
	delete(c.peers.pending, node)
	_, err := c.state.ApplyUpdate(u)
	switch {
	case err == nil:
		c.peers.responded[node] = true
		c.endScan()
	case errors.Is(err, ErrBadUpdate):
		c.peers.wantFull = u.From > 0
	}
	if err != nil || u.To <= c.state.Version() {
		c.peers.dropUnconfirmed(node, c.state.Version(), u.To)
	}
	c.step(now)
}

// dropUnconfirmed drops an announced version that the peer's response did not
// confirm, so that the node does not request it from the same peer repeatedly.
func (p *peerTable) dropUnconfirmed(node string, have, to int64) {
	if v := p.versions[node]; v <= have || to < v {
		delete(p.versions, node)
	}
}

// PeerFailed reports that a state request to a peer failed.
func (c *Controller) PeerFailed(now time.Time, node string) {
	c.peers.fail(node)
	c.step(now)
}

// requestFromPeers sends the state requests that are due: several at once until
// the node has joined, then one at a time when a peer is known to be ahead.
func (c *Controller) requestFromPeers(now time.Time) {
	if !c.joined {
		c.requestJoinState(now)
		return
	}
	node := c.peers.mostAhead(c.state.Version())
	if node == "" {
		c.peers.behindSince = time.Time{}
		return
	}
	if c.peers.behindSince.IsZero() {
		c.peers.behindSince = now
	}
	if len(c.peers.pending) == 0 && now.Sub(c.peers.behindSince) >= c.cfg.CatchUpDelay {
		c.requestState(now, node)
	}
}

func (c *Controller) requestState(now time.Time, node string) {
	since := c.state.Version()
	if c.peers.wantFull {
		since, c.peers.wantFull = 0, false
	}
	c.peers.pending[node] = now
	c.out.StateRequests = append(c.out.StateRequests, StateRequest{Node: node, Since: since})
}

// mostAhead returns the peer that announced the highest version above have.
func (p *peerTable) mostAhead(have int64) string {
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
