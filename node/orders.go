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
	leaseTick     = 100 * time.Millisecond
	leaseWait     = 600 * time.Millisecond // longest wait of an order for a lease
	leasePoll     = 10 * time.Millisecond
	joinPoll      = 20 * time.Millisecond
	lookupTimeout = 500 * time.Millisecond
	proposeLimit  = 10 * time.Second
)

// orders holds the leases of this node, the records of the keyed orders that
// it is home of, and the attempts that its targets were sent. The lock is held
// for single steps only; requests on idempotent routes never take it.
type orders struct {
	n         *Node
	mu        sync.Mutex
	leases    *lease.Core
	store     *once.Store
	admitted  *once.AdmissionTable
	chains    map[string][]lease.Group
	known     int64 // version of the groups in chains
	proposing bool
	passed    map[string]int64 // service -> epoch to whose members the records were passed
}

func newOrders(n *Node) *orders {
	return &orders{
		n:        n,
		leases:   lease.New(n.member),
		store:    once.New(once.Config{}, n.member),
		admitted: once.NewAdmissionTable(once.AdmissionConfig{}, n.start.UnixMilli()),
		chains:   map[string][]lease.Group{},
		passed:   map[string]int64{},
	}
}

func wallMS() int64 { return time.Now().UnixMilli() }

// setGroups takes the home groups of a snapshot.
func (o *orders) setGroups(s *control.Snapshot) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for g := range s.GroupsAfter(o.known) {
		chain := chainOf(g)
		o.chains[g.Service] = chain
		o.leases.SetGroups(o.n.clock(), wallMS(), g.Service, chain)
	}
	o.known = max(o.known, s.Version)
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

// run drives the leases until ctx ends.
func (o *orders) run(ctx context.Context) {
	loop.Every(ctx, leaseTick, func() { o.step(ctx) })
}

func (o *orders) step(ctx context.Context) {
	o.mu.Lock()
	out := o.leases.Tick(o.n.clock(), wallMS())
	o.mu.Unlock()
	for i := range out.Messages {
		go o.send(ctx, out.Messages[i])
	}
	if len(out.Proposals) > 0 {
		o.propose(ctx, out.Proposals)
	}
}

func (o *orders) send(ctx context.Context, m lease.Message) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := call[lease.Message, lease.Message](ctx, o.n, m.To, methodLease, &m)
	if err == nil && reply.To == o.n.self.ID {
		o.receive(*reply)
	}
}

func (o *orders) receive(m lease.Message) (lease.Message, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.leases.Receive(o.n.clock(), wallMS(), m)
}

func (o *orders) serveLease(_ context.Context, _ peer.Identity, m *lease.Message) (*lease.Message, error) {
	reply, _ := o.receive(*m)
	return &reply, nil
}

// propose appends the proposed groups, one record at a time.
func (o *orders) propose(ctx context.Context, proposals []lease.Proposal) {
	o.mu.Lock()
	busy := o.proposing
	o.proposing = true
	o.mu.Unlock()
	if busy {
		return
	}
	groups := make([]fleet.HomeGroup, 0, len(proposals))
	for _, p := range proposals {
		groups = append(groups, fleet.HomeGroup{Service: p.Service, Epoch: p.Base, Members: p.Members})
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, proposeLimit)
		defer cancel()
		if _, err := o.n.publisher.ProposeHomes(ctx, groups); err != nil {
			o.n.logger.Debugf("propose home groups: %v", err)
		}
		o.mu.Lock()
		o.proposing = false
		o.mu.Unlock()
	}()
}

// setCandidates gives the nodes that run a service beside this node's own.
func (o *orders) setCandidates(service string, candidates []lease.Candidate) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.leases.SetCandidates(service, candidates)
}

// Home implements proxy.OrderHomes.
func (o *orders) Home(key once.Key) (node fleet.Node, self bool, err error) {
	member, ok := o.homeOf(key.Service, key.Scoped())
	if !ok {
		return fleet.Node{}, false, resultcode.New(resultcode.NoLease, "service %s has no home group yet", key.Service)
	}
	if member == o.n.member {
		return o.n.self, true, nil
	}
	v := o.n.members.View().Node(member.Node)
	if v == nil || !o.n.members.View().Live(member.Node) {
		return fleet.Node{}, false, resultcode.New(resultcode.NoLease, "home %s is not reachable", member.Node)
	}
	return v.Node, false, nil
}

func (o *orders) homeOf(service, key string) (fleet.Member, bool) {
	g, ok := o.n.watcher.Current().HomeGroup(service)
	if !ok {
		return fleet.Member{}, false
	}
	return lease.HomeIn(g, key)
}

// Begin implements proxy.OrderHomes.
func (o *orders) Begin(ctx context.Context, key once.Key, hash once.PayloadHash) (proxy.Lease, once.Decision) {
	q := once.Request{Key: key, Hash: hash}
	for {
		l, ok := o.waitLease(ctx, key.Service)
		if !ok {
			return l, once.Decision{Action: once.Refuse, Code: resultcode.NoLease}
		}
		q.Epoch = l.Epoch
		o.mu.Lock()
		d := o.store.Begin(o.n.clock(), wallMS(), q)
		o.mu.Unlock()
		if d.Action == once.AskPrevious {
			l, d = o.askPrevious(ctx, q, d.Ask)
		}
		if d.Action != once.Join {
			return l, d
		}
		if !sleep(ctx, joinPoll) {
			return l, once.Decision{Action: once.Refuse, Code: resultcode.StillRunning}
		}
	}
}

// waitLease returns this node's lease, waiting a moment for its confirmation.
func (o *orders) waitLease(ctx context.Context, service string) (proxy.Lease, bool) {
	limit := time.Now().Add(leaseWait)
	for {
		if l, ok := o.lease(service); ok {
			return l, true
		}
		if time.Now().After(limit) || !sleep(ctx, leasePoll) {
			return proxy.Lease{}, false
		}
	}
}

// lease returns the lease if it is confirmed now, and opens the service in the
// records when its epoch has become active.
func (o *orders) lease(service string) (proxy.Lease, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.n.clock()
	o.leases.MarkInUse(now, service)
	epoch, end, ok := o.leases.Holds(now, service)
	if !ok {
		return proxy.Lease{}, false
	}
	if active, since, known := o.leases.ActiveSince(service); known && active == epoch {
		o.store.Activate(service, o.chains[service], since)
	}
	return proxy.Lease{Epoch: epoch, End: o.n.start.Add(end)}, true
}

// lookupRequest asks an earlier home about a key.
type lookupRequest struct {
	To    fleet.Member `cbor:"1,keyasint"`
	Key   once.Key     `cbor:"2,keyasint"`
	Epoch int64        `cbor:"3,keyasint"`
}

func (o *orders) askPrevious(ctx context.Context, q once.Request, ask []fleet.Member) (proxy.Lease, once.Decision) {
	replies := make([]once.Reply, len(ask))
	var wait sync.WaitGroup
	for i, m := range ask {
		wait.Go(func() { replies[i] = o.lookup(ctx, m, q) })
	}
	wait.Wait()
	l, ok := o.lease(q.Key.Service)
	if !ok {
		return l, once.Decision{Action: once.Refuse, Code: resultcode.NoLease}
	}
	q.Epoch = l.Epoch
	o.mu.Lock()
	defer o.mu.Unlock()
	return l, o.store.Resolve(o.n.clock(), wallMS(), q, replies)
}

func (o *orders) lookup(ctx context.Context, to fleet.Member, q once.Request) once.Reply {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	req := &lookupRequest{To: to, Key: q.Key, Epoch: q.Epoch}
	reply, err := call[lookupRequest, once.Reply](ctx, o.n, to.Node, methodLookup, req)
	if err != nil {
		return once.Reply{From: to}
	}
	return *reply
}

func (o *orders) serveLookup(_ context.Context, _ peer.Identity, req *lookupRequest) (*once.Reply, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	reply := o.store.Lookup(o.n.clock(), req.To, req.Key, req.Epoch)
	return &reply, nil
}

// Finished implements proxy.OrderHomes.
func (o *orders) Finished(key once.Key, attempt uint32, a *once.Answer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.store.Finished(key, attempt, a)
}

// NotRun implements proxy.OrderHomes.
func (o *orders) NotRun(key once.Key, attempt uint32) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.store.NotRun(key, attempt)
}

// Unknown implements proxy.OrderHomes.
func (o *orders) Unknown(key once.Key, attempt uint32) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.store.Unknown(key, attempt)
}

// Check implements proxy.Fence.
func (o *orders) Check(service string, epoch int64, attempt string, left time.Duration) error {
	if _, ok := once.RemainingLease(wallMS(), attempt, left); !ok {
		return resultcode.New(resultcode.NoLease, "lease of the home has lapsed in transit")
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.leases.Admits(o.n.clock(), service, epoch) {
		return resultcode.New(resultcode.NoLease, "epoch %d is no longer valid", epoch)
	}
	return nil
}

// Admit implements proxy.Admitted.
func (o *orders) Admit(attempt string) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err := o.admitted.Admit(o.n.clock(), wallMS(), attempt); err != nil {
		return err
	}
	return nil
}

// Withdraw implements proxy.Admitted.
func (o *orders) Withdraw(attempt string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.admitted.Withdraw(attempt)
}

func (o *orders) settle(attempt string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.admitted.Settle(o.n.clock(), wallMS(), attempt)
}

// peekLease is lease without marking the service as in use.
func (o *orders) peekLease(service string) (proxy.Lease, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	epoch, end, ok := o.leases.Holds(o.n.clock(), service)
	return proxy.Lease{Epoch: epoch, End: o.n.start.Add(end)}, ok
}
