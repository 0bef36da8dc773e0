package manifest

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

const validText = `// belt-desk of Riga
{
  "version": 1, "mandate": "grain", "term": 1, "holder": "Riekstu Lentes Grupa",
  "services": [{
    "name": "belt-desk", "floor": 12, "prefer": "detection", "slots": 5,
    "routes": [
      {"name": "read", "path": "/belts/*", "methods": ["GET"], "class": "interactive", "idempotent": true,
       "rate": {"per_second": 3, "burst": 5}},
      {"name": "rest", "path": "/belts/*", "class": "interactive", "idempotent": false},
      {"name": "order", "path": "/belts/orders", "class": "order", "idempotent": false}, // not retried
    ],
    "objective": {"target": 0.999},
  }],
}
`

// Guards against rejecting a valid manifest and against missing defaults.
func TestValidManifest(t *testing.T) {
	m, problems := Validate("m.json", []byte(validText))
	if len(problems) > 0 {
		t.Fatalf("problems in a valid manifest: %v", problems)
	}
	if s := m.Services[0]; s.Queue != 10 || s.Connections != DefaultConnections || s.Routes[2].TimeoutMS != DefaultTimeoutMS {
		t.Errorf("defaults not set: %+v", s)
	}
	parsed, err := Parse("m.json", []byte(validText))
	if err != nil || parsed.Services[0].Routes[0].Name != m.Services[0].Routes[0].Name {
		t.Errorf("Parse differs from Validate, error %v", err)
	}
}

// Guards against an error that is not reported, is reported at the wrong
// position, or causes spurious further problems. Each case replaces a part of the
// valid manifest.
func TestProblems(t *testing.T) {
	cases := []struct{ old, new, want string }{
		{`"version": 1`, `"version": 2`, `m.json:3:14: version: is 2`},
		{`"mandate": "grain", `, ``, `m.json:2:1: mandate: is required`},
		{`"grain"`, `"gr ain"`, `m.json:3:28: mandate: "gr ain" is not a name`},
		{`"term": 1`, `"term": 0`, `m.json:3:45: term: must be at least 1`},
		{`"Riekstu Lentes Grupa"`, `" "`, `m.json:3:58: holder: is required`},
		{`"Riekstu Lentes Grupa"`, `7`, `m.json:3:58: holder: want a string, got 7`},
		{`"term": 1`, `"term": 1, "term": 2`, `m.json:3:48: term: key appears twice`},
		{`"floor": 12`, `"flor": 12`, `m.json:5:26: services[0].flor: unknown key`},
		{`"floor": 12`, `"floor": 1.5`, `m.json:5:35: services[0].floor: want a whole number, got 1.5`},
		{`"floor": 12`, `"floor": 0`, `m.json:5:35: services[0].floor: is 0, must be 1 to`},
		{`"detection"`, `"fast"`, `m.json:5:49: services[0].prefer: is "fast"`},
		{`"slots": 5`, `"slots": 301`, `m.json:5:71: services[0].slots: 301 slots exceed 300 connections`},
		{`"slots": 5`, `"queue": -1`, `m.json:5:71: services[0].queue: is -1`},
		{`"burst": 5`, `"burst": 0`, `m.json:8:43: services[0].routes[0].rate.burst: is 0`},
		{`"per_second": 3`, `"per_second": 0`, `m.json:8:31: services[0].routes[0].rate.per_second: is 0`},
		{`"class": "order"`, `"class": "orders"`, `m.json:10:59: services[0].routes[2].class: unknown class "orders"`},
		{`"class": "order", `, ``, `m.json:10:7: services[0].routes[2].class: is required`},
		{`"order", "idempotent": false`, `"order"`, `m.json:10:7: services[0].routes[2].idempotent: is required`},
		{`"name": "order"`, `"name": "read"`, `m.json:10:16: services[0].routes[2].name: route "read" is already defined in line 7`},
		{`"/belts/orders"`, `"belts"`, `m.json:10:33: services[0].routes[2].path: "belts" must begin with '/'`},
		{`"/belts/orders"`, `"/belts/*/x"`, `m.json:10:33: services[0].routes[2].path: "/belts/*/x" may contain '*' only`},
		{`"/belts/orders"`, `"/belts/../x"`, `cannot be reached`},
		{`"/belts/orders"`, `"/belts/%zz"`, `has a bad percent escape`},
		{`"/belts/orders"`, `"/belts/*"`, `m.json:10:33: services[0].routes[2].path: shadowed by route "rest" of service "belt-desk" in line 9`},
		{`["GET"]`, `["get"]`, `m.json:7:56: services[0].routes[0].methods[0]: is "get"`},
		{`["GET"]`, `["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]`, `m.json:9:32: services[0].routes[1].path: cannot be reached`},
		{`"path": "/belts/orders"`, `"path": "/o", "host": "Belts.lv:80"`, `m.json:10:47: services[0].routes[2].host: "Belts.lv:80" is not a host name`},
		{`"path": "/belts/orders"`, `"path": "/o", "timeout_ms": 0`, `services[0].routes[2].timeout_ms: is 0, must be 1 to 3600000`},
		{`"path": "/belts/orders"`, `"path": "/o", "customer_header": "Hb-Key"`, `is reserved`},
		{`0.999`, `1`, `m.json:12:29: services[0].objective.target: is 1`},
		{`"routes": [`, `"routes": {`, `m.json:`},
	}
	for _, c := range cases {
		_, problems := Validate("m.json", []byte(strings.Replace(validText, c.old, c.new, 1)))
		if len(problems) != 1 || !strings.Contains(problems[0].String(), c.want) {
			t.Errorf("%s instead of %s: problems %v, want one that contains %q", c.new, c.old, problems, c.want)
		}
	}
}

// Guards against validation that stops at the first problem.
func TestEveryProblemIsReported(t *testing.T) {
	text := strings.NewReplacer(`"floor": 12`, `"floor": "x"`, `"burst": 5`, `"burst": 0`, `"term": 1`, `"term": 0`, `"class": "order"`, `"class": 1`).Replace(validText)
	_, problems := Validate("m.json", []byte(text))
	var keys []string
	for _, p := range problems {
		keys = append(keys, p.Key)
	}
	want := []string{"term", "services[0].floor", "services[0].routes[0].rate.burst", "services[0].routes[2].class"}
	if !slices.Equal(keys, want) {
		t.Errorf("problems at %v, want %v", keys, want)
	}
}

// Guards against a mandate that takes over services or requests of another, and
// against floors that exceed the number of known instances.
func TestCrossChecks(t *testing.T) {
	m, _ := Validate("m.json", []byte(validText))
	other, _ := Validate("o.json", []byte(strings.NewReplacer(`"grain"`, `"chairs"`, `/belts/`, `/seats/`).Replace(validText)))
	conflicting, _ := Validate("r.json", []byte(strings.NewReplacer(`"grain"`, `"lens"`, `belt-desk`, `depot`, `"methods": ["GET"], `, `"methods": ["GET","PUT"], `, `orders`, `parts`).Replace(validText)))
	got := fmt.Sprint(CrossCheck("m.json", []byte(validText), m, []*Manifest{other, conflicting}))
	for _, want := range []string{
		`m.json:5:13: services[0].name: service "belt-desk" belongs to mandate "chairs"`,
		`m.json:7:32: services[0].routes[0].path: shadowed by route "read" of service "depot" of mandate "lens"`,
		`m.json:9:32: services[0].routes[1].path: shadowed by route "rest"`,
	} {
		if !strings.Contains(got, want) {
			t.Errorf("problems %v do not contain %q", got, want)
		}
	}
	if p := CrossCheck("m.json", []byte(validText), m, nil); len(p) != 0 {
		t.Errorf("problems without other mandates: %v", p)
	}
	if p := CheckFloors("m.json", []byte(validText), map[string]int{"belt-desk": 11}); len(p) != 1 || p[0].Line != 5 {
		t.Errorf("floor 12 with 11 instances: problems %v, want one in line 5", p)
	}
	if p := CheckFloors("m.json", []byte(validText), map[string]int{"belt-desk": 12, "depot": 0}); len(p) != 0 {
		t.Errorf("floor 12 with 12 instances: problems %v", p)
	}
}

// Guards against input that makes validation panic, and against problems without
// a position.
func TestValidateHandlesArbitraryText(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		text := []byte(validText)
		for range rapid.IntRange(1, 8).Draw(rt, "edits") {
			i := rapid.IntRange(0, len(text)-1).Draw(rt, "at")
			n := rapid.IntRange(0, min(20, len(text)-i)).Draw(rt, "cut")
			insert := rapid.SampledFrom([]string{"", "{", "]", "null", "-1", `"`, "1e99", "[]", "//", ",", "true"}).Draw(rt, "insert")
			text = slices.Concat(text[:i], []byte(insert), text[i+n:])
			if len(text) == 0 {
				return
			}
		}
		_, problems := Validate("m.json", text)
		for _, p := range problems {
			if p.Line < 1 || p.Column < 1 || p.Message == "" {
				rt.Fatalf("incomplete problem %+v for %s", p, text)
			}
		}
	})
}
