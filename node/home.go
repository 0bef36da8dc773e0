package node

import (
	"context"
	"sync"
	"time"

	"hyssopbridge/control"
	"hyssopbridge/fleet"
	"hyssopbridge/internal/loop"
	"hyssopbridge/lease"
	"hyssopbridge/once"
	"hyssopbridge/peer"
	"hyssopbridge/proxy"
	"hyssopbridge/resultcode"
)

const (
	leaseTick         = 100 * time.Millisecond
	maxLeaseWait      = 600 * time.Millisecond // longest wait of a keyed request for a lease
	leasePollInterval = 10 * time.Millisecond
	joinPollInterval  = 20 * time.Millisecond
	lookupTimeout     = 500 * time.Millisecond
	proposeTimeout    = 10 * time.Second
)

// homeState holds the leases of this node, the records of the keyed requests that
// it is the home node of, and the admission table of its targets. The lock is
// held for single steps only; requests on idempotent routes never take it.
type homeState struct {
	n             *Node
	mu            sync.Mutex
	leases        *lease.Core
	store         *once.Store
	admissions    *once.AdmissionTable
	chains        map[string][]lease.Group
	groupsVersion int64 // configuration version of the groups in chains
	proposing     bool
	handedOver    map[string]int64 // service -> epoch to whose members the records were handed over
}

func newHomeState(n *Node) *homeState {
	return &homeState{
		n:          n,
		leases:     lease.New(n.member),
		store:      once.New(once.Config{}, n.member),
		admissions: once.NewAdmissionTable(once.AdmissionConfig{}, n.start.UnixMilli()),
		chains:     map[string][]lease.Group{},
		handedOver: map[string]int64{},
	}
}

func wallMS() int64 { return time.Now().UnixMilli() }

// setGroups applies the home groups that changed in a snapshot.
func (h *homeState) setGroups(s *control.Snapshot) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for g := range s.GroupsAfter(h.groupsVersion) {
		chain := chainOf(g)
		h.chains[g.Service] = chain
		h.leases.SetGroups(h.n.clock(), wallMS(), g.Service, chain)
	}
	h.groupsVersion = max(h.groupsVersion, s.Version)
}

func chainOf(g *control.Group) []lease.Group {
	chain := make([]lease.Group, 0, len(g.Past)+1)
	for i := range g.Past {
		p := &g.Past[i]
		home := fleet.HomeGroup{Service: g.Service, Epoch: p.Epoch, Members: p.FleetMembers()}
		chain = append(chain, lease.Group{HomeGroup: home, Base: p.Base, AcceptedMS: p.AcceptedMS})
	}
	return append(chain, lease.Group{HomeGroup: g.HomeGroup, Base: g.Base, AcceptedMS: g.AcceptedMS})
}

// run ticks the leases until ctx ends.
func (h *homeState) run(ctx context.Context) {
	loop.Every(ctx, leaseTick, func() { h.step(ctx) })
}

func (h *homeState) step(ctx context.Context) {
	h.mu.Lock()
	out := h.leases.Tick(h.n.clock(), wallMS())
	h.mu.Unlock()
	for i := range out.Messages {
		go h.send(ctx, out.Messages[i])
	}
	if len(out.Proposals) > 0 {
		h.propose(ctx, out.Proposals)
	}
}

func (h *homeState) send(ctx context.Context, m lease.Message) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := call[lease.Message, lease.Message](ctx, h.n, m.To, methodLease, &m)
	if err == nil && reply.To == h.n.self.ID {
		h.receive(*reply)
	}
}

func (h *homeState) receive(m lease.Message) (lease.Message, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.leases.Receive(h.n.clock(), wallMS(), m)
}

func (h *homeState) serveLease(_ context.Context, _ peer.Identity, m *lease.Message) (*lease.Message, error) {
	reply, _ := h.receive(*m)
	return &reply, nil
}

// propose publishes the proposed home groups, unless an earlier proposal is still
// being published.
func (h *homeState) propose(ctx context.Context, proposals []lease.Proposal) {
	h.mu.Lock()
	busy := h.proposing
	h.proposing = true
	h.mu.Unlock()
	if busy {
		return
	}
	groups := make([]fleet.HomeGroup, 0, len(proposals))
	for _, p := range proposals {
		groups = append(groups, fleet.HomeGroup{Service: p.Service, Epoch: p.Base, Members: p.Members})
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
		defer cancel()
		if _, err := h.n.publisher.ProposeHomes(ctx, groups); err != nil {
			h.n.logger.Debugf("propose home groups: %v", err)
		}
		h.mu.Lock()
		h.proposing = false
		h.mu.Unlock()
	}()
}

// setCandidates sets the nodes that may be members of the home group of a service.
func (h *homeState) setCandidates(service string, candidates []lease.Candidate) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leases.SetCandidates(service, candidates)
}

// Home implements proxy.IdempotencyStore.
func (h *homeState) Home(key once.Key) (node fleet.Node, self bool, err error) {
	member, ok := h.homeOf(key.Service, key.Scoped())
	if !ok {
		return fleet.Node{}, false, resultcode.New(resultcode.NoLease, "service %s has no home group yet", key.Service)
	}
	if member == h.n.member {
		return h.n.self, true, nil
	}
	v := h.n.members.View().Node(member.Node)
	if v == nil || !h.n.members.View().Live(member.Node) {
		return fleet.Node{}, false, resultcode.New(resultcode.NoLease, "home node %s is not alive", member.Node)
	}
	return v.Node, false, nil
}

func (h *homeState) homeOf(service, key string) (fleet.Member, bool) {
	g, ok := h.n.watcher.Current().HomeGroup(service)
	if !ok {
		return fleet.Member{}, false
	}
	return lease.HomeIn(g, key)
}

// Begin implements proxy.IdempotencyStore.
func (h *homeState) Begin(ctx context.Context, key once.Key, hash once.PayloadHash) (proxy.Lease, once.Decision) {
	q := once.Request{Key: key, Hash: hash}
	for {
		l, ok := h.awaitLease(ctx, key.Service)
		if !ok {
			return l, once.Decision{Action: once.Refuse, Code: resultcode.NoLease}
		}
		q.Epoch = l.Epoch
		h.mu.Lock()
		d := h.store.Begin(h.n.clock(), wallMS(), q)
		h.mu.Unlock()
		if d.Action == once.AskPrevious {
			l, d = h.lookupPrevious(ctx, q, d.Ask)
		}
		if d.Action != once.Join {
			return l, d
		}
		if !sleep(ctx, joinPollInterval) {
			return l, once.Decision{Action: once.Refuse, Code: resultcode.StillRunning}
		}
	}
}

// awaitLease returns this node's lease, waiting up to maxLeaseWait for its
// confirmation.
func (h *homeState) awaitLease(ctx context.Context, service string) (proxy.Lease, bool) {
	limit := time.Now().Add(maxLeaseWait)
	for {
		if l, ok := h.lease(service); ok {
			return l, true
		}
		if time.Now().After(limit) || !sleep(ctx, leasePollInterval) {
			return proxy.Lease{}, false
		}
	}
}

// lease returns the lease of a service if it is confirmed, and marks the service
// as in use. Once the epoch is active, it activates the service in the store.
func (h *homeState) lease(service string) (proxy.Lease, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.n.clock()
	h.leases.MarkInUse(now, service)
	epoch, end, ok := h.leases.Holds(now, service)
	if !ok {
		return proxy.Lease{}, false
	}
	if active, since, known := h.leases.ActiveSince(service); known && active == epoch {
		h.store.Activate(service, h.chains[service], since)
	}
	return proxy.Lease{Epoch: epoch, End: h.n.start.Add(end)}, true
}

// lookupRequest asks a home node of an earlier epoch for its record of a key.
type lookupRequest struct {
	To    fleet.Member `cbor:"1,keyasint"`
	Key   once.Key     `cbor:"2,keyasint"`
	Epoch int64        `cbor:"3,keyasint"`
}

func (h *homeState) lookupPrevious(ctx context.Context, q once.Request, previous []fleet.Member) (proxy.Lease, once.Decision) {
	replies := make([]once.Reply, len(previous))
	var wait sync.WaitGroup
	for i, m := range previous {
		wait.Go(func() { replies[i] = h.lookup(ctx, m, q) })
	}
	wait.Wait()
	l, ok := h.lease(q.Key.Service)
	if !ok {
		return l, once.Decision{Action: once.Refuse, Code: resultcode.NoLease}
	}
	q.Epoch = l.Epoch
	h.mu.Lock()
	defer h.mu.Unlock()
	return l, h.store.Resolve(h.n.clock(), wallMS(), q, replies)
}

func (h *homeState) lookup(ctx context.Context, to fleet.Member, q once.Request) once.Reply {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	req := &lookupRequest{To: to, Key: q.Key, Epoch: q.Epoch}
	reply, err := call[lookupRequest, once.Reply](ctx, h.n, to.Node, methodLookup, req)
	if err != nil {
		return once.Reply{From: to}
	}
	return *reply
}

func (h *homeState) serveLookup(_ context.Context, _ peer.Identity, req *lookupRequest) (*once.Reply, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	reply := h.store.Lookup(h.n.clock(), req.To, req.Key, req.Epoch)
	return &reply, nil
}

// Finished implements proxy.IdempotencyStore.
func (h *homeState) Finished(key once.Key, attempt uint32, a *once.Response) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.store.Finished(key, attempt, a)
}

// NotRun implements proxy.IdempotencyStore.
func (h *homeState) NotRun(key once.Key, attempt uint32) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.store.NotRun(key, attempt)
}

// Unknown implements proxy.IdempotencyStore.
func (h *homeState) Unknown(key once.Key, attempt uint32) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.store.Unknown(key, attempt)
}

// Check implements proxy.Fence.
func (h *homeState) Check(service string, epoch int64, attempt string, left time.Duration) error {
	if _, ok := once.RemainingLease(wallMS(), attempt, left); !ok {
		return resultcode.New(resultcode.NoLease, "the lease of the home node expired in transit")
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.leases.Admits(h.n.clock(), service, epoch) {
		return resultcode.New(resultcode.NoLease, "epoch %d of service %s is no longer valid", epoch, service)
	}
	return nil
}

// Admit implements proxy.AdmissionTable.
func (h *homeState) Admit(attempt string) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := h.admissions.Admit(h.n.clock(), wallMS(), attempt); err != nil {
		return err
	}
	return nil
}

// Withdraw implements proxy.AdmissionTable.
func (h *homeState) Withdraw(attempt string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.admissions.Withdraw(attempt)
}

func (h *homeState) settle(attempt string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.admissions.Settle(h.n.clock(), wallMS(), attempt)
}

// peekLease is like lease but has no side effects.
func (h *homeState) peekLease(service string) (proxy.Lease, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	epoch, end, ok := h.leases.Holds(h.n.clock(), service)
	return proxy.Lease{Epoch: epoch, End: h.n.start.Add(end)}, ok
}
