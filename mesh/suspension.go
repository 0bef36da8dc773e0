package mesh

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"
)

const (
	// suspensionGap is the time without a step of the heartbeat loop after which
	// the process was suspended. A shorter pause ends before a new version has
	// to be in force.
	suspensionGap = 2 * time.Second
	// maxUnconfirmed is how long a node that was suspended refuses requests while
	// no other node confirms its version. A node that is cut off for longer
	// serves its callers by the version that it has.
	maxUnconfirmed = 5 * time.Second
	// confirmInterval is the pause between attempts to get a confirmation.
	confirmInterval = 250 * time.Millisecond
	// confirmTimeout bounds the wait for the version of another node.
	confirmTimeout = time.Second
	// maxConfirmNodes bounds the nodes that are asked in one attempt.
	maxConfirmNodes = 3
)

// suspension notices that the process was suspended. Its configuration may be
// out of date by any number of versions then, and datagrams that still wait in
// its socket are as old, so it counts as behind until another node has answered
// that it knows no newer version.
type suspension struct {
	now      func() time.Duration
	log      *eventLog
	lastStep atomic.Int64 // time of the latest step of the heartbeat loop
	// unconfirmed is when the latest suspension was noticed; 0 if the version is
	// confirmed since.
	unconfirmed atomic.Int64
	// confirm asks other nodes for a newer version and puts it in force. It
	// returns an error if none answered.
	confirm func(ctx context.Context) error
}

// step is called in each step of the heartbeat loop.
func (s *suspension) step() {
	now := s.now()
	if gap := now - time.Duration(s.lastStep.Load()); gap > suspensionGap {
		s.log.suspended(gap)
		if s.unconfirmed.Swap(int64(now)) == 0 {
			go s.awaitConfirmation()
		}
	}
	s.lastStep.Store(int64(now)) // last, so that confirmed never reports true in between
}

// awaitConfirmation returns once the version is confirmed, or maxUnconfirmed after
// the latest suspension. An answer from before a further suspension does not
// count: the version may be out of date again.
func (s *suspension) awaitConfirmation() {
	for {
		since := s.unconfirmed.Load()
		s.confirmSince(time.Duration(since))
		if s.unconfirmed.CompareAndSwap(since, 0) {
			return
		}
	}
}

// confirmSince asks until other nodes confirm the version, for at most
// maxUnconfirmed from since.
func (s *suspension) confirmSince(since time.Duration) {
	for s.now()-since < maxUnconfirmed {
		ctx, cancel := context.WithTimeout(context.Background(), maxUnconfirmed-(s.now()-since))
		err := s.confirm(ctx)
		cancel()
		if err == nil {
			return
		}
		time.Sleep(confirmInterval)
	}
}

// confirmed reports whether the version in force may be relied on.
func (s *suspension) confirmed() bool {
	return s.unconfirmed.Load() == 0 && s.now()-time.Duration(s.lastStep.Load()) <= suspensionGap
}

// confirmVersion asks other nodes, preferably of the own zone, whether they have
// a newer configuration. It returns nil once one has answered and its version is in
// force.
func (n *Node) confirmVersion(ctx context.Context) error {
	addrs := n.peers.addrsToConfirm()
	if len(addrs) == 0 {
		return nil // the node is alone, and nobody knows more
	}
	type answer struct {
		addr    string
		version int64
		err     error
	}
	answers := make(chan answer, len(addrs))
	asking, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	for _, addr := range addrs {
		go func() {
			version, err := n.remote.requestVersion(asking, addr)
			answers <- answer{addr, version, err}
		}()
	}
	var err error
	for range addrs {
		a := <-answers
		if err = a.err; err != nil {
			continue
		}
		if a.version > n.identity().Version {
			err = n.fetchFrom(ctx, a.addr, func() {})
		}
		if a.version <= n.identity().Version {
			return nil
		}
	}
	return fmt.Errorf("no node confirms version %d: %w", n.identity().Version, err)
}

// addrsToConfirm returns some known nodes, whether they seem live or not: after
// a suspension all have been silent.
func (p *peers) addrsToConfirm() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	zone := p.identity().Zone
	var sameZone, otherZones []string
	for _, q := range p.byAddr {
		switch {
		case !q.known:
		case q.last.Zone == zone:
			sameZone = append(sameZone, q.last.Addr)
		default:
			otherZones = append(otherZones, q.last.Addr)
		}
	}
	shuffle := func(s []string) { rand.Shuffle(len(s), func(i, j int) { s[i], s[j] = s[j], s[i] }) }
	shuffle(sameZone)
	shuffle(otherZones)
	// One node of another zone is asked as well, since the zones of a site may
	// be cut off from each other.
	if len(sameZone) >= maxConfirmNodes && len(otherZones) > 0 {
		sameZone = append(sameZone[:maxConfirmNodes-1], otherZones[0])
	} else {
		sameZone = append(sameZone, otherZones...)
	}
	return sameZone[:min(len(sameZone), maxConfirmNodes)]
}
