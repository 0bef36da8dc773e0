package membership

import (
	"slices"
	"time"
)

const (
	// faultProbeInterval is the time between probes of peers with a link fault,
	// which would otherwise wait for a whole rotation.
	faultProbeInterval = 5 * time.Second
	maxFaultProbes     = 16
	maxRelays          = 256
	// suspectProbers is how many nodes of the fleet, on average, probe a suspect
	// at each probe interval, so that it can refute although messages are lost.
	suspectProbers = 16
)

// probing is the failure detection part of a Core.
type probing struct {
	number     uint64
	rotation   []string
	nextProbe  time.Duration
	probes     []*probe
	relays     []relay
	suspects   []string
	faults     map[string]bool
	nextFaults time.Duration
}

// probe is a direct probe in progress, followed by indirect ones.
type probe struct {
	number     uint64
	target     string
	indirectAt time.Duration
	deadline   time.Duration
	indirect   bool
	reached    bool // through another node
}

// relay is a probe on behalf of another node.
type relay struct {
	number   uint64
	origin   Sender
	request  uint64
	deadline time.Duration
}

func (p *probing) init() { p.faults = make(map[string]bool) }

func (c *Core) tickProbes(now time.Duration) []Outgoing {
	c.relays = slices.DeleteFunc(c.relays, func(r relay) bool { return now >= r.deadline })
	var out []Outgoing
	for _, p := range slices.Clone(c.probes) {
		out = append(out, c.advance(now, p)...)
	}
	if now >= c.nextFaults {
		c.nextFaults = now + faultProbeInterval
		for _, id := range c.faultList(maxFaultProbes) {
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

// probeSuspects gives suspects a chance to refute before they are declared
// dead. The rotation alone reaches a suspect too late.
func (c *Core) probeSuspects(now time.Duration) []Outgoing {
	var out []Outgoing
	for _, id := range c.suspects {
		if c.rng.IntN(max(1, len(c.peers))) < suspectProbers {
			out = append(out, c.startProbe(now, id))
		}
	}
	return out
}

// heardFrom restarts the suspicion of a node that responded, directly or
// through another node: only its own refutation ends the suspicion, and that
// may still be on its way.
func (c *Core) heardFrom(now time.Duration, id string) {
	if m := c.members[id]; m != nil && m.life.status == Suspect {
		m.since = now
	}
}

func (c *Core) nextInRotation() string {
	for range 2 {
		for len(c.rotation) > 0 {
			id := c.rotation[len(c.rotation)-1]
			c.rotation = c.rotation[:len(c.rotation)-1]
			if m := c.members[id]; m != nil && !m.gonePast() {
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
	c.number++
	c.probes = append(c.probes, &probe{
		number: c.number, target: id,
		indirectAt: now + timeout, deadline: now + timeout + max(timeout, c.cfg.ProbeInterval-timeout),
	})
	return c.to(m, &Message{Kind: Ping, Number: c.number, Updates: c.piggyback(now, id)})
}

// advance moves a probe without response to its next step.
func (c *Core) advance(now time.Duration, p *probe) []Outgoing {
	if !p.indirect && now >= p.indirectAt {
		p.indirect = true
		return c.askOthers(p)
	}
	if now >= p.deadline {
		c.endProbe(p)
		c.judge(now, p)
	}
	return nil
}

func (c *Core) askOthers(p *probe) []Outgoing {
	m := c.members[p.target]
	if m == nil {
		return nil
	}
	m.failed = true
	var out []Outgoing
	for _, id := range c.pick(c.cfg.IndirectProbes, func(id string) bool { return id == p.target || c.faults[id] }) {
		out = append(out, c.to(c.members[id], &Message{
			Kind: PingRequest, Number: p.number, Target: p.target, Addr: m.node.ControlAddr,
		}))
	}
	return out
}

// judge ends a probe that had no direct response.
func (c *Core) judge(now time.Duration, p *probe) {
	m := c.members[p.target]
	if m == nil || m.life.status != Alive {
		return
	}
	if p.reached {
		c.setFault(p.target)
		return
	}
	l := m.life
	l.status = Suspect
	c.setLife(now, m, l)
	c.news(m, m.seq)
	c.addConflict(m)
}

func (c *Core) endProbe(p *probe) {
	c.probes = slices.DeleteFunc(c.probes, func(q *probe) bool { return q == p })
}

func (c *Core) probeOf(number uint64) *probe {
	for _, p := range c.probes {
		if p.number == number {
			return p
		}
	}
	return nil
}

func (c *Core) onAck(now time.Duration, msg *Message) []Outgoing {
	if m := c.members[msg.From.ID]; m != nil {
		m.failed = false
		c.clearFault(msg.From.ID)
		c.heardFrom(now, msg.From.ID)
	}
	if p := c.probeOf(msg.Number); p != nil && p.target == msg.From.ID {
		c.endProbe(p)
	}
	i := slices.IndexFunc(c.relays, func(r relay) bool { return r.number == msg.Number })
	if i < 0 {
		return nil
	}
	r := c.relays[i]
	c.relays = slices.Delete(c.relays, i, i+1)
	return []Outgoing{c.direct(r.origin.ID, r.origin.Addr, &Message{
		Kind: IndirectAck, Number: r.request, Target: msg.From.ID, Updates: c.piggyback(now, r.origin.ID),
	})}
}

func (c *Core) onPingRequest(now time.Duration, msg *Message) []Outgoing {
	if len(c.relays) >= maxRelays || msg.Target == c.self.node.ID {
		return nil
	}
	c.number++
	c.relays = append(c.relays, relay{c.number, msg.From, msg.Number, now + 2*c.cfg.ProbeInterval})
	return []Outgoing{c.direct(msg.Target, msg.Addr, &Message{
		Kind: Ping, Number: c.number, Updates: c.piggyback(now, msg.Target),
	})}
}

func (c *Core) onIndirectAck(now time.Duration, msg *Message) {
	if p := c.probeOf(msg.Number); p != nil && p.target == msg.Target {
		p.reached = true
		c.heardFrom(now, msg.Target)
	}
}

func (c *Core) setFault(id string) {
	if !c.faults[id] {
		c.faults[id] = true
		c.dirty = true
	}
}

func (c *Core) clearFault(id string) {
	if c.faults[id] {
		delete(c.faults, id)
		c.dirty = true
	}
}

// faultList returns up to n peers with link faults, in random order.
func (c *Core) faultList(n int) []string {
	list := make([]string, 0, len(c.faults))
	for id := range c.faults {
		list = append(list, id)
	}
	slices.Sort(list)
	c.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(n, len(list))]
}
