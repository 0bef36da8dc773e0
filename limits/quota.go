package limits

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// QuotaRequest asks the owner of a customer's quota for tokens. A node sends the
// next request for a key only once the last one is answered or given up, and
// repeats it unchanged until then.
type QuotaRequest struct {
	_         struct{} `cbor:",toarray"`
	Key       RateKey
	Seq       uint32 // rises with each request of a process
	Want      uint32 // tokens asked for
	Version   int64  // version of the configuration that states the quota
	PerSecond float32
	Burst     float32
	Refund    uint32 // earlier tokens whose requests did not run
	RefundAge uint32 // age of the oldest of them, in ms
	// Avoids is set if the sender has lost contact with a node that comes before
	// the receiver. If the receiver has not, it relays the request.
	Avoids bool
	// Relayed is set if the request was received from another node. It is not
	// relayed again.
	Relayed bool
}

// QuotaGrant is the owner's answer to a QuotaRequest.
type QuotaGrant struct {
	_       struct{} `cbor:",toarray"`
	Key     RateKey
	Seq     uint32
	Granted uint32 // tokens granted; they are deducted from the bucket
	RetryMS uint32 // if fewer than Want: time in ms until the missing tokens may be there
	// NotOwner is set if the node does not own the key, and Owner is then the
	// node that does, if there is one.
	NotOwner bool
	Owner    string
}

// QuotaMessage is a batch of requests for one node, or the answer to a request
// that was relayed. Without either it is a probe, which any node answers with no
// grants.
type QuotaMessage struct {
	To       string
	Requests []QuotaRequest
	Session  int64 // of the answer
	Grants   []QuotaGrant
}

// MaxQuotaBatch is the maximum number of requests in one QuotaMessage. Both the
// message and the answer fit into a datagram.
const MaxQuotaBatch = 20

// QuotaNode is another node that may own keys.
type QuotaNode struct {
	ID    string
	Zone  string
	Ready bool          // the node has run long enough to own keys
	Heard time.Duration // when the node last said so
}

// QuotaDecision is the decision on one request of a customer.
type QuotaDecision struct {
	Granted bool
	// Undecided is set if no owner answered in time.
	Undecided bool
	// Retry is the time after which a refused request may be repeated.
	Retry time.Duration
}

// QuotaTicket is a request of a customer that waits for its decision.
type QuotaTicket struct {
	done     chan QuotaDecision
	asked    time.Duration
	until    time.Duration
	canceled bool
	refused  bool // the owner had no token when it was last asked
	relay    *quotaRelay
}

// Done returns a channel that receives the decision.
func (t *QuotaTicket) Done() <-chan QuotaDecision { return t.done }

const (
	// quotaResend is the time after which an unanswered request is repeated.
	// Nodes with little processor time pause for up to 100 ms.
	quotaResend = 80 * time.Millisecond
	// suspectAfter and suspectAsks are the time and the number of unanswered
	// messages after which a node is taken for lost until it is heard again.
	suspectAfter = 250 * time.Millisecond
	suspectAsks  = 3
	// shortRetry is the longest time for which a request waits for a token that
	// the owner expects, instead of being refused. It waits so once.
	shortRetry = 250 * time.Millisecond
	// maxDry is the longest time for which a node refuses the requests of a
	// customer over its quota without asking the owner again.
	maxDry = time.Second
	// minReadyAge is the time after its start at which a node that has heard
	// others may own keys. By then it knows the fleet.
	minReadyAge = time.Second
	// suspensionGap is the time between two steps of a process that runs at all
	// after which it was suspended.
	suspensionGap = 600 * time.Millisecond
	// refundFlush is how long refunds wait for a request that goes anyway.
	refundFlush = 250 * time.Millisecond
	// quotaIdle is the time after which unused state of a key is dropped.
	quotaIdle = 30 * time.Second
)

// Quotas is one node's part of the fleet-wide quotas. It asks the owner of a
// customer's quota for a token for each request, and it owns the quotas of some
// customers itself. It sends nothing: Messages returns what is to be sent. Its
// methods are safe for concurrent use.
//
// A token is used only after the owner has deducted it, so that the quota holds
// however many nodes there are, and whatever messages are lost.
type Quotas struct {
	mu       sync.Mutex
	self     string
	selfHash uint64
	started  time.Duration
	lastStep time.Duration
	ready    bool
	policy   QuotaPolicy
	share    *FleetShare
	nodes    map[string]*quotaPeer
	usable   []*quotaPeer // other nodes that may own keys now
	// ownedSince is the credit at which this node may have become the owner of
	// further keys. New buckets are filled from there.
	ownedSince float64
	buckets    map[RateKey]*quotaBucket
	entries    map[RateKey]*quotaEntry
	relays     map[relayKey]*quotaRelay
	seq        uint32
	outbox     []QuotaMessage
	retired    bool
}

type quotaPeer struct {
	QuotaNode
	hash      uint64
	asks      int // messages since the node was last heard
	firstAsk  time.Duration
	lastAsk   time.Duration
	lastHeard time.Duration
	// statedReady is what an answer said at statedAt, which counts until a later
	// heartbeat.
	statedReady bool
	statedAt    time.Duration
	usable      bool // may own keys now
}

func (p *quotaPeer) ready() bool {
	if p.statedAt > p.Heard {
		return p.statedReady
	}
	return p.Ready
}

// stateReady records whether an answer said that the node is ready.
func (p *quotaPeer) stateReady(now time.Duration, ready bool) { p.statedReady, p.statedAt = ready, now }

func (p *quotaPeer) suspect(now time.Duration) bool {
	return p.asks >= suspectAsks && now-p.firstAsk >= suspectAfter
}

// quotaEntry is the state of a key that this node uses.
type quotaEntry struct {
	rate    Rate
	version int64
	queue   []*QuotaTicket // not yet asked for
	asked   []*QuotaTicket // asked for by the pending request
	// pending is the request without an answer; Seq is 0 if there is none.
	pending  QuotaRequest
	to       string // node that was asked
	lastSent time.Duration
	askAt    time.Duration // no request before
	// dryUntil is the time before which the owner is not asked again, and
	// tokenAt the time at which it expects a token.
	dryUntil, tokenAt time.Duration
	refund            uint32
	refundSince       time.Duration // when the oldest refunded token was taken
	refundAt          time.Duration // when it was refunded
	lastUsed          time.Duration
}

// NewQuotas returns the quotas of a node that knows no other nodes.
func NewQuotas(self, zone string, policy QuotaPolicy, now time.Duration) *Quotas {
	return &Quotas{
		self: self, selfHash: xxhash.Sum64String(self), started: now, lastStep: now, policy: policy,
		share: NewFleetShare(now, zone), nodes: map[string]*quotaPeer{},
		buckets: map[RateKey]*quotaBucket{}, entries: map[RateKey]*quotaEntry{}, relays: map[relayKey]*quotaRelay{},
	}
}

// Retire lets this node give up its keys before its process ends, unless there
// is no other node. It still asks for tokens.
func (l *Quotas) Retire(now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.usable) == 0 {
		return
	}
	l.ready, l.retired = false, true
	l.disown(now)
}

// SetPolicy replaces the tolerance.
func (l *Quotas) SetPolicy(p QuotaPolicy) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.policy = p
}

// SetNodes replaces the other nodes that are live. size is the number of nodes
// of the fleet, including this one and nodes that have fallen silent recently;
// silence is the longest expected silence of a whole zone.
func (l *Quotas) SetNodes(now time.Duration, nodes []QuotaNode, size int, silence time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.step(now)
	l.share.SetFleet(size, silence)
	known := make(map[string]*quotaPeer, len(nodes))
	for _, n := range nodes {
		p := l.nodes[n.ID]
		if p == nil {
			p = &quotaPeer{hash: xxhash.Sum64String(n.ID)}
		}
		p.QuotaNode = n
		known[n.ID] = p
	}
	l.nodes = known
	l.updateUsable(now)
}

// Heard records that a node was heard, and how many other nodes of its zone are
// live, by the count of that zone.
func (l *Quotas) Heard(now time.Duration, id, zone string, live int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.step(now)
	isolated := l.share.Isolated(now)
	inContact := l.share.InContact(now, zone)
	l.share.Heard(now, zone, live)
	suspect := l.heardFrom(now, id)
	if suspect || isolated || !inContact {
		l.updateUsable(now)
	}
}

// heardFrom reports whether the node was taken for lost until now.
func (l *Quotas) heardFrom(now time.Duration, id string) bool {
	p := l.nodes[id]
	if p == nil {
		return false
	}
	suspect := p.suspect(now)
	p.asks, p.lastHeard = 0, now
	l.share.Contact(now, p.Zone)
	return suspect
}

// Ready reports whether this node may own keys.
func (l *Quotas) Ready() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ready
}

// Tick must be called several times a second. It repeats requests, sends refunds
// and drops idle state.
func (l *Quotas) Tick(now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.step(now)
	l.updateUsable(now)
	for key, e := range l.entries {
		l.advance(now, key, e)
		if now-e.lastUsed > quotaIdle && e.idle() {
			delete(l.entries, key)
		}
	}
	for key, r := range l.relays {
		if now-r.at > answerMemory {
			delete(l.relays, key)
		}
	}
	s := l.supply(now)
	for key, b := range l.buckets {
		b.forgetAnswers(now)
		b.fill(s) // also cuts a bucket to a share that has fallen
		if now-b.lastUsed > quotaIdle && b.tokens >= b.limit(s) && l.credit(now)-l.ownedSince >= b.fillTime(s) {
			delete(l.buckets, key)
		}
	}
}

// fillTime returns the credit that fills the empty bucket.
func (b *quotaBucket) fillTime(s supply) float64 { return b.limit(s) / max(b.rate.PerSecond, 1e-9) }

func (e *quotaEntry) idle() bool {
	return len(e.queue) == 0 && len(e.asked) == 0 && e.refund == 0 && e.pending.Seq == 0
}

// step notices suspensions of the process: other nodes own its keys since then.
func (l *Quotas) step(now time.Duration) {
	if now-l.lastStep > suspensionGap {
		l.disown(now)
	}
	l.lastStep = max(l.lastStep, now)
	if !l.ready && !l.retired && ((now-l.started >= minReadyAge && l.share.lastHeard > l.started) || l.share.Isolated(now)) {
		l.ready = true
		l.disown(now)
	}
}

// disown empties the buckets of this node.
func (l *Quotas) disown(now time.Duration) {
	clear(l.buckets)
	l.ownFromNow(now)
}

// ownFromNow lets the buckets of further keys be filled from now on.
func (l *Quotas) ownFromNow(now time.Duration) {
	l.ownedSince = l.credit(now)
	l.share.Forfeit(now)
}

func (l *Quotas) credit(now time.Duration) float64 { return l.share.Credit(now) }

func (l *Quotas) supply(now time.Duration) supply {
	return supply{now, l.credit(now), l.share.Share(now), l.policy}
}

// updateUsable determines which other nodes may own keys. If one is lost, this
// node may become the owner of its keys; if one is added, it may lose some.
func (l *Quotas) updateUsable(now time.Duration) {
	lost, gained := false, false
	isolated := l.share.Isolated(now)
	for _, p := range l.usable {
		lost = lost || l.nodes[p.ID] != p
	}
	l.usable = l.usable[:0]
	for _, p := range l.nodes {
		usable := !isolated && p.ready() && !p.suspect(now) && l.share.InContact(now, p.Zone)
		lost = lost || (p.usable && !usable)
		gained = gained || (usable && !p.usable)
		if p.usable = usable; usable {
			l.usable = append(l.usable, p)
		}
	}
	if lost {
		l.ownFromNow(now)
	}
	if !gained {
		return
	}
	for key := range l.buckets {
		if l.ownerOf(key) != l.self {
			delete(l.buckets, key)
		}
	}
}

// ownerOf returns the node that owns the key by rendezvous hashing, or "" if
// none does.
func (l *Quotas) ownerOf(key RateKey) string {
	var best uint64
	owner := ""
	consider := func(id string, hash uint64) {
		if score := mix(hash ^ uint64(key)); owner == "" || score > best || (score == best && id > owner) {
			best, owner = score, id
		}
	}
	if l.ready {
		consider(l.self, l.selfHash)
	}
	for _, p := range l.usable {
		consider(p.ID, p.hash)
	}
	return owner
}

// Want asks for a token for one request. The caller must call Poll until the
// ticket is decided, and Cancel if it no longer waits. The request waits for at
// most wait.
func (l *Quotas) Want(now time.Duration, key RateKey, r Rate, version int64, wait time.Duration) *QuotaTicket {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.step(now)
	t := &QuotaTicket{done: make(chan QuotaDecision, 1), asked: now, until: now + wait}
	e := l.entries[key]
	if e == nil {
		e = &quotaEntry{}
		l.entries[key] = e
	}
	e.lastUsed = now
	if version >= e.version {
		e.rate, e.version = r, version
	}
	if now < e.dryUntil {
		t.decide(QuotaDecision{Retry: e.tokenAt - now})
		return t
	}
	e.queue = append(e.queue, t)
	l.advance(now, key, e)
	return t
}

// Poll repeats the request for a key if that is due.
func (l *Quotas) Poll(now time.Duration, key RateKey) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.step(now)
	if e := l.entries[key]; e != nil {
		l.advance(now, key, e)
	}
}

// Cancel gives up a ticket. Its token is credited back if it was granted.
func (l *Quotas) Cancel(now time.Duration, key RateKey, t *QuotaTicket) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t.canceled = true
	select {
	case d := <-t.done:
		if d.Granted {
			l.refund(now, key, t.asked, 1)
		}
	default:
	}
}

// Refund credits back the token of a request that did not run. taken is when
// the request asked for it.
func (l *Quotas) Refund(now time.Duration, key RateKey, taken time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refund(now, key, taken, 1)
}

// refund credits back tokens, the oldest of which was taken at the given time.
func (l *Quotas) refund(now time.Duration, key RateKey, taken time.Duration, tokens uint32) {
	e := l.entries[key]
	if e == nil || tokens == 0 {
		return // the key has been idle for so long that its bucket is full, or nothing is credited
	}
	if e.refund == 0 {
		e.refundSince, e.refundAt = taken, now
	}
	e.refund += tokens
	e.refundSince = min(e.refundSince, taken)
}

func (t *QuotaTicket) decide(d QuotaDecision) {
	if t.relay != nil {
		t.relay.decided(d)
		return
	}
	select {
	case t.done <- d:
	default: // decided before
	}
}

// Messages returns the messages to send and forgets them. A message that is lost
// is repeated.
func (l *Quotas) Messages() []QuotaMessage {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := l.outbox
	l.outbox = nil
	return out
}

// advance sends the next request for a key, or repeats the pending one, if that
// is due.
func (l *Quotas) advance(now time.Duration, key RateKey, e *quotaEntry) {
	l.expire(now, e)
	owner := l.ownerOf(key)
	if e.pending.Seq != 0 {
		switch {
		case owner != e.to:
			l.giveUpPending(e)
		case now-e.lastSent >= quotaResend:
			l.send(now, e)
			if owner = l.ownerOf(key); owner != e.to {
				l.giveUpPending(e)
			}
		}
	}
	due := len(e.queue) > 0 && now >= e.askAt || e.refund > 0 && now-e.refundAt >= refundFlush
	if e.pending.Seq != 0 || !due || owner == "" {
		return
	}
	l.seq++
	e.asked, e.queue = e.queue, nil
	e.to = owner
	e.pending = QuotaRequest{
		Key: key, Seq: l.seq, Want: uint32(len(e.asked)), Version: e.version,
		PerSecond: float32(e.rate.PerSecond), Burst: float32(e.rate.Burst), Refund: e.refund,
		Avoids: owner != l.self && l.avoids(key, owner), Relayed: slices.ContainsFunc(e.asked, func(t *QuotaTicket) bool { return t.relay != nil }),
	}
	if owner == l.self {
		l.setRefundAge(now, e)
		l.apply(now, e, l.grant(now, l.self, 0, &e.pending))
		return
	}
	l.send(now, e)
}

// avoids reports whether this node has lost contact with a node that comes
// before the owner of the key.
func (l *Quotas) avoids(key RateKey, owner string) bool {
	if len(l.usable) == len(l.nodes) {
		return false
	}
	best := mix(l.nodes[owner].hash ^ uint64(key))
	for _, p := range l.nodes {
		if !p.usable && p.ready() && mix(p.hash^uint64(key)) >= best {
			return true
		}
	}
	return false
}

// giveUpPending gives up the pending request, whose node no longer owns the key.
// Its refunds are not repeated, since that node may have credited them.
func (l *Quotas) giveUpPending(e *quotaEntry) {
	e.queue = append(e.asked, e.queue...)
	e.asked, e.refund = nil, e.refund-e.pending.Refund
	e.pending = QuotaRequest{}
}

func (l *Quotas) setRefundAge(now time.Duration, e *quotaEntry) {
	e.pending.RefundAge = 0
	if e.pending.Refund > 0 {
		e.pending.RefundAge = uint32((now - e.refundSince).Milliseconds())
	}
}

func (l *Quotas) send(now time.Duration, e *quotaEntry) {
	l.setRefundAge(now, e)
	e.lastSent = now
	l.ask(now, e.to)
	for i := range l.outbox {
		m := &l.outbox[i]
		if m.To == e.to && m.Grants == nil && len(m.Requests) < MaxQuotaBatch {
			m.Requests = append(m.Requests, e.pending)
			return
		}
	}
	l.outbox = append(l.outbox, QuotaMessage{To: e.to, Requests: []QuotaRequest{e.pending}})
}

// ask records that a message is sent to a node.
func (l *Quotas) ask(now time.Duration, id string) {
	p := l.nodes[id]
	if p == nil {
		return
	}
	if p.asks == 0 {
		p.firstAsk = now
	}
	if p.asks == 0 || now-p.lastAsk >= quotaResend/2 {
		p.asks++
		p.lastAsk = now
	}
	if p.suspect(now) {
		l.updateUsable(now)
	}
}

// expire decides the tickets that have waited for too long.
func (l *Quotas) expire(now time.Duration, e *quotaEntry) {
	e.queue = slices.DeleteFunc(e.queue, func(t *QuotaTicket) bool {
		if now > t.until {
			t.decide(QuotaDecision{Undecided: !t.refused, Retry: shortRetry})
		}
		return t.canceled || now > t.until
	})
	for _, t := range e.asked {
		if now > t.until && !t.canceled {
			t.canceled = true // a grant that comes later is credited back
			t.decide(QuotaDecision{Undecided: !t.refused, Retry: shortRetry})
		}
	}
}

// HandleGrants handles the answer of a node, which states whether it is ready to
// own keys.
func (l *Quotas) HandleGrants(now time.Duration, from string, ready bool, grants []QuotaGrant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.step(now)
	changed := l.heardFrom(now, from)
	if p := l.nodes[from]; p != nil && ready != p.ready() {
		p.stateReady(now, ready)
		changed = true
	}
	if changed {
		l.updateUsable(now)
	}
	for _, g := range grants {
		e := l.entries[g.Key]
		if e == nil || e.pending.Seq == 0 || g.Seq != e.pending.Seq || from != e.to {
			continue
		}
		if g.NotOwner {
			l.redirect(now, e, g.Owner)
		} else {
			l.apply(now, e, g)
		}
		l.advance(now, g.Key, e)
	}
}

// redirect handles the answer of a node that does not own the key.
func (l *Quotas) redirect(now time.Duration, e *quotaEntry, owner string) {
	e.queue = append(e.asked, e.queue...)
	e.asked, e.pending = nil, QuotaRequest{}
	e.askAt = now + quotaResend
	if p := l.nodes[owner]; p != nil {
		e.askAt = now
		p.asks = 0
		p.stateReady(now, true)
		l.updateUsable(now)
	}
}

// apply handles the owner's answer to the pending request.
func (l *Quotas) apply(now time.Duration, e *quotaEntry, g QuotaGrant) {
	asked := e.asked
	if e.refund -= e.pending.Refund; e.refund > 0 {
		e.refundAt = now
	}
	key := e.pending.Key
	e.asked, e.pending = nil, QuotaRequest{}
	var back []*QuotaTicket
	retry := time.Duration(g.RetryMS) * time.Millisecond
	for i, t := range asked {
		switch {
		case uint32(i) < g.Granted && t.canceled:
			l.refund(now, key, t.asked, 1)
		case uint32(i) < g.Granted:
			t.decide(QuotaDecision{Granted: true})
		case t.canceled:
		case retry <= shortRetry && now+retry < t.until && !t.refused:
			t.refused = true
			back = append(back, t)
		default:
			t.decide(QuotaDecision{Retry: retry})
		}
	}
	e.queue = append(back, e.queue...)
	if retry > 0 {
		e.askAt = now + min(retry, maxDry)
	}
	if retry <= shortRetry {
		return
	}
	e.tokenAt, e.dryUntil = now+retry, e.askAt
	for _, t := range e.queue {
		t.decide(QuotaDecision{Retry: retry})
	}
	e.queue = nil
}

// HandleRequests returns the answers to the requests of a process of a node.
func (l *Quotas) HandleRequests(now time.Duration, from string, session int64, requests []QuotaRequest) []QuotaGrant {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.step(now)
	if l.heardFrom(now, from) {
		l.updateUsable(now)
	}
	grants := make([]QuotaGrant, 0, len(requests))
	for i := range requests[:min(len(requests), MaxQuotaBatch)] {
		req := &requests[i]
		owner := l.ownerOf(req.Key)
		if owner != l.self && owner != "" && req.Avoids && !req.Relayed {
			if g, ok := l.relay(now, from, session, req); ok {
				grants = append(grants, g)
			}
			continue
		}
		if owner != l.self {
			grants = append(grants, QuotaGrant{Key: req.Key, Seq: req.Seq, NotOwner: true, Owner: owner})
			l.probe(now, owner)
			continue
		}
		grants = append(grants, l.grant(now, from, session, req))
	}
	return grants
}

// quotaRelay is a request that this node passes on for a node that has lost
// contact with the owner.
type quotaRelay struct {
	l         *Quotas
	from      string
	session   int64
	at        time.Duration
	left      uint32 // tickets without a decision
	undecided bool
	grant     QuotaGrant
}

type relayKey struct {
	from string
	key  RateKey
}

// relayWait is how long a relayed request waits for the owner.
const relayWait = 400 * time.Millisecond

// relay passes a request on to the owner. ok is false if the answer follows
// later.
func (l *Quotas) relay(now time.Duration, from string, session int64, req *QuotaRequest) (g QuotaGrant, ok bool) {
	id := relayKey{from, req.Key}
	r := l.relays[id]
	if r == nil || r.session != session || req.Seq > r.grant.Seq {
		r = &quotaRelay{l: l, from: from, session: session, at: now, left: min(req.Want, maxRelayed), grant: QuotaGrant{Key: req.Key, Seq: req.Seq}}
		l.relays[id] = r
		e := l.entries[req.Key]
		if e == nil {
			e = &quotaEntry{rate: Rate{float64(req.PerSecond), float64(req.Burst)}, version: req.Version}
			l.entries[req.Key] = e
		}
		e.lastUsed = now
		for range r.left {
			e.queue = append(e.queue, &QuotaTicket{asked: now, until: now + relayWait, relay: r})
		}
		l.refund(now, req.Key, now-time.Duration(req.RefundAge)*time.Millisecond, req.Refund)
	}
	if e := l.entries[req.Key]; e != nil {
		l.advance(now, req.Key, e) // also repeats the request to the owner
	}
	return r.grant, r.left == 0
}

// maxRelayed bounds the tokens of one relayed request.
const maxRelayed = 1000

// decided counts a decision of the owner, and answers the node after the last
// one.
func (r *quotaRelay) decided(d QuotaDecision) {
	switch {
	case d.Granted:
		r.grant.Granted++
	case d.Undecided:
		r.undecided = true
	default:
		r.grant.RetryMS = max(r.grant.RetryMS, uint32(d.Retry.Milliseconds()), 1)
	}
	if r.left--; r.left > 0 {
		return
	}
	if r.undecided && r.grant.Granted == 0 && r.grant.RetryMS == 0 {
		r.grant.NotOwner = true
	} else if r.undecided {
		r.grant.RetryMS = max(r.grant.RetryMS, uint32(shortRetry.Milliseconds()))
	}
	r.l.outbox = append(r.l.outbox, QuotaMessage{To: r.from, Session: r.session, Grants: []QuotaGrant{r.grant}})
}

// probe checks a node that another node may have lost, unless it was heard just
// now.
func (l *Quotas) probe(now time.Duration, id string) {
	p := l.nodes[id]
	if p == nil || now-p.lastHeard < suspectAfter || (p.asks > 0 && now-p.lastAsk < quotaResend) {
		return
	}
	l.ask(now, id)
	l.outbox = append(l.outbox, QuotaMessage{To: id})
}

// probeBetter checks the nodes that would own the key if they were ready and in
// contact. Both may change long before their next heartbeat.
func (l *Quotas) probeBetter(now time.Duration, key RateKey) {
	if len(l.usable) == len(l.nodes) {
		return
	}
	own := mix(l.selfHash ^ uint64(key))
	for id, p := range l.nodes {
		if !p.usable && now-p.lastAsk >= suspectAfter && mix(p.hash^uint64(key)) >= own {
			l.ask(now, id)
			l.outbox = append(l.outbox, QuotaMessage{To: id})
		}
	}
}

// grant decides on a request for a key that this node owns.
func (l *Quotas) grant(now time.Duration, from string, session int64, req *QuotaRequest) QuotaGrant {
	l.probeBetter(now, req.Key)
	s := l.supply(now)
	b := l.buckets[req.Key]
	if b == nil {
		b = &quotaBucket{
			rate: Rate{float64(req.PerSecond), float64(req.Burst)}, version: req.Version, credit: l.ownedSince,
			answers: map[string]*quotaAnswer{}, slot: int64(now / refundSlot),
		}
		b.tokens = s.share * quotaStartShare * s.policy.tolerance(b.rate)
		l.buckets[req.Key] = b
	}
	return b.answer(s, from, session, req)
}

// Keys returns the number of keys that this node uses and of those that it owns.
func (l *Quotas) Keys() (used, owned int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.entries), len(l.buckets)
}
