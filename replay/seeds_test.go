package replay

import (
	"testing"

	"hyssopbridge/config/manifest"
)

func scoreSeed(t *testing.T, scenario string, seed uint64) *Score {
	t.Helper()
	tr, err := Generate(Params{Scenario: scenario, Seed: seed})
	if err != nil {
		t.Fatal(err)
	}
	return Run(tr, manifest.PreferDetection)
}

// A target that truncates 40% of its responses must be ejected within 2.5 s. Of
// 40 seeds, only this one exceeded the limit.
func TestTruncate40Seed21(t *testing.T) {
	checkDetectionTimes(t, []*Score{scoreSeed(t, "truncate40", 21)}, 0, 2500)
}

// A route that fails at all targets must not eject a healthy one. Of 40 seeds,
// only this one did.
func TestBadRouteSeed27(t *testing.T) {
	if s := scoreSeed(t, "badroute", 27); s.FalseEjections != 0 {
		t.Errorf("%d false ejections, want 0", s.FalseEjections)
	}
}
