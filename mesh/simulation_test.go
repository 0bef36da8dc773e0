package mesh

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"hyssopbridge/admission"
	"hyssopbridge/config/dynamic"
	"hyssopbridge/placement"
	"hyssopbridge/resultcode"
)

// play is a fleet without a network: placers and gates of the product, targets
// that fail by a schedule, and callers, in virtual time.
type play struct {
	zones    int
	hosts    []playService
	classes  []playClass
	manner   manner
	gray     float64 // part of the time for which each target fails
	period   time.Duration
	fails    float64 // part of its requests that a gray target fails
	length   time.Duration
	burst    float64 // factor on the rate in the middle third
	seed     uint64
	nodes    []*playNode
	byAddr   map[string]*playNode
	mu       sync.Mutex
	rand     *rand.Rand
	tally    map[string]*playTally
	arrivals map[string][]playArrival // by service
	fleetNow func() time.Duration
}

// manner is how a gray target fails.
type manner uint8

const (
	silence manner = iota // no answer until the caller leaves
	resets                // the connection is reset at once
)

type playService struct {
	name  string
	count int // targets
	slots int
}

type playClass struct {
	route  dynamic.Route
	rate   float64 // requests a second; 0 for calls only
	run    time.Duration
	spread float64 // deviation of the logarithm of run times
	calls  string  // class that a part of its runs call
	part   float64 // of its runs that call
}

// playArrival is a request that arrives at a service: for the first time, or as
// a repeat.
type playArrival struct {
	at     time.Duration
	repeat bool
}

// overBudget returns by how much the repeats at a service exceed the ratio of
// the requests in the most loaded window, as a part of the slack.
func (p *play) overBudget(service string) float64 {
	const window = 10 * time.Second
	worst, repeats, requests := 0.0, 0.0, 0.0
	list := p.arrivals[service]
	count := func(a playArrival, n float64) {
		if a.repeat {
			repeats += n
		} else {
			requests += n
		}
	}
	from := 0
	for _, a := range list {
		count(a, 1)
		for ; a.at-list[from].at > window; from++ {
			count(list[from], -1)
		}
		worst = max(worst, (repeats-p.policy().Ratio*requests)/p.policy().Slack)
	}
	return worst
}

// policy is the retry budget of the fleet: as on the platform, about two
// repeats a host in a window besides the ratio.
func (p *play) policy() RetryPolicy {
	return RetryPolicy{Ratio: 0.2, Slack: 2 * float64(p.count())}
}

// playTally counts what callers got.
type playTally struct {
	all, inTime, late, refused, failed int
	far                                int // sent to another availability zone
}

type playNode struct {
	p      *play
	addr   string
	zone   string
	svc    playService
	gate   *admission.Gate
	view   *placement.View
	placer *placer
	calls  *calls
	budget *budget
	phase  time.Duration // shift of the target's gray times
	told   chan struct{}
}

// isGray reports whether the target fails at the moment.
func (n *playNode) isGray(now time.Duration) bool {
	at := (now + n.phase) % n.p.period
	return float64(at) < n.p.gray*float64(n.p.period)
}

const (
	nearDelay = 100 * time.Microsecond // one way, in a zone
	farDelay  = 1400 * time.Microsecond
)

func (p *play) delay(a, b string) time.Duration {
	if a == b {
		return nearDelay
	}
	return farDelay
}

func (p *play) float() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rand.Float64()
}

func (p *play) norm() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rand.NormFloat64()
}

// run plays the load and returns what callers got, by route.
func (p *play) run(t *testing.T) map[string]*playTally {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		p.rand = rand.New(rand.NewPCG(p.seed, 1))
		p.tally = map[string]*playTally{}
		p.arrivals = map[string][]playArrival{}
		p.byAddr = map[string]*playNode{}
		start := time.Now()
		p.fleetNow = func() time.Duration { return time.Since(start) }
		for _, s := range p.hosts {
			for i := range s.count {
				p.addNode(s, fmt.Sprintf("%s-%d", s.name, i), fmt.Sprint("z", i%p.zones))
			}
		}
		ctx, cancel := context.WithCancel(t.Context())
		var wait sync.WaitGroup
		for _, n := range p.nodes {
			wait.Go(func() { n.gossip(ctx) })
		}
		time.Sleep(time.Second)
		var callers sync.WaitGroup
		for i := range p.classes {
			if p.classes[i].rate > 0 {
				callers.Go(func() { p.load(&p.classes[i], &callers) })
			}
		}
		callers.Wait()
		cancel()
		wait.Wait()
		time.Sleep(waitLimit) // attempts that lost a race end
	})
	return p.tally
}

func (p *play) addNode(s playService, addr, zone string) {
	n := &playNode{p: p, addr: addr, zone: zone, svc: s, told: make(chan struct{}, 1)}
	n.phase = time.Duration(p.float() * float64(p.period))
	n.gate = admission.NewGate(p.fleetNow, admission.DefaultDetectorConfig(), n.changed)
	n.gate.SetTarget(admission.Target{ID: addr, Service: s.name, Slots: s.slots, Phase: admission.Serving})
	n.view = placement.NewView(placement.DefaultConfig("", zone), p.fleetNow, p.seed+uint64(len(p.nodes)))
	n.calls = &calls{now: p.fleetNow}
	n.budget = newBudget(p.fleetNow, p.policy, func() int { return n.view.Count(s.name) }, n.calledHaveRoom, uint64(len(p.nodes)))
	logger := &journal{&log.Logger{Handler: discard.New(), Level: log.FatalLevel}}
	n.placer = &placer{
		zone: zone, view: n.view, remote: n, times: newRunTimes(), hedges: newHedges(), log: logger, metrics: newMetrics(),
	}
	p.nodes = append(p.nodes, n)
	p.byAddr[addr] = n
}

func (n *playNode) calledHaveRoom() bool { return haveRoom(n.view, n.calls.called()) }

func (p *play) count() int {
	n := 0
	for _, s := range p.hosts {
		n += s.count
	}
	return n
}

func (n *playNode) changed() {
	select {
	case n.told <- struct{}{}:
	default:
	}
}

func (n *playNode) status() admission.Status {
	s := n.gate.Status()
	s.AdmitsRetries, s.AdmitsRetryCalls = n.budget.room()
	return s
}

// gossip tells the status to the own zone once a second and on changes, and to
// the others each two seconds.
func (n *playNode) gossip(ctx context.Context) {
	tick := time.NewTicker(nearInterval)
	defer tick.Stop()
	for round := 0; ; round++ {
		far := round%2 == 0
		for _, to := range n.p.nodes {
			if to.zone == n.zone || far {
				to.view.Update(placement.Host{Addr: n.addr, Zone: n.zone}, n.status())
			}
		}
		select {
		case <-tick.C:
		case <-n.told:
			time.Sleep(nearDelay)
			round |= 1 // the own zone only
		case <-ctx.Done():
			return
		}
	}
}

// load sends requests of a class at random times.
func (p *play) load(c *playClass, callers *sync.WaitGroup) {
	for p.fleetNow() < p.length {
		rate := c.rate
		if third := p.length / 3; p.burst > 0 && p.fleetNow() > third && p.fleetNow() < 2*third {
			rate *= p.burst
		}
		time.Sleep(time.Duration(-math.Log(1-p.float()) / rate * float64(time.Second)))
		n := p.nodes[int(p.float()*float64(len(p.nodes)))]
		callers.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), c.route.Timeout)
			defer cancel()
			n.request(ctx, c)
		})
	}
}

// request makes a request at the node and counts its outcome. It reports success.
func (n *playNode) request(ctx context.Context, c *playClass) bool {
	start := time.Now()
	until, _ := ctx.Deadline()
	q := &request{id: "r", method: http.MethodGet, header: http.Header{}, idempotent: c.route.Idempotent, deadline: deadlineIn(time.Until(until), n.p.fleetNow)}
	service := c.route.Shares[0].Service
	if service != n.svc.name {
		q.callOfRun, q.callOfRepeat = n.calls.add(service)
	}
	a, err := n.placer.serve(context.WithValue(ctx, classKey{}, c), q, &c.route, service, start)
	n.p.mu.Lock()
	defer n.p.mu.Unlock()
	t := n.p.tallyOf(c.route.Name)
	t.all++
	switch {
	case err != nil && asResult(err).Ran == resultcode.RanNo:
		t.refused++
	case err != nil || a.status != http.StatusOK:
		t.failed++
	case time.Since(start) > c.route.Objective:
		t.late++
	default:
		t.inTime++
	}
	return err == nil && a.status == http.StatusOK
}

func (p *play) tallyOf(route string) *playTally {
	t := p.tally[route]
	if t == nil {
		t = &playTally{}
		p.tally[route] = t
	}
	return t
}

type classKey struct{}

// reserve implements hostAsker.
func (n *playNode) reserve(ctx context.Context, addr string, r admission.Request) (slot, error) {
	host := n.p.byAddr[addr]
	time.Sleep(n.p.delay(n.zone, host.zone))
	ticket, why := host.budget.reserve(ctx, host.gate, r)
	status := host.status()
	time.Sleep(n.p.delay(n.zone, host.zone))
	n.view.Refresh(addr, status)
	if ticket == nil {
		return nil, refusal{why}
	}
	return &playSlot{n, host, ticket, r}, nil
}

type playSlot struct {
	from, host *playNode
	ticket     *admission.Reservation
	req        admission.Request
}

func (s *playSlot) cancel() {}

func (s *playSlot) run(ctx context.Context, q *request) (*answer, error) {
	delay := s.from.p.delay(s.from.zone, s.host.zone)
	time.Sleep(delay)
	if why := s.ticket.Claim(); why != admission.None {
		return nil, notRun(resultcode.TargetDraining, "%s", why)
	}
	if s.from.zone != s.host.zone {
		s.from.p.countFar(ctx)
	}
	s.host.p.arrive(ctx, s.host.svc.name, s.req.Retry)
	run := s.host.calls.begin(sourceOf(s.req.Idempotent), s.req.Retry)
	a, evidence, err := s.host.work(context.WithValue(ctx, repeatKey{}, s.req.Retry), ctx.Value(classKey{}).(*playClass))
	s.host.calls.end(run, evidence == admission.Success)
	s.ticket.Release(evidence)
	time.Sleep(delay)
	s.from.view.Refresh(s.host.addr, s.host.status())
	if err != nil {
		return nil, err
	}
	return a, nil
}

func (p *play) countFar(ctx context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tallyOf(ctx.Value(classKey{}).(*playClass).route.Name).far++
}

// repeatKey is the key of whether the run that makes a call is a repeat.
type repeatKey struct{}

func (p *play) arrive(ctx context.Context, service string, again bool) {
	byRepeat, _ := ctx.Value(repeatKey{}).(bool)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.arrivals[service] = append(p.arrivals[service], playArrival{p.fleetNow(), again || byRepeat})
}

// errorPart is the part of its requests for which a good target answers with an error.
const errorPart = 0.012

// work is a run at the target.
func (n *playNode) work(ctx context.Context, c *playClass) (*answer, admission.Outcome, *resultcode.Error) {
	if n.isGray(n.p.fleetNow()) && n.p.float() < n.p.fails {
		if n.p.manner == resets {
			return nil, admission.TransportError, resultcode.New(resultcode.TargetError, "reset")
		}
		<-ctx.Done()
		return nil, evidenceOf(ctx, ctx.Err()), failure(ctx, ctx.Err())
	}
	run := time.Duration(float64(c.run) * math.Exp(c.spread*n.p.norm()-c.spread*c.spread/2))
	if !sleepFor(ctx, run) {
		return nil, evidenceOf(ctx, ctx.Err()), failure(ctx, ctx.Err())
	}
	failed := n.p.float() < errorPart
	if c.calls != "" && n.p.float() < c.part {
		inner := n.p.class(c.calls)
		callCtx, cancel := context.WithTimeout(ctx, inner.route.Timeout)
		defer cancel()
		failed = !n.request(callCtx, inner) || failed
	}
	status := http.StatusOK
	if failed {
		status = http.StatusInternalServerError
	}
	return &answer{status: status, header: http.Header{}}, evidenceOfStatus(status), nil
}

func (p *play) class(name string) *playClass {
	for i := range p.classes {
		if p.classes[i].route.Name == name {
			return &p.classes[i]
		}
	}
	panic("no class " + name)
}

func sleepFor(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
