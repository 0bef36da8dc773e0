package routing

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"hyssopbridge/config/manifest"
	"hyssopbridge/fleet"
)

var (
	genHost    = rapid.SampledFrom([]string{"", "a.example", "b.example"})
	genSegment = rapid.SampledFrom([]string{"a", "b", "cc", "%41", ""})
	genMethods = rapid.SampledFrom([][]string{nil, {"GET"}, {"POST"}, {"GET", "PUT"}})
)

// genPath draws a path from a few distinct segments, so that routes overlap often.
func genPath(t *rapid.T, label string) string {
	segments := rapid.SliceOfN(genSegment, 0, 4).Draw(t, label)
	segments = slices.DeleteFunc(segments, func(s string) bool { return s == "" })
	path := "/" + strings.Join(segments, "/")
	if rapid.Bool().Draw(t, label+" slash") && path != "/" {
		path += "/"
	}
	return path
}

func genManifest(t *rapid.T, mandate string) *manifest.Manifest {
	m := &manifest.Manifest{Version: 1, Mandate: mandate, Term: 1, Holder: "h"}
	svc := manifest.Service{Name: "svc-" + mandate}
	for i := range rapid.IntRange(0, 8).Draw(t, "routes") {
		path := genPath(t, "path")
		if rapid.Bool().Draw(t, "prefix") {
			path = strings.TrimSuffix(path, "/") + "/*"
		}
		svc.Routes = append(svc.Routes, manifest.Route{
			Name:    fmt.Sprintf("r%d", i),
			Host:    genHost.Draw(t, "host"),
			Path:    path,
			Methods: genMethods.Draw(t, "methods"),
			Class:   fleet.Class(rapid.IntRange(0, 3).Draw(t, "class")),
		})
	}
	m.Services = []manifest.Service{svc}
	m.SetDefaults()
	return m
}

// referenceLookup finds the route for a request by comparing all matching routes
// in the documented order of precedence.
func referenceLookup(manifests map[string]*manifest.Manifest, host, path, method string) string {
	best, bestRank := "", ""
	for _, m := range manifests {
		for _, s := range m.Services {
			for _, r := range s.Routes {
				rank, ok := referenceRank(r, host, path, method)
				// The highest rank wins; a tie goes to the mandate, then route, that sorts first.
				id := m.Mandate + " " + s.Name + "/" + r.Name
				if ok && (best == "" || rank > bestRank || rank == bestRank && id < best) {
					best, bestRank = id, rank
				}
			}
		}
	}
	_, id, _ := strings.Cut(best, " ")
	return id
}

// referenceRank reports whether r matches and returns a string that sorts higher
// for a more specific route.
func referenceRank(r manifest.Route, host, path, method string) (string, bool) {
	want := strings.ReplaceAll(r.Path, "%41", "A")
	prefix, isPrefix := strings.CutSuffix(want, "*")
	switch {
	case r.Host != "" && r.Host != host,
		isPrefix && !strings.HasPrefix(path, prefix),
		!isPrefix && path != want,
		r.Methods != nil && !slices.Contains(r.Methods, method):
		return "", false
	}
	return fmt.Sprintf("%v %v %04d %v", r.Host != "", !isPrefix, len(prefix), r.Methods != nil), true
}

// Guards against a lookup that picks a less specific route or misses one,
// against With and Without producing a table that differs from Build, and
// against a change that becomes visible in an older table, which requests may
// still be reading.
func TestLookupMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := Empty()
		live := map[string]*manifest.Manifest{}
		older := map[*Table]map[string]*manifest.Manifest{}
		for range rapid.IntRange(1, 8).Draw(t, "changes") {
			older[table] = maps.Clone(live)
			mandate := rapid.SampledFrom([]string{"m1", "m2", "m3"}).Draw(t, "mandate")
			if rapid.IntRange(0, 4).Draw(t, "withdraw") == 0 {
				table = table.Without(mandate)
				delete(live, mandate)
				continue
			}
			m := genManifest(t, mandate)
			table, _ = table.With(m)
			live[mandate] = m
		}
		var all []*manifest.Manifest
		for _, m := range live {
			all = append(all, m)
		}
		built, _ := Build(all)
		if built.Len() != table.Len() || built.hostRoutes != table.hostRoutes {
			t.Fatalf("incremental table has %d routes, rebuilt table has %d (or the routes with a host differ)", table.Len(), built.Len())
		}
		for range 20 {
			checkLookup(t, live, table, built)
		}
		for old, manifests := range older {
			checkLookup(t, manifests, old)
			checkServices(t, manifests, old)
		}
	})
}

func checkLookup(t *rapid.T, live map[string]*manifest.Manifest, tables ...*Table) {
	host := genHost.Draw(t, "request host")
	path, err := Normalize(genPath(t, "request path"))
	if err != nil {
		t.Fatal(err)
	}
	method := rapid.SampledFrom([]string{"GET", "POST", "PUT", "DELETE"}).Draw(t, "method")
	want := referenceLookup(live, host, path, method)
	for _, table := range tables {
		got := ""
		r, ok := table.Lookup(strings.ToUpper(host)+":8080", path, method)
		if ok {
			got = r.ID
		}
		if got != want || ok != (want != "") {
			t.Fatalf("%s %s%s: got %q, want %q", method, host, path, got, want)
		}
	}
}

// checkServices checks that a table contains exactly the services of the
// manifests in live.
func checkServices(t *rapid.T, live map[string]*manifest.Manifest, table *Table) {
	n := 0
	table.Services(func(s *Service) bool {
		n++
		if m := live[s.Mandate]; m == nil || len(m.Services[0].Routes) != len(s.Routes) {
			t.Fatalf("table has an unknown service of mandate %s, or one with the wrong routes", s.Mandate)
		}
		return true
	})
	if n != len(live) {
		t.Fatalf("table has %d services, want %d", n, len(live))
	}
}

func oneService(mandate, service string, routes ...manifest.Route) *manifest.Manifest {
	m := &manifest.Manifest{Version: 1, Mandate: mandate, Term: 1, Services: []manifest.Service{{Name: service, Routes: routes}}}
	m.SetDefaults()
	return m
}

// Guards against a table that depends on the order in which conflicting
// manifests arrive, and against a conflict that is not reported.
func TestConflictIsReportedAndOrderIndependent(t *testing.T) {
	a := oneService("a", "sa", manifest.Route{Name: "x", Path: "/p", Methods: []string{"GET"}})
	b := oneService("b", "sb", manifest.Route{Name: "y", Path: "/p", Methods: []string{"GET", "PUT"}})
	for _, order := range [][]*manifest.Manifest{{a, b}, {b, a}} {
		table, err := Build(order)
		var conflict *ConflictError
		if !errors.As(err, &conflict) {
			t.Errorf("Build returned error %v, want a ConflictError", err)
		}
		if r, _ := table.Lookup("", "/p", "GET"); r == nil || r.ID != "sa/x" {
			t.Errorf("conflicting GET goes to %v, want sa/x", r)
		}
		if r, _ := table.Without("a").Lookup("", "/p", "GET"); r == nil || r.ID != "sb/y" {
			t.Errorf("GET after withdrawal of a goes to %v, want sb/y", r)
		}
	}
}

// Guards against one invalid route removing the other routes of its manifest.
func TestInvalidRouteIsSkipped(t *testing.T) {
	table, err := Build([]*manifest.Manifest{oneService("a", "s",
		manifest.Route{Name: "bad", Path: "/a/../b"},
		manifest.Route{Name: "star", Path: "/a*b"},
		manifest.Route{Name: "deep", Path: strings.Repeat("/a", maxPrefixDepth) + "/*"},
		manifest.Route{Name: "good", Path: "/b"})})
	var bad *RouteError
	if !errors.As(err, &bad) || bad.Route != "s/bad" {
		t.Errorf("Build returned error %v, want a RouteError for s/bad", err)
	}
	if table.Len() != 1 {
		t.Errorf("table has %d routes, want 1", table.Len())
	}
	if _, ok := table.Route("s", "good"); !ok {
		t.Error("valid route s/good is missing")
	}
}

// Guards against a change of one manifest copying the whole table instead of
// sharing the untouched shards.
func TestWithSharesShards(t *testing.T) {
	manifests := manyManifests(1000)
	before, err := Build(manifests)
	if err != nil {
		t.Fatal(err)
	}
	after, err := before.With(manifests[0])
	if err != nil {
		t.Fatal(err)
	}
	copied := 0
	for i := range before.index.shards {
		a, b := before.index.shards[i], after.index.shards[i]
		if len(a) != len(b) || len(a) > 0 && &a[0] != &b[0] {
			copied++
		}
	}
	if copied > len(manifests[0].Services[0].Routes) {
		t.Errorf("%d shards copied for %d routes", copied, len(manifests[0].Services[0].Routes))
	}
}

// Guards against allocations on the request path.
func TestLookupDoesNotAllocate(t *testing.T) {
	table, _ := Build(manyManifests(1000))
	got := testing.AllocsPerRun(100, func() {
		if _, ok := table.Lookup("Host-7.example:443", "/s7/r1/x/y", "GET"); !ok {
			t.Fatal("no route")
		}
	})
	if got != 0 {
		t.Errorf("%v allocations per lookup, want 0", got)
	}
}
