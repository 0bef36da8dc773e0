package mesh

import (
	"context"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"hyssopbridge/config/dynamic"
	"hyssopbridge/limits"
	"hyssopbridge/resultcode"
)

const (
	// quotaWaitShare is the fraction of its objective for which a request waits
	// for the decision on its customer's quota, up to maxQuotaWait. That is time
	// for a node to notice that the owner is lost and to ask its successor.
	quotaWaitShare = 0.5
	maxQuotaWait   = 800 * time.Millisecond
	// quotaPoll is how often a waiting request checks whether its question has
	// to be repeated.
	quotaPoll = 25 * time.Millisecond
	// undecidedRetryAfter is the wait suggested to a caller if no node decided
	// on the quota.
	undecidedRetryAfter = 500 * time.Millisecond
	// quotaKeyScope separates the keys of customers' quotas from others.
	quotaKeyScope = "customer"
)

// Metrics of quotas; docs/METRICS-PLATFORM.md describes them.
const (
	metricQuotaGranted   = "mesh_quota_requests_total.granted"
	metricQuotaRefused   = "mesh_quota_requests_total.refused"
	metricQuotaUndecided = "mesh_quota_requests_total.undecided"
	metricQuotaRefunded  = "mesh_quota_refunds_total"
	metricQuotaSent      = "mesh_quota_messages_total.sent"
	metricQuotaAnswered  = "mesh_quota_messages_total.answered"
)

// quotaDatagram is the first byte of datagrams about quotas. Heartbeats are CBOR
// arrays and begin with another byte.
const quotaDatagram = 'Q'

// quotaMessage is the datagram between a node and the owner of quotas. The
// answer to a message with requests has one grant for each.
type quotaMessage struct {
	_        struct{} `cbor:",toarray"`
	Answer   bool
	Ready    bool  // the sender may own quotas
	Session  int64 // start of the process that asks, Unix time in milliseconds
	Requests []limits.QuotaRequest
	Grants   []limits.QuotaGrant
}

// QuotaPolicy is the tolerance within which the quotas of customers must hold at
// all nodes together.
type QuotaPolicy = limits.QuotaPolicy

// quotas bounds the requests of customers at all nodes together. limits.Quotas
// decides; this type is its transport.
type quotas struct {
	core    *limits.Quotas
	now     func() time.Duration
	session int64
	send    func(b []byte, to netip.AddrPort)
	metrics *metrics
}

// charge is the token that a request holds.
type charge struct {
	quotas *quotas
	key    limits.RateKey
	taken  time.Duration
}

// refund credits the token back. The request must not run any more.
func (c *charge) refund() {
	if c != nil {
		c.quotas.metrics.count(metricQuotaRefunded)
		c.quotas.core.Refund(c.quotas.now(), c.key, c.taken)
	}
}

// take takes a token of the customer's quota. The charge is nil if the customer
// has none.
func (q *quotas) take(ctx context.Context, customer *dynamic.Customer, version int64, objective time.Duration) (*charge, error) {
	if customer == nil || !customer.Quota.Limited() {
		return nil, nil
	}
	c := &charge{q, limits.NewRateKey(quotaKeyScope, customer.Name), q.now()}
	rate := limits.Rate{PerSecond: customer.Quota.PerSecond, Burst: customer.Quota.Burst}
	wait := min(time.Duration(quotaWaitShare*float64(objective)), maxQuotaWait)
	ticket := q.core.Want(c.taken, c.key, rate, version, wait)
	q.flush()
	d, ok := q.await(ctx, c.key, ticket)
	switch {
	case !ok:
		return nil, notRun(resultcode.CallerGone, "caller disconnected while the quota was checked")
	case d.Granted:
		q.metrics.count(metricQuotaGranted)
		return c, nil
	case d.Undecided:
		q.metrics.count(metricQuotaUndecided)
		return nil, refusedError{notRun(resultcode.QuotaUndecided, "no node decided on the quota of customer %q within %v", customer.Name, wait), undecidedRetryAfter}
	}
	q.metrics.count(metricQuotaRefused)
	return nil, refusedError{notRun(resultcode.RateLimited, "customer %q is over its quota of %g requests/s", customer.Name, customer.Quota.PerSecond), d.Retry}
}

// await returns the decision on a ticket. ok is false if the caller left.
func (q *quotas) await(ctx context.Context, key limits.RateKey, ticket *limits.QuotaTicket) (d limits.QuotaDecision, ok bool) {
	select {
	case d = <-ticket.Done():
		return d, true
	default:
	}
	poll := time.NewTicker(quotaPoll)
	defer poll.Stop()
	for {
		select {
		case d = <-ticket.Done():
			return d, true
		case <-ctx.Done():
			q.core.Cancel(q.now(), key, ticket)
			return d, false
		case <-poll.C:
			q.core.Poll(q.now(), key)
			q.flush()
		}
	}
}

// flush sends the messages that are due.
func (q *quotas) flush() {
	for _, m := range q.core.Messages() {
		to, err := netip.ParseAddrPort(m.To)
		if err != nil {
			continue // not an address that this node has learned from a datagram
		}
		if m.Grants != nil {
			q.transmit(quotaMessage{Answer: true, Session: m.Session, Grants: m.Grants}, to)
			continue
		}
		q.metrics.count(metricQuotaSent)
		q.transmit(quotaMessage{Session: q.session, Requests: m.Requests}, to)
	}
}

func (q *quotas) transmit(m quotaMessage, to netip.AddrPort) {
	m.Ready = q.core.Ready()
	b, err := cbor.Marshal(m)
	if err != nil {
		return // the types above can always be encoded
	}
	q.send(append([]byte{quotaDatagram}, b...), to)
}

// handle handles a datagram of a known node. It reports whether the datagram was
// valid.
func (q *quotas) handle(b []byte, from netip.AddrPort) bool {
	var m quotaMessage
	if err := cbor.Unmarshal(b, &m); err != nil {
		return false
	}
	if m.Answer {
		if m.Session == q.session {
			q.core.HandleGrants(q.now(), from.String(), m.Ready, m.Grants)
		}
	} else {
		q.metrics.count(metricQuotaAnswered)
		grants := q.core.HandleRequests(q.now(), from.String(), m.Session, m.Requests)
		q.transmit(quotaMessage{Answer: true, Session: m.Session, Grants: grants}, from)
	}
	q.flush()
	return true
}

// tick passes on what is known of the other nodes.
func (q *quotas) tick(fleet quotaFleet) {
	now := q.now()
	q.core.SetNodes(now, fleet.nodes, fleet.size, fleet.silence)
	q.core.Tick(now)
	q.flush()
}

// quotaFleet is what a node knows of the others.
type quotaFleet struct {
	nodes   []limits.QuotaNode
	size    int           // nodes of the fleet, with silent ones
	silence time.Duration // longest expected silence of a whole zone
	// liveInZone is the number of other nodes of the own zone that were heard
	// recently.
	liveInZone int
}

const (
	// liveTimeout is how recently a node of the own zone must have been heard to
	// count as live for quotas. It leaves room for one lost heartbeat.
	liveTimeout = 2200 * time.Millisecond
	// minSilentBeats and minSilentBeatsOfNode bound the expected silence of
	// another zone: so many heartbeats of the zone, which arrive at random times,
	// but not more than so many of a single node.
	minSilentBeats       = 12
	minSilentBeatsOfNode = 3
)

// quotaFleet returns what quotas have to know of the other nodes. The caller
// holds p.mu.
func (p *peers) quotaFleet(now time.Duration, zone string, crossZone time.Duration) quotaFleet {
	f := quotaFleet{size: max(len(p.byAddr)+1, p.statedSize(now))}
	perZone := map[string]int{}
	for addr, q := range p.byAddr {
		if !q.known || q.silent {
			continue
		}
		f.nodes = append(f.nodes, limits.QuotaNode{ID: addr.String(), Zone: q.last.Zone, Ready: q.last.Flags&flagOwnsQuotas != 0, Heard: q.lastHeard})
		perZone[q.last.Zone]++
		if q.last.Zone == zone && now-q.lastHeard < liveTimeout {
			f.liveInZone++
		}
	}
	for other, nodes := range perZone {
		if other != zone {
			f.silence = max(f.silence, min(minSilentBeatsOfNode*crossZone, minSilentBeats*crossZone/time.Duration(nodes)))
		}
	}
	return f
}

// statedSizeMemory is how recently another node must have stated the size of the
// fleet. A process that has just started learns it so before it knows all nodes.
const statedSizeMemory = 10 * time.Second

// statedSize returns the largest size of the fleet that another node has stated
// recently.
func (p *peers) statedSize(now time.Duration) int {
	size := 0
	for _, q := range p.byAddr {
		if q.known && now-q.lastHeard < statedSizeMemory {
			size = max(size, q.last.FleetSize)
		}
	}
	return size
}

// SetQuotaPolicy replaces the tolerance within which quotas must hold.
func (n *Node) SetQuotaPolicy(p QuotaPolicy) { n.quotas.core.SetPolicy(p) }
