package lease

import (
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"hyssopbridge/fleet"
)

const svc = "svc"

func member(node string, incarnation int64) fleet.Member {
	return fleet.Member{Node: node, Incarnation: incarnation}
}

func group(epoch, base int64, members ...fleet.Member) Group {
	return Group{HomeGroup: fleet.HomeGroup{Service: svc, Epoch: epoch, Members: members}, Base: base}
}

// answerFrom delivers an answer to c as a member would have sent it.
func answerFrom(c *Core, now time.Duration, from fleet.Member, at time.Duration, epoch, active int64) {
	c.Receive(now, 0, Message{
		From: from, To: c.Self().Node, AnswerTo: c.Self().Incarnation, AnswerAt: at,
		Answers: []Answer{{Service: svc, Epoch: epoch, Active: active}},
	})
}

func holds(c *Core, now time.Duration) bool {
	_, _, ok := c.Holds(now, svc)
	return ok
}

var a1, b1, c1 = member("a", 1), member("b", 1), member("c", 1)

// Guards against a lease that is counted from the arrival of the answer. The
// confirming member may have acknowledged a later epoch long before that.
func TestLeaseCountsFromBeforeRequest(t *testing.T) {
	c := New(a1)
	c.SetGroups(0, 0, svc, []Group{group(1, 0, a1, b1, c1)})
	answerFrom(c, 2*time.Second, b1, 0, 1, 1)
	if !holds(c, 2*time.Second) {
		t.Error("no lease although a majority confirmed")
	}
	if _, deadline, _ := c.Holds(2*time.Second, svc); deadline != Term {
		t.Errorf("deadline %v, want %v", deadline, Term)
	}
	if holds(c, Term) {
		t.Error("lease held after the term of the confirmation")
	}
}

// Guards against a restarted process that confirms an epoch although it does
// not know what its predecessor acknowledged, and against one that acts in
// place of its predecessor.
func TestRestartedMemberNeitherConfirmsNorActs(t *testing.T) {
	groups := []Group{group(1, 0, a1, b1)}
	c := New(a1)
	c.SetGroups(0, 0, svc, groups)
	answerFrom(c, 0, member("b", 2), 0, 1, 1)
	if holds(c, 0) {
		t.Error("the confirmation of a later incarnation was counted")
	}
	restarted := New(member("a", 2))
	restarted.SetGroups(0, 0, svc, groups)
	answerFrom(restarted, 0, b1, 0, 1, 1)
	if holds(restarted, 0) {
		t.Error("a later incarnation holds the lease")
	}
	three := New(member("a", 2))
	three.SetGroups(0, 0, svc, []Group{group(1, 0, a1, b1, c1)})
	answerFrom(three, 0, b1, 0, 1, 1)
	answerFrom(three, 0, c1, 0, 1, 1)
	if holds(three, 0) {
		t.Error("a later incarnation holds the lease with the confirmations of the others")
	}
}

// Guards against answers that are counted as acknowledgements although the
// member may still confirm the base epoch.
func TestActivationCountsOnlyAcknowledgements(t *testing.T) {
	for name, tc := range map[string]struct {
		from   fleet.Member
		epoch  int64
		active bool
	}{
		"acknowledged":             {b1, 2, true},
		"knows the base only":      {b1, 1, false},
		"restarted":                {member("b", 2), 0, true},
		"message of older process": {member("b", 0), 2, false},
		"not a member":             {member("d", 1), 2, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := New(a1)
			c.SetGroups(0, 0, svc, []Group{group(1, 0, a1, b1, c1), group(2, 1, a1, c1)})
			answerFrom(c, time.Second, tc.from, time.Second, tc.epoch, 0)
			c.Tick(time.Second+Term+DriftMargin-1, 0)
			if _, _, ok := c.ActiveSince(svc); ok {
				t.Error("active before the wait")
			}
			c.Tick(time.Second+Term+DriftMargin, 7)
			if _, wall, ok := c.ActiveSince(svc); ok != tc.active || ok && wall != 7 {
				t.Errorf("active %v at wall %d, want %v at 7", ok, wall, tc.active)
			}
		})
	}
}

// Guards against a process that acknowledges an epoch in place of a process of
// the same node with a higher incarnation.
func TestOlderSelfDoesNotAcknowledge(t *testing.T) {
	c := New(a1)
	c.SetGroups(0, 0, svc, []Group{group(1, 0, member("a", 5)), group(2, 1, a1)})
	c.Tick(time.Hour, 0)
	if holds(c, time.Hour) {
		t.Error("epoch 2 is active although the member of epoch 1 may act")
	}
}

// Guards against the use of answers to an earlier process, whose times are
// readings of another clock.
func TestAnswersToEarlierProcessAreIgnored(t *testing.T) {
	c := New(member("a", 2))
	c.SetGroups(0, 0, svc, []Group{group(1, 0, member("a", 2), b1)})
	c.Receive(0, 0, Message{From: b1, To: "a", AnswerTo: 1, AnswerAt: time.Hour, Answers: []Answer{{Service: svc, Epoch: 1}}})
	if holds(c, 0) {
		t.Error("lease from an answer to an earlier process")
	}
}

// Guards against a host node that starts orders for a home that was replaced.
func TestAdmitsRefusesEarlierEpochs(t *testing.T) {
	c := New(a1)
	if !c.Admits(0, svc, 4) {
		t.Error("epoch 4 refused by a node that knows none")
	}
	if c.Admits(0, svc, 3) {
		t.Error("epoch 3 admitted after 4")
	}
	c.Receive(0, 0, Message{From: b1, To: "a", Asks: []Ask{{Service: svc, Epoch: 5}}})
	if c.Admits(0, svc, 4) {
		t.Error("epoch 4 admitted after 5 was acknowledged")
	}
}

// Guards against a view that changes after it was returned, a lease that is
// valid past its deadline, and a new view without the latest minimum epoch or
// group.
func TestView(t *testing.T) {
	c := New(a1)
	c.SetGroups(0, 0, svc, []Group{group(1, 0, a1)})
	old := c.View(0)
	c.Receive(0, 0, Message{From: b1, To: "a", Asks: []Ask{{Service: svc, Epoch: 2}}})
	if _, ok := old.Holds(Term-1, svc); !ok {
		t.Error("a granted lease ended before its deadline")
	}
	if _, ok := old.Holds(Term, svc); ok {
		t.Error("a lease is valid at its deadline")
	}
	if admitted, _ := old.Admits(svc, 1); !admitted {
		t.Error("a view changed")
	}
	now := c.View(0)
	if _, ok := now.Holds(0, svc); ok {
		t.Error("a lease is granted after a later epoch was acknowledged")
	}
	if admitted, _ := now.Admits(svc, 1); admitted {
		t.Error("the view misses the acknowledged epoch")
	}
	if admitted, unseen := now.Admits(svc, 3); !admitted || !unseen {
		t.Error("an order of a later epoch is refused or not reported")
	}
	c.SetGroups(0, 0, svc, []Group{group(1, 0, a1), group(2, 1, b1)})
	if home, ok := c.View(0).Home(svc, "k"); !ok || home != b1 {
		t.Errorf("home %v, want %v", home, b1)
	}
}

// Guards against the only member of a group that cannot hold the lease, and
// against one of two members that holds it alone.
func TestSmallGroups(t *testing.T) {
	one := New(a1)
	one.SetGroups(0, 0, svc, []Group{group(1, 0, a1)})
	if !holds(one, time.Hour) {
		t.Error("a single member does not hold its lease")
	}
	two := New(a1)
	two.SetGroups(0, 0, svc, []Group{group(1, 0, a1, b1)})
	if holds(two, 0) {
		t.Error("one of two members holds the lease alone")
	}
	answerFrom(two, 0, b1, 0, 1, 0)
	if !holds(two, 0) {
		t.Error("no lease although both members confirmed")
	}
}

// Guards against more than one message per peer in a renewal, and against
// renewals for services that are not in use.
func TestMessagesAreBatchedPerPeer(t *testing.T) {
	c := New(a1)
	for _, name := range []string{"s1", "s2", "s3"} {
		g := group(1, 0, a1, b1)
		g.Service = name
		c.SetGroups(0, 0, name, []Group{g})
	}
	c.MarkInUse(0, "s1")
	c.MarkInUse(0, "s3")
	out := c.Tick(0, 0)
	if len(out.Messages) != 1 || len(out.Messages[0].Asks) != 2 {
		t.Fatalf("messages %+v, want one with two requests", out.Messages)
	}
	if out = c.Tick(UseTimeout+RenewInterval, 0); len(out.Messages) != 0 {
		t.Errorf("messages %+v for unused services", out.Messages)
	}
}

// Guards against a lease request for each use while a majority does not respond.
func TestUseWithoutMajorityKeepsRenewalRate(t *testing.T) {
	c := New(a1)
	c.SetGroups(0, 0, svc, []Group{group(1, 0, a1, b1, c1)})
	sent := 0
	for now := time.Duration(0); now < 15*time.Second; now += 100 * time.Millisecond {
		c.MarkInUse(now, svc)
		sent += len(c.Tick(now, 0).Messages)
	}
	if sent > 22 {
		t.Errorf("%d messages to 2 peers in 15 s, want at most 22", sent)
	}
}

// Guards against a field that is missing from the encoded form.
func TestMessageEncoding(t *testing.T) {
	want := Message{
		From: member("a", 3), To: "b", AskedAt: 5, AnswerTo: 6, AnswerAt: 7,
		Asks: []Ask{{"s", 1}}, Answers: []Answer{{"t", 2, 3}},
	}
	data, err := cbor.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	var got Message
	if err := cbor.Unmarshal(data, &got); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("decoded %+v, %v; want %+v", got, err, want)
	}
}

// Guards against a draining member that stops while the next group needs its
// acknowledgement.
func TestMayStopOnlyAfterSuccessorIsActive(t *testing.T) {
	c := New(a1)
	c.SetGroups(0, 0, svc, []Group{group(1, 0, a1, b1)})
	if c.MayStop() {
		t.Error("a member of the current group may stop")
	}
	c.SetGroups(0, 0, svc, []Group{group(1, 0, a1, b1), group(2, 1, b1, c1)})
	if c.MayStop() {
		t.Error("may stop before the next group is active")
	}
	answerFrom(c, time.Second, b1, time.Second, 2, 2)
	if !c.MayStop() {
		t.Error("may not stop although the next group is active")
	}
}

func candidates(dead string, nodes ...string) []Candidate {
	var out []Candidate
	for i, n := range nodes {
		k := Candidate{Member: member(n, 1), Zone: string(rune('x' + i%3))}
		if n == dead {
			k.Condition = Dead
		}
		out = append(out, k)
	}
	return out
}

// Guards against proposals that are sent too early, by two nodes at once, by a
// minority, or before the current epoch is known to be active.
func TestProposals(t *testing.T) {
	groups := []Group{group(1, 0, a1, b1, c1)}
	proposedAt := func(self fleet.Member, reach bool) time.Duration {
		c := New(self)
		c.SetGroups(0, 0, svc, groups)
		c.SetCandidates(svc, candidates("c", "a", "b", "c"))
		for now := time.Duration(0); now < time.Minute; now += 100 * time.Millisecond {
			for _, m := range []fleet.Member{a1, b1} {
				if reach && m != self {
					answerFrom(c, now, m, now, 1, 1)
				}
			}
			if out := c.Tick(now, 0); len(out.Proposals) > 0 {
				if p := out.Proposals[0]; p.Base != 1 || !slices.Equal(p.Members, []fleet.Member{a1, b1}) {
					t.Errorf("proposal %+v, want members a and b on base 1", p)
				}
				return now
			}
		}
		return -1
	}
	times := []time.Duration{proposedAt(a1, true), proposedAt(b1, true)}
	slices.Sort(times)
	if times[0] != ProposalDelay || times[1] != ProposalDelay+RankDelay {
		t.Errorf("proposals at %v, want %v and %v", times, ProposalDelay, ProposalDelay+RankDelay)
	}
	if at := proposedAt(a1, false); at >= 0 {
		t.Errorf("a minority proposed at %v", at)
	}
	groups = []Group{group(1, 9, a1, b1, c1)}
	if c := New(a1); true {
		c.SetGroups(0, 0, svc, groups)
		c.SetCandidates(svc, candidates("c", "a", "b", "c"))
		for now := time.Duration(0); now < time.Minute; now += time.Second {
			answerFrom(c, now, b1, now, 1, 0)
			if out := c.Tick(now, 0); len(out.Proposals) > 0 {
				t.Fatal("proposal although the current epoch is not known to be active")
			}
		}
	}
}

// Guards against groups that are too large or not spread over the zones.
func TestFirstGroupSpreadsOverZones(t *testing.T) {
	c := New(member("a", 1))
	c.SetCandidates(svc, candidates("", "a", "b", "c", "d", "e", "f", "g", "h", "i"))
	var got []fleet.Member
	for now := time.Duration(0); got == nil && now < time.Minute; now += time.Second {
		for _, p := range c.Tick(now, 0).Proposals {
			got = p.Members
		}
	}
	zones := map[byte]int{}
	for _, m := range got {
		zones[(m.Node[0]-'a')%3]++
	}
	if len(got) != MaxMembers || len(zones) != 3 || zones[0] > 2 || zones[1] > 2 || zones[2] > 2 {
		t.Errorf("members %v are not %d over 3 zones", got, MaxMembers)
	}
}

// Guards against a home that changes with the order of the members or with an
// incarnation.
func TestHomeDependsOnNodesOnly(t *testing.T) {
	g := group(1, 0, a1, b1, c1).HomeGroup
	h := group(2, 1, c1, member("a", 7), b1).HomeGroup
	seen := map[string]bool{}
	for i := range 100 {
		key := string(rune('A' + i))
		x, _ := HomeIn(g, key)
		y, _ := HomeIn(h, key)
		if x.Node != y.Node {
			t.Errorf("key %q moved from %v to %v", key, x, y)
		}
		seen[x.Node] = true
	}
	if len(seen) != 3 {
		t.Errorf("only %v are homes", seen)
	}
}
