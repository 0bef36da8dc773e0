package membership

import (
	"slices"
	"time"
)

const (
	// faultProbeInterval is the time between probes of peers with a link fault.
	// Otherwise they would wait for a whole rotation.
	faultProbeInterval = 5 * time.Second
	maxFaultProbes     = 16
	maxRelays          = 256
	// suspectProbers is the average number of nodes in the fleet that probe a
	// suspect in each probe interval, so that it can refute the suspicion even
	// if messages are lost.
	suspectProbers = 16
)

// probing is the failure detection part of a Core.
type probing struct {
	lastNumber     uint64
	rotation       []string
	nextProbe      time.Duration
	probes         []*probe
	relays         []relay
	suspects       []string
	linkFaults     map[string]bool
	nextFaultProbe time.Duration
}

// probe is a probe in progress: a direct request, then indirect ones.
type probe struct {
	number            uint64
	target            string
	indirectAt        time.Duration
	deadline          time.Duration
	indirectSent      bool
	reachedIndirectly bool // another node reached the target
}

// relay is a probe in progress on behalf of another node.
type relay struct {
	number   uint64
	origin   Sender
	request  uint64
	deadline time.Duration
}

func (p *probing) init() { p.linkFaults = make(map[string]bool) }

func (c *Core) tickProbes(now time.Duration) []Outgoing {
	c.relays = slices.DeleteFunc(c.relays, func(r relay) bool { return now >= r.deadline })
	var out []Outgoing
	for _, p := range slices.Clone(c.probes) {
		out = append(out, c.advanceProbe(now, p)...)
	}
	if now >= c.nextFaultProbe {
		c.nextFaultProbe = now + faultProbeInterval
		for _, id := range c.randomLinkFaults(maxFaultProbes) {
			out = append(out, c.startProbe(now, id))
		}
	}
	if now < c.nextProbe {
		return out
	}
	if c.nextProbe == 0 {
		c.nextProbe = now + c.jitter(c.cfg.ProbeInterval)
		return out
	}
	c.nextProbe = now + c.cfg.ProbeInterval
	out = append(out, c.probeSuspects(now)...)
	if id := c.nextInRotation(); id != "" {
		out = append(out, c.startProbe(now, id))
	}
	return out
}

// probeSuspects probes suspects so that they can refute the suspicion before
// they are declared dead. The rotation alone reaches a suspect too late.
func (c *Core) probeSuspects(now time.Duration) []Outgoing {
	var out []Outgoing
	for _, id := range c.suspects {
		if c.rng.IntN(max(1, len(c.peers))) < suspectProbers {
			out = append(out, c.startProbe(now, id))
		}
	}
	return out
}

// restartSuspicion restarts the suspicion timeout of a node that responded,
// directly or through another node. Only the node's own refutation ends the
// suspicion, and it may still be in transit.
func (c *Core) restartSuspicion(now time.Duration, id string) {
	if m := c.members[id]; m != nil && m.liveness.status == Suspect {
		m.statusSince = now
	}
}

func (c *Core) nextInRotation() string {
	for range 2 {
		for len(c.rotation) > 0 {
			id := c.rotation[len(c.rotation)-1]
			c.rotation = c.rotation[:len(c.rotation)-1]
			if m := c.members[id]; m != nil && !m.isGone() {
				return id
			}
		}
		c.rotation = slices.Clone(c.peers)
		c.rng.Shuffle(len(c.rotation), func(i, j int) {
			c.rotation[i], c.rotation[j] = c.rotation[j], c.rotation[i]
		})
	}
	return ""
}

func (c *Core) startProbe(now time.Duration, id string) Outgoing {
	m := c.members[id]
	timeout := c.cfg.ProbeTimeout
	if m.node.Region != c.self.node.Region {
		timeout = c.cfg.RemoteProbeTimeout
	}
	c.lastNumber++
	c.probes = append(c.probes, &probe{
		number: c.lastNumber, target: id,
		indirectAt: now + timeout, deadline: now + timeout + max(timeout, c.cfg.ProbeInterval-timeout),
	})
	return c.messageTo(m, &Message{Kind: Ping, Number: c.lastNumber, Updates: c.piggyback(now, id)})
}

// advanceProbe sends the indirect requests of a probe without a direct response,
// or ends the probe at its deadline.
func (c *Core) advanceProbe(now time.Duration, p *probe) []Outgoing {
	if !p.indirectSent && now >= p.indirectAt {
		p.indirectSent = true
		return c.probeIndirectly(p)
	}
	if now >= p.deadline {
		c.endProbe(p)
		c.onProbeFailure(now, p)
	}
	return nil
}

func (c *Core) probeIndirectly(p *probe) []Outgoing {
	m := c.members[p.target]
	if m == nil {
		return nil
	}
	m.probeFailed = true
	var out []Outgoing
	for _, id := range c.randomPeers(c.cfg.IndirectProbes, func(id string) bool { return id == p.target || c.linkFaults[id] }) {
		out = append(out, c.messageTo(c.members[id], &Message{
			Kind: PingRequest, Number: p.number, Target: p.target, Addr: m.node.ControlAddr,
		}))
	}
	return out
}

// onProbeFailure handles a probe that got no direct response: it records a link
// fault if another node reached the target, and otherwise starts a suspicion.
func (c *Core) onProbeFailure(now time.Duration, p *probe) {
	m := c.members[p.target]
	if m == nil || m.liveness.status != Alive {
		return
	}
	if p.reachedIndirectly {
		c.setLinkFault(p.target)
		return
	}
	l := m.liveness
	l.status = Suspect
	c.setLiveness(now, m, l)
	c.disseminate(m, m.seq)
	c.addConflict(m)
}

func (c *Core) endProbe(p *probe) {
	c.probes = slices.DeleteFunc(c.probes, func(q *probe) bool { return q == p })
}

func (c *Core) findProbe(number uint64) *probe {
	for _, p := range c.probes {
		if p.number == number {
			return p
		}
	}
	return nil
}

func (c *Core) onAck(now time.Duration, msg *Message) []Outgoing {
	if m := c.members[msg.From.ID]; m != nil {
		m.probeFailed = false
		c.clearLinkFault(msg.From.ID)
		c.restartSuspicion(now, msg.From.ID)
	}
	if p := c.findProbe(msg.Number); p != nil && p.target == msg.From.ID {
		c.endProbe(p)
	}
	i := slices.IndexFunc(c.relays, func(r relay) bool { return r.number == msg.Number })
	if i < 0 {
		return nil
	}
	r := c.relays[i]
	c.relays = slices.Delete(c.relays, i, i+1)
	return []Outgoing{c.outgoing(r.origin.ID, r.origin.Addr, &Message{
		Kind: IndirectAck, Number: r.request, Target: msg.From.ID, Updates: c.piggyback(now, r.origin.ID),
	})}
}

func (c *Core) onPingRequest(now time.Duration, msg *Message) []Outgoing {
	if len(c.relays) >= maxRelays || msg.Target == c.self.node.ID {
		return nil
	}
	c.lastNumber++
	c.relays = append(c.relays, relay{c.lastNumber, msg.From, msg.Number, now + 2*c.cfg.ProbeInterval})
	return []Outgoing{c.outgoing(msg.Target, msg.Addr, &Message{
		Kind: Ping, Number: c.lastNumber, Updates: c.piggyback(now, msg.Target),
	})}
}

func (c *Core) onIndirectAck(now time.Duration, msg *Message) {
	if p := c.findProbe(msg.Number); p != nil && p.target == msg.Target {
		p.reachedIndirectly = true
		c.restartSuspicion(now, msg.Target)
	}
}

func (c *Core) setLinkFault(id string) {
	if !c.linkFaults[id] {
		c.linkFaults[id] = true
		c.dirty = true
	}
}

func (c *Core) clearLinkFault(id string) {
	if c.linkFaults[id] {
		delete(c.linkFaults, id)
		c.dirty = true
	}
}

// randomLinkFaults returns up to n peers with link faults, in random order.
func (c *Core) randomLinkFaults(n int) []string {
	list := make([]string, 0, len(c.linkFaults))
	for id := range c.linkFaults {
		list = append(list, id)
	}
	slices.Sort(list)
	c.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(n, len(list))]
}
