package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hyssopbridge/admission"
)

type testView struct {
	*View
	now time.Duration
}

func newTestView() *testView {
	v := &testView{now: time.Minute}
	v.View = NewView(DefaultConfig("self", "z1"), func() time.Duration { return v.now }, 1)
	return v
}

func healthy(slots, running int) admission.Status {
	return admission.Status{
		Target: "t", Service: "s", Phase: admission.Serving, Slots: slots, Running: running,
		Tested: true,
	}
}

func ejected(trialIn time.Duration) admission.Status {
	s := healthy(5, 0)
	s.Ejected, s.TrialIn = true, trialIn
	return s
}

func (v *testView) rankedAddrs(r Request) []string {
	r.Service = "s"
	var out []string
	for _, c := range v.Rank(r) {
		out = append(out, c.Addr)
	}
	return out
}

// Guards against first sends to a target that rejects half of them while another
// one has free slots, against a class that this outweighs, and against a target
// that gets nothing more, so that its recovery is not seen: as its status ages, it
// is chosen again.
func TestRejectingTargetsComeLater(t *testing.T) {
	v := newTestView()
	sheds := healthy(10, 0)
	sheds.Rejects = 0.5
	v.Update(Host{"sheds", "z1"}, sheds)
	v.Update(Host{"accepts", "z1"}, healthy(10, 9))
	first := func() string { return v.rankedAddrs(Request{})[0] }
	if got := first(); got != "accepts" {
		t.Errorf("%s ranks first while the other target accepts all and has a free slot", got)
	}
	v.Refused("accepts")
	if got := first(); got != "sheds" {
		t.Errorf("%s ranks first although it refused just now", got)
	}
	v.now += 3 * time.Second
	v.Update(Host{"accepts", "z1"}, healthy(10, 7))
	if got := first(); got != "sheds" {
		t.Errorf("%s ranks first although nothing shows that the other target still rejects requests", got)
	}
}

// Guards against traffic between zones while the node's own zone has free slots,
// and against requests that queue in a full zone while another one has free slots.
func TestOwnZoneUntilFull(t *testing.T) {
	v := newTestView()
	v.Update(Host{"near", "z1"}, healthy(5, 3))
	v.Update(Host{"far", "z2"}, healthy(5, 0))
	for range 50 {
		if got := v.rankedAddrs(Request{}); got[0] != "near" {
			t.Fatalf("ranking %v with free slots in the own zone", got)
		}
	}
	v.Update(Host{"near", "z1"}, healthy(5, 7))
	if got := v.rankedAddrs(Request{}); got[0] != "far" {
		t.Errorf("ranking %v with a queue in the own zone", got)
	}
	if got := v.rankedAddrs(Request{Download: true}); got[0] != "near" {
		t.Errorf("ranking %v of a download with a short queue in the own zone", got)
	}
}

// Guards against losing requests to an ejected target: a request that cannot be
// retried never asks it first, and an idempotent one only when a trial is due.
func TestEjectedTargets(t *testing.T) {
	v := newTestView()
	v.Update(Host{"ejected", "z1"}, ejected(0))
	v.Update(Host{"healthy", "z2"}, healthy(5, 4))
	trials := 0
	for range 200 {
		for _, r := range []Request{{}, {Idempotent: true, NoRetry: true}} {
			c := v.Rank(Request{Service: "s", Idempotent: r.Idempotent, NoRetry: r.NoRetry})
			if c[0].Addr != "healthy" || !c[1].LastResort {
				t.Fatalf("ranking %v for %+v", c, r)
			}
		}
		if v.rankedAddrs(Request{Idempotent: true})[0] == "ejected" {
			trials++
		}
	}
	if trials == 0 || trials == 200 {
		t.Errorf("%d of 200 idempotent requests are trial requests, want some but not all", trials)
	}
	v.Update(Host{"ejected", "z1"}, ejected(time.Second))
	if got := v.rankedAddrs(Request{Idempotent: true}); got[0] != "healthy" {
		t.Errorf("ranking %v before a trial request is due", got)
	}
	v.now += time.Second
	found := false
	for range 50 {
		found = found || v.rankedAddrs(Request{Idempotent: true})[0] == "ejected"
	}
	if !found {
		t.Error("no trial request although one became due since the status was received")
	}
}

// Guards against non-idempotent requests to targets with a higher risk of an
// undetected gray failure than others, and against an old status that is taken
// for a current one.
func TestRisk(t *testing.T) {
	v := newTestView()
	risky, safe := healthy(5, 1), healthy(5, 2)
	risky.Risk, safe.Risk = 0.3, 0.02
	v.Update(Host{"risky", "z1"}, risky)
	v.Update(Host{"safe", "z1"}, safe)
	for range 50 {
		if got := v.rankedAddrs(Request{}); got[0] != "safe" {
			t.Fatalf("ranking %v, want the target with the lower risk first", got)
		}
	}
	v.now += 10 * time.Second
	v.Update(Host{"risky", "z1"}, risky)
	for range 50 {
		if got := v.rankedAddrs(Request{}); got[0] != "risky" {
			t.Fatalf("ranking %v, want the target with the newer status first", got)
		}
	}
}

// Guards against targets that get no requests at all because others have a lower
// risk.
func TestIdleTargetGetsIdempotentRequests(t *testing.T) {
	v := newTestView()
	idle, busy := healthy(5, 0), healthy(5, 1)
	idle.Idle, idle.Risk = v.cfg.LongIdleAfter, 0.3
	v.Update(Host{"idle", "z1"}, idle)
	v.Update(Host{"busy", "z1"}, busy)
	for range 50 {
		if got := v.rankedAddrs(Request{Idempotent: true}); got[0] != "idle" {
			t.Fatalf("ranking %v, want the idle target first", got)
		}
	}
}

// Guards against requests that hang on a broken path, and against a path that is
// never used again.
func TestBrokenPath(t *testing.T) {
	v := newTestView()
	v.Update(Host{"broken", "z1"}, healthy(5, 0))
	v.Update(Host{"far", "z2"}, healthy(5, 4))
	v.PathFailed("broken")
	if got := v.rankedAddrs(Request{}); got[0] != "far" {
		t.Errorf("ranking %v after a path failure", got)
	}
	v.now += v.cfg.InitialBackoff
	v.Update(Host{"broken", "z1"}, healthy(5, 0))
	if got := v.rankedAddrs(Request{}); got[0] != "broken" {
		t.Errorf("ranking %v after the backoff", got)
	}
	for range 40 {
		v.PathFailed("broken")
	}
	v.now += v.cfg.MaxBackoff
	v.Update(Host{"broken", "z1"}, healthy(5, 0))
	if got := v.rankedAddrs(Request{}); got[0] != "broken" {
		t.Errorf("ranking %v after the longest backoff", got)
	}
}

// Guards against requests that each lose time on a host that is down, and against
// a host that is avoided although it is back.
func TestDownHost(t *testing.T) {
	v := newTestView()
	v.Update(Host{"down", "z1"}, healthy(5, 0))
	v.Update(Host{"far", "z2"}, healthy(5, 4))
	v.now += v.cfg.DownAfter + 1
	v.Update(Host{"far", "z2"}, healthy(5, 4))
	v.PathFailed("down")
	v.now += v.cfg.MaxBackoff - 1
	if got := v.rankedAddrs(Request{}); got[0] != "far" {
		t.Errorf("ranking %v during the backoff from a host that is down", got)
	}
	v.Update(Host{"down", "z1"}, healthy(5, 0))
	if got := v.rankedAddrs(Request{}); got[0] != "down" {
		t.Errorf("ranking %v after the host is back", got)
	}
}

// Guards against a host that is ranked twice, left out, or ranked although it was
// tried, does not serve, or now belongs to another service.
func TestRankingIsComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := newTestView()
		want := map[string]bool{}
		var tried []string
		for i := range rapid.IntRange(0, 12).Draw(t, "hosts") {
			addr := fmt.Sprintf("h%d", i)
			s := healthy(rapid.IntRange(0, 5).Draw(t, "slots"), rapid.IntRange(0, 9).Draw(t, "running"))
			s.Ejected = rapid.Bool().Draw(t, "ejected")
			s.Phase = rapid.SampledFrom([]admission.Phase{admission.Absent, admission.Serving, admission.Draining}).Draw(t, "phase")
			s.Stopping = rapid.Bool().Draw(t, "stopping")
			v.Update(Host{addr, "z1"}, healthy(5, 0))
			if rapid.Bool().Draw(t, "moves") {
				s.Service = "other"
			}
			v.Update(Host{addr, rapid.SampledFrom([]string{"z1", "z2"}).Draw(t, "zone")}, s)
			isTried := rapid.Bool().Draw(t, "tried")
			if isTried {
				tried = append(tried, addr)
			}
			if rapid.Bool().Draw(t, "removed") {
				v.Remove(addr)
				continue
			}
			want[addr] = s.Service == "s" && s.Phase == admission.Serving && !s.Stopping && !isTried
		}
		got := map[string]bool{}
		for _, addr := range v.rankedAddrs(Request{Idempotent: rapid.Bool().Draw(t, "idempotent"), Tried: tried}) {
			if got[addr] || !want[addr] {
				t.Fatalf("host %s: ranked before %v, may be ranked %v", addr, got[addr], want[addr])
			}
			got[addr] = true
		}
		for addr, ok := range want {
			if ok && !got[addr] {
				t.Fatalf("host %s is left out", addr)
			}
		}
	})
}

// Guards against ejected targets that get no trial request for seconds after they
// have recovered, because few requests of their own zone may be trials: the next
// request makes an overdue trial, also one from another zone.
func TestOverdueTrials(t *testing.T) {
	countTrials := func(zone string, s admission.Status, due time.Duration) int {
		v := newTestView()
		v.Update(Host{"ejected", zone}, s)
		v.Update(Host{"healthy", "z1"}, healthy(5, 1))
		v.now += due
		n := 0
		for range 200 {
			if v.rankedAddrs(Request{Idempotent: true})[0] == "ejected" {
				n++
			}
		}
		return n
	}
	recovering := ejected(0)
	recovering.Recovering = true
	for name, c := range map[string]struct {
		zone     string
		status   admission.Status
		due      time.Duration
		min, max int
	}{
		"just due":               {"z1", ejected(0), 0, 60, 140},
		"overdue":                {"z1", ejected(0), time.Second, 200, 200},
		"recovering":             {"z1", recovering, 0, 200, 200},
		"other zone":             {"z2", ejected(0), 0, 0, 0},
		"overdue in other zone":  {"z2", ejected(0), time.Second, 30, 100},
		"not due in either zone": {"z1", ejected(2 * time.Second), time.Second, 0, 0},
	} {
		if n := countTrials(c.zone, c.status, c.due); n < c.min || n > c.max {
			t.Errorf("%s: %d of 200 requests are trial requests, want %d to %d", name, n, c.min, c.max)
		}
	}
}

// Guards against idempotent requests that serve as trial requests although no
// host would admit a retry after a failure.
func TestAdmitsRetries(t *testing.T) {
	v := newTestView()
	s := healthy(5, 0)
	for i, admits := range []bool{true, false, false} {
		s.AdmitsRetries = admits
		v.Update(Host{fmt.Sprint("h", i), "z1"}, s)
		if got := v.AdmitsRetries("s"); got != (i < 2) {
			t.Errorf("retries admitted %v with one of %d hosts admitting them", got, i+1)
		}
	}
}

// Guards against asking a host that has just stated that it would refuse, and
// against relying on such a statement for long.
func TestKnownRefusal(t *testing.T) {
	full := healthy(5, 5)
	full.Waiting = 1
	risky := healthy(5, 1)
	risky.Risk = 0.3
	for name, tc := range map[string]struct {
		status  admission.Status
		request Request
		want    bool
	}{
		"full":                     {full, Request{MaxRisk: 0.1}, true},
		"full for a trial request": {full, Request{Idempotent: true}, true},
		"risky":                    {risky, Request{MaxRisk: 0.1}, true},
		"risk accepted":            {risky, Request{MaxRisk: 0.35}, false},
		"risk of a trial request":  {risky, Request{Idempotent: true}, false},
	} {
		v := newTestView()
		v.Update(Host{"h", "z1"}, tc.status)
		tc.request.Service = "s"
		if got := v.Rank(tc.request)[0].RecentlyRefused; got != tc.want {
			t.Errorf("%s: refusal known %v, want %v", name, got, tc.want)
		}
		v.now += DefaultConfig("self", "z1").StatusHold + time.Millisecond
		if v.Rank(tc.request)[0].RecentlyRefused {
			t.Errorf("%s: an old status counts as a refusal", name)
		}
	}
}

// Guards against callers that are told to come back while the queues of the
// service are still as long, after room has come with targets that return, or more
// often than the service has slots for them.
func TestRoomFor(t *testing.T) {
	v := newTestView()
	if _, ok := v.RoomFor("s", time.Second, 0); ok {
		t.Error("room known without a target")
	}
	trial := ejected(3 * time.Second)
	trial.Slots = 5
	v.Update(Host{"ejected", "z1"}, trial)
	v.now += time.Second
	// The next trial is due in 2 s and ends after 1 s.
	if room, ok := v.RoomFor("s", time.Second, 0); !ok || room.Wait < 3*time.Second || room.Wait > 3*time.Second+time.Second/5 {
		t.Errorf("room %+v, known %v with an ejected target", room, ok)
	}
	v.Update(Host{"free", "z1"}, healthy(5, 2))
	if room, ok := v.RoomFor("s", time.Second, 0); !ok || room.Wait != 0 {
		t.Errorf("room %+v, known %v with free slots", room, ok)
	}
	full := healthy(5, 5)
	full.Waiting = 12
	v.Update(Host{"full", "z2"}, full)
	// 19 requests run or wait, so 10 have to end before the next one gets one of
	// the ten slots.
	if room, _ := v.RoomFor("s", time.Second, 0); room.Wait != time.Second {
		t.Errorf("room %+v with ten requests ahead on ten slots", room)
	}
	full.Waiting = 52
	v.Update(Host{"full", "z2"}, full)
	// Ten slots serve 60 requests in 6 s, counted from a run before now on. The
	// target that is ejected does not count, nor do requests at entry nodes.
	if room, _ := v.RoomFor("s", time.Second, 9); room.Wait != 5*time.Second {
		t.Errorf("room %+v with 50 requests ahead and most targets healthy", room)
	}
	large := trial
	large.Slots = 10
	v.Update(Host{"large", "z2"}, large)
	v.Update(Host{"ejected", "z1"}, trial)
	// The ten slots serve 50 until the others return after 4 s, and 25 slots the
	// rest.
	if room, _ := v.RoomFor("s", time.Second, 0); (room.Wait - 4400*time.Millisecond).Abs() > time.Millisecond {
		t.Errorf("room %+v with 50 requests ahead and most targets ejected", room)
	}
	v.Remove("large")
	v.Update(Host{"full", "z2"}, trial)
	v.Update(Host{"ejected", "z1"}, trial)
	// Nine requests look for a target, three at each of three nodes, and two run:
	// 12 are ahead, and five slots serve 15 until the others return.
	if room, _ := v.RoomFor("s", time.Second, 3); (room.Wait - 1400*time.Millisecond).Abs() > time.Millisecond {
		t.Errorf("room %+v with nine requests at entry nodes while most targets are ejected", room)
	}
}

// Guards against a node that sends callers away for too long, or lets them all
// return at once, since it does not know which part of the slots its own requests
// get.
func TestGapFollowsOwnShare(t *testing.T) {
	v := newTestView()
	v.Update(Host{"a", "z1"}, healthy(5, 5))
	v.Update(Host{"b", "z2"}, healthy(5, 5))
	gap := func() time.Duration {
		room, _ := v.RoomFor("s", time.Second, 0)
		return room.Gap
	}
	if got := gap(); got != time.Second/5 {
		t.Errorf("gap %v with an equal part of ten slots at two nodes", got)
	}
	for range 8 {
		v.Begin("a")
	}
	if got := gap(); (got - time.Second/8).Abs() > time.Microsecond {
		t.Errorf("gap %v with eight requests on ten slots", got)
	}
}

// Guards against hosts that would refuse the request, or that are probably down,
// and are asked before others only because these have longer queues.
func TestClassBeforeLoad(t *testing.T) {
	v := newTestView()
	v.Update(Host{"stale", "z1"}, healthy(5, 0))
	v.now += v.cfg.StaleAfter + time.Second
	long := healthy(1, 6)
	v.Update(Host{"far with a queue", "z2"}, long)
	v.Update(Host{"no budget", "z1"}, healthy(5, 0))
	v.Update(Host{"refused", "z1"}, healthy(5, 0))
	v.Update(Host{"ejected", "z1"}, ejected(time.Hour))
	for _, addr := range []string{"far with a queue", "refused", "stale"} {
		v.hosts[addr].status.AdmitsRetries = true
	}
	v.Refused("refused")
	want := []string{"far with a queue", "refused", "no budget", "stale", "ejected"}
	for range 50 {
		if got := v.rankedAddrs(Request{Retry: true, Download: true, Idempotent: true, NoRetry: true}); !slices.Equal(got, want) {
			t.Fatalf("ranking %q, want %q", got, want)
		}
	}
}

// Guards against a customer whose requests enter at one node and always ask the
// same hosts for a place in line, and against a random host before those with the
// shortest waits, or before better classes.
func TestRankToWaitVariesFurtherHosts(t *testing.T) {
	v := newTestView()
	for i := range 8 {
		s := admission.Status{Target: fmt.Sprint(i), Service: "s", Phase: admission.Serving, Slots: 1, Running: 1, Waiting: 1, Tested: true, AdmitsRetries: true, Wait: time.Duration(i+1) * time.Second}
		v.Update(Host{Addr: fmt.Sprint(i), Zone: "z"}, s)
	}
	v.Update(Host{Addr: "no budget", Zone: "z"}, healthy(1, 0))
	third := map[string]bool{}
	for range 200 {
		all := v.RankToWait(Request{Service: "s", Retry: true}, time.Second)
		if len(all) != 9 || all[0].Addr != "0" || all[1].Addr != "1" || all[8].Addr != "no budget" {
			t.Fatalf("order %+v", all)
		}
		third[all[2].Addr] = true
	}
	if len(third) != 6 {
		t.Errorf("only %d hosts come third", len(third))
	}
}
