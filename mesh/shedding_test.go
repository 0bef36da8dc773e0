package mesh

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"
)

// firstShed returns the fraction of all first sends that targets shed once host
// nodes have had the time to learn it.
func firstShed(got map[string]*simTally) (share float64, sends int) {
	sum := &simTally{}
	for _, x := range got {
		sum.add(x)
	}
	return float64(sum.firstShed) / float64(max(1, sum.firstSends)), sum.firstSends
}

// halfShed is a fleet of which half of the targets shed half of their requests
// for 12 s. The other half has slots for all requests. There is one zone, since
// one of several zones may have fewer targets that accept all than it needs.
func halfShed(seed uint64) *simulation {
	sim := shedsForSeconds(seed)
	sim.zones, sim.grayShare, sim.together, sim.learnTime = 1, 0.5, 12*time.Second, 2*time.Second
	return sim
}

// Guards against first sends that go to targets which shed while others accept
// all and have room. Half of 27 targets shed half of their requests; sends that
// ignore it lose 0.25. To see it recover, each of them needs about one send in a
// second: 13.5 of 132 requests a second, of which half are shed, are 0.05. Twice
// that is allowed, since entry nodes hear of a target only once a second.
func TestFirstSendsAvoidSheddingTargets(t *testing.T) {
	t.Parallel()
	const most = 0.1
	got := runSimulations(t, 2, halfShed)
	if share, sends := firstShed(got); share > most {
		t.Errorf("%.3f of %d first sends were shed, want at most %.2f", share, sends, most)
	}
	for class, x := range got {
		if refused := float64(x.refused) / float64(x.all); refused > 0.005 {
			t.Errorf("%.3f of %d requests of class %s were refused although half of the targets had room", refused, x.all, class)
		}
	}
}

// Guards against targets that shed for some time and get less than their part
// afterwards, and against all of it at once: from 2 s after the end, those that
// shed get between two thirds and three halves of what the others get.
func TestSheddingTargetsRecover(t *testing.T) {
	t.Parallel()
	sim := halfShed(1)
	sim.run(t)
	end := sim.duration/3 + sim.together
	sends, targets := map[bool]float64{}, map[bool]float64{}
	for _, n := range sim.nodes {
		shed := n.inGrayFailure(end - time.Second)
		targets[shed]++
		for second := int((end + 2*time.Second) / time.Second); second < int(sim.duration/time.Second); second++ {
			sends[shed] += float64(n.sends[second])
		}
	}
	if ratio := sends[true] / targets[true] * targets[false] / sends[false]; ratio < 2./3 || ratio > 3./2 {
		t.Errorf("a target that shed got %.2f times the requests of one that did not, want 0.67 to 1.5", ratio)
	}
}

// acceptThird is a fleet whose targets accept only a third of their slots for
// 18 s. They have room for 135 requests at a time and run 90 on average. Each
// gets 3.5 sends in a second, and it takes about 14 to find a limit.
func acceptThird(seed uint64) *simulation {
	sim := shedsForSeconds(seed)
	sim.mode, sim.acceptShare, sim.together, sim.learnTime = sheddingAbove, 1./3, 18*time.Second, 6*time.Second
	sim.classes[0].rate, sim.classes[1].rate = 26, 70
	return sim
}

// Guards against sends that a target sheds because its host node sends more at a
// time than it accepts, although others have room or the request could wait. A
// limit that is known costs one shed request a target each time the host tries
// whether the target accepts more again, after pauses of 2, 2, 4 and 8 s:
// at most three times in 12 s, in which there are 96 requests a second for 27
// targets, which are 0.07.
func TestSendsKeepToLearnedLimit(t *testing.T) {
	t.Parallel()
	const most = 0.07
	got := runSimulations(t, 2, acceptThird)
	if share, sends := firstShed(got); share > most {
		t.Errorf("%.3f of %d first sends were shed, want at most %.2f", share, sends, most)
	}
	for class, x := range got {
		if refused := float64(x.refused) / float64(x.all); refused > 0.01 {
			t.Errorf("%.3f of %d requests of class %s were refused although there was room", refused, x.all, class)
		}
	}
}

// Guards against rejections of a real target that are not learned, or learned
// from another target that responds at its address.
func TestHostLearnsRejections(t *testing.T) {
	for name, c := range map[string]struct {
		response string
		rejects  bool
	}{
		"shed":           {"HTTP/1.1 503 X\r\nX-Id: %s\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", true},
		"another target": {"HTTP/1.1 421 X\r\nX-Id: %s\r\nContent-Length: 0\r\n\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := startTarget(t, "t")
			g.setHandler(func(w io.Writer, r *http.Request) bool {
				fmt.Fprintf(w, c.response, r.Header.Get("X-Id"))
				return true
			})
			n := startNode(t, g)
			_ = n.SetConfig([]byte("1"), "test")
			send(t, n, "/order/1", "o")
			share := n.hostNode.status().Rejects
			if learned := share > 0; learned != c.rejects {
				t.Errorf("the host node states a share of rejections of %.2f", share)
			}
		})
	}
}
