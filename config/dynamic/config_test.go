package dynamic

import (
	"math"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var testLimits = Limits{HeaderBytes: 1 << 14, BodyBytes: 1 << 20, HeaderTimeout: time.Second, IdleTimeout: time.Second}

func route(name, prefix string, shares ...Share) Route {
	if len(shares) == 0 {
		shares = []Share{{"s", 1}}
	}
	return Route{Name: name, Host: "h.example", Prefix: prefix, Timeout: time.Second, Objective: time.Second, Attempts: 1, Shares: shares}
}

// Guards against a shorter prefix taking precedence over a longer one, and
// against a prefix that matches in the middle of a path segment.
func TestMatchTakesLongestPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		segment := rapid.SampledFrom([]string{"a", "b", "ab"})
		var routes []Route
		seen := map[string]bool{}
		for _, parts := range rapid.SliceOfN(rapid.SliceOfN(segment, 0, 3), 1, 6).Draw(t, "prefixes") {
			prefix := "/" + strings.Join(append(parts, ""), "/")
			if !seen[prefix] {
				seen[prefix] = true
				routes = append(routes, route(prefix, prefix))
			}
		}
		c, err := New(1, []Service{{Name: "s"}}, testLimits, Customers{}, routes)
		if err != nil {
			t.Fatal(err)
		}
		path := "/" + strings.Join(rapid.SliceOfN(segment, 0, 4).Draw(t, "path"), "/")
		want := ""
		for prefix := range seen {
			if strings.HasPrefix(path, prefix) && len(prefix) > len(want) {
				want = prefix
			}
		}
		got := ""
		if r := c.Match("H.example:80", path); r != nil {
			got = r.Prefix
		}
		if got != want {
			t.Fatalf("path %q matches %q, want %q", path, got, want)
		}
	})
}

// Guards against an invalid configuration taking effect in part.
func TestNewRejectsInvalidConfig(t *testing.T) {
	services := []Service{{Name: "s"}}
	cases := map[string]func(r *Route){
		"unknown service": func(r *Route) { r.Shares = []Share{{"x", 1}} },
		"no service":      func(r *Route) { r.Shares = nil },
		"zero weight":     func(r *Route) { r.Shares = []Share{{"s", 0}} },
		"negative weight": func(r *Route) { r.Shares = []Share{{"s", -0.5}} },
		"infinite weight": func(r *Route) { r.Shares = []Share{{"s", math.Inf(1)}} },
		"not a number":    func(r *Route) { r.Shares = []Share{{"s", math.NaN()}} },
		"no attempts":     func(r *Route) { r.Attempts = 0 },
		"no timeout":      func(r *Route) { r.Timeout = 0 },
		"no final slash":  func(r *Route) { r.Prefix = "/a" },
		"no host":         func(r *Route) { r.Host = "" },
	}
	for name, mutate := range cases {
		r := route("r", "/a/")
		mutate(&r)
		if c, err := New(1, services, testLimits, Customers{}, []Route{r}); err == nil || c != nil {
			t.Errorf("%s: New returned configuration %v, error %v", name, c, err)
		}
	}
	if _, err := New(0, services, testLimits, Customers{}, nil); err == nil {
		t.Error("version 0 was accepted")
	}
	if _, err := New(1, services, testLimits, Customers{}, []Route{route("r", "/a/"), route("q", "/a/")}); err == nil {
		t.Error("two routes with the same prefix were accepted")
	}
}

// Guards against a split that deviates from its weights over a few requests, also
// where weights are fractions or differ widely in size from those of other routes.
func TestSplitterKeepsShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(1, 50), 1, 4).Draw(t, "weights")
		scale := rapid.SampledFrom([]float64{1, 0.01, 1e-300, 3e306}).Draw(t, "scale")
		var shares []Share
		total := 0
		for i, w := range weights {
			shares = append(shares, Share{string(rune('a' + i)), scale * float64(w)})
			total += w
		}
		r := route("r", "/", shares...)
		s := NewSplitter(rapid.IntRange(0, 1000).Draw(t, "phase"))
		n := rapid.IntRange(1, 300).Draw(t, "requests")
		got := map[string]int{}
		for range n {
			got[s.Pick(&r)]++
		}
		for i, sh := range shares {
			want := float64(n*weights[i]) / float64(total)
			if d := float64(got[sh.Service]) - want; d > float64(len(shares)) || d < -float64(len(shares)) {
				t.Fatalf("%s got %d of %d requests, want %.1f", sh.Service, got[sh.Service], n, want)
			}
		}
	})
}
