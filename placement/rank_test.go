package placement

import (
	"fmt"
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

func good(slots, running int) admission.Status {
	return admission.Status{
		Target: "t", Service: "s", Phase: admission.Serving, Slots: slots, Running: running,
		Tested: true,
	}
}

func gray(trialIn time.Duration) admission.Status {
	s := good(5, 0)
	s.Ejected, s.TrialIn = true, trialIn
	return s
}

func (v *testView) addrs(w Request) []string {
	w.Service = "s"
	var out []string
	for _, c := range v.Rank(w) {
		out = append(out, c.Addr)
	}
	return out
}

// Guards against bytes between zones while the own zone has room, and against
// requests that wait in a full zone while another one has room.
func TestOwnZoneUntilFull(t *testing.T) {
	v := newTestView()
	v.Update(Host{"near", "z1"}, good(5, 3))
	v.Update(Host{"far", "z2"}, good(5, 0))
	for range 50 {
		if got := v.addrs(Request{}); got[0] != "near" {
			t.Fatalf("order %v with room in the own zone", got)
		}
	}
	v.Update(Host{"near", "z1"}, good(5, 7))
	if got := v.addrs(Request{}); got[0] != "far" {
		t.Errorf("order %v with a queue in the own zone", got)
	}
	if got := v.addrs(Request{Download: true}); got[0] != "near" {
		t.Errorf("order %v of a download with a short queue in the own zone", got)
	}
}

// Guards against requests that are lost at a gray target: work that cannot be
// sent again is never asked there first, and idempotent work only when a trial
// is due.
func TestGrayTargets(t *testing.T) {
	v := newTestView()
	v.Update(Host{"gray", "z1"}, gray(0))
	v.Update(Host{"good", "z2"}, good(5, 4))
	trials := 0
	for range 200 {
		for _, w := range []Request{{}, {Idempotent: true, NoRetry: true}} {
			c := v.Rank(Request{Service: "s", Idempotent: w.Idempotent, NoRetry: w.NoRetry})
			if c[0].Addr != "good" || !c[1].LastResort {
				t.Fatalf("order %v for %+v", c, w)
			}
		}
		if v.addrs(Request{Idempotent: true})[0] == "gray" {
			trials++
		}
	}
	if trials == 0 || trials == 200 {
		t.Errorf("%d of 200 idempotent requests are trials", trials)
	}
	v.Update(Host{"gray", "z1"}, gray(time.Second))
	if got := v.addrs(Request{Idempotent: true}); got[0] != "good" {
		t.Errorf("order %v before a trial is due", got)
	}
	v.now += time.Second
	found := false
	for range 50 {
		found = found || v.addrs(Request{Idempotent: true})[0] == "gray"
	}
	if !found {
		t.Error("no trial after it became due by the age of the status")
	}
}

// Guards against orders on targets that may have turned gray unnoticed while
// others have answered just now, and against a statement that is taken for new
// when it is old.
func TestRisk(t *testing.T) {
	v := newTestView()
	risky, safe := good(5, 1), good(5, 2)
	risky.Risk, safe.Risk = 0.3, 0.02
	v.Update(Host{"risky", "z1"}, risky)
	v.Update(Host{"safe", "z1"}, safe)
	for range 50 {
		if got := v.addrs(Request{}); got[0] != "safe" {
			t.Fatalf("order %v, want the target with the lower risk first", got)
		}
	}
	v.now += 10 * time.Second
	v.Update(Host{"risky", "z1"}, risky)
	for range 50 {
		if got := v.addrs(Request{}); got[0] != "risky" {
			t.Fatalf("order %v, want the target with the newer statement first", got)
		}
	}
}

// Guards against targets that get no request at all because others look safer.
func TestIdleTargetGetsReads(t *testing.T) {
	v := newTestView()
	idle, busy := good(5, 0), good(5, 1)
	idle.Idle, idle.Risk = v.cfg.LongIdleAfter, 0.3
	v.Update(Host{"idle", "z1"}, idle)
	v.Update(Host{"busy", "z1"}, busy)
	for range 50 {
		if got := v.addrs(Request{Idempotent: true}); got[0] != "idle" {
			t.Fatalf("order %v, want the target without work first", got)
		}
	}
}

// Guards against requests that hang on a path which is cut, and against a path
// that is never used again.
func TestCutPath(t *testing.T) {
	v := newTestView()
	v.Update(Host{"cut", "z1"}, good(5, 0))
	v.Update(Host{"far", "z2"}, good(5, 4))
	v.PathFailed("cut")
	if got := v.addrs(Request{}); got[0] != "far" {
		t.Errorf("order %v after a failure of the path", got)
	}
	v.now += v.cfg.InitialBackoff
	v.Update(Host{"cut", "z1"}, good(5, 0))
	if got := v.addrs(Request{}); got[0] != "cut" {
		t.Errorf("order %v after the backoff", got)
	}
	for range 40 {
		v.PathFailed("cut")
	}
	v.now += v.cfg.MaxBackoff
	v.Update(Host{"cut", "z1"}, good(5, 0))
	if got := v.addrs(Request{}); got[0] != "cut" {
		t.Errorf("order %v after the longest backoff", got)
	}
}

// Guards against requests that each lose time to a host that is down, and
// against a host that is avoided although it is back.
func TestLostHost(t *testing.T) {
	v := newTestView()
	v.Update(Host{"lost", "z1"}, good(5, 0))
	v.Update(Host{"far", "z2"}, good(5, 4))
	v.now += v.cfg.DownAfter + 1
	v.Update(Host{"far", "z2"}, good(5, 4))
	v.PathFailed("lost")
	v.now += v.cfg.MaxBackoff - 1
	if got := v.addrs(Request{}); got[0] != "far" {
		t.Errorf("order %v during the backoff from a silent host", got)
	}
	v.Update(Host{"lost", "z1"}, good(5, 0))
	if got := v.addrs(Request{}); got[0] != "lost" {
		t.Errorf("order %v after the host is back", got)
	}
}

// Guards against a host that is asked twice, left out, or asked although it was
// tried, is leaving, or belongs to another service now.
func TestOrderIsComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := newTestView()
		want := map[string]bool{}
		var tried []string
		for i := range rapid.IntRange(0, 12).Draw(t, "hosts") {
			addr := fmt.Sprintf("h%d", i)
			s := good(rapid.IntRange(0, 5).Draw(t, "slots"), rapid.IntRange(0, 9).Draw(t, "running"))
			s.Ejected = rapid.Bool().Draw(t, "gray")
			s.Phase = rapid.SampledFrom([]admission.Phase{admission.Absent, admission.Serving, admission.Draining}).Draw(t, "phase")
			s.Stopping = rapid.Bool().Draw(t, "stopping")
			v.Update(Host{addr, "z1"}, good(5, 0))
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
		for _, addr := range v.addrs(Request{Idempotent: rapid.Bool().Draw(t, "idempotent"), Tried: tried}) {
			if got[addr] || !want[addr] {
				t.Fatalf("host %s: asked twice %v, may be asked %v", addr, got[addr], want[addr])
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

// Guards against gray targets that get no trial for seconds after they have
// recovered, because few requests of their own zone may be trials: an overdue
// trial is made by the next request, also of another zone.
func TestOverdueTrials(t *testing.T) {
	share := func(zone string, s admission.Status, due time.Duration) int {
		v := newTestView()
		v.Update(Host{"gray", zone}, s)
		v.Update(Host{"good", "z1"}, good(5, 1))
		v.now += due
		n := 0
		for range 200 {
			if v.addrs(Request{Idempotent: true})[0] == "gray" {
				n++
			}
		}
		return n
	}
	returning := gray(0)
	returning.Recovering = true
	for name, c := range map[string]struct {
		zone     string
		status   admission.Status
		due      time.Duration
		min, max int
	}{
		"just due":               {"z1", gray(0), 0, 60, 140},
		"overdue":                {"z1", gray(0), time.Second, 200, 200},
		"returning":              {"z1", returning, 0, 200, 200},
		"other zone":             {"z2", gray(0), 0, 0, 0},
		"overdue in other zone":  {"z2", gray(0), time.Second, 30, 100},
		"not due in either zone": {"z1", gray(2 * time.Second), time.Second, 0, 0},
	} {
		if n := share(c.zone, c.status, c.due); n < c.min || n > c.max {
			t.Errorf("%s: %d of 200 requests are trials, want %d to %d", name, n, c.min, c.max)
		}
	}
}

// Guards against reads that try gray targets although no host would admit them
// once more after a failure.
func TestHasRoom(t *testing.T) {
	v := newTestView()
	s := good(5, 0)
	for i, room := range []bool{true, false, false} {
		s.AdmitsRetries = room
		v.Update(Host{fmt.Sprint("h", i), "z1"}, s)
		if got := v.AdmitsRetries("s"); got != (i < 2) {
			t.Errorf("room %v at one of %d hosts", got, i+1)
		}
	}
}
