package replay

import (
	"testing"

	"hyssopbridge/config/manifest"
)

func scoreOfSeed(t *testing.T, scenario string, seed uint64) *Score {
	t.Helper()
	tr, err := Generate(Params{Scenario: scenario, Seed: seed})
	if err != nil {
		t.Fatal(err)
	}
	return Run(tr, manifest.PreferDetection)
}

// Guards the bound of 2.5 s for 40% truncation at the one seed of 40 that
// exceeded it.
func TestTruncate40Seed21(t *testing.T) {
	checkTimes(t, []*Score{scoreOfSeed(t, "truncate40", 21)}, 0, 2500)
}

// Guards against a healthy target that is ejected because one route fails at
// all targets, at the one seed of 40 where it was.
func TestBadRouteSeed27(t *testing.T) {
	if s := scoreOfSeed(t, "badroute", 27); s.FalseEjections != 0 {
		t.Errorf("%d false ejections, want 0", s.FalseEjections)
	}
}
