package filters

import (
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"hyssopbridge/config/manifest"
	"hyssopbridge/fleet"
	"hyssopbridge/limits"
	"hyssopbridge/resultcode"
	"hyssopbridge/routing"
)

func testContext(header http.Header) *Context {
	return &Context{
		Request:        request(header),
		RemoteIP:       "192.0.2.1",
		Now:            time.Second,
		Route:          &routing.Route{ID: "s/r", CustomerHeader: "Customer-Id", Timeout: time.Second, Class: fleet.Background},
		ResponseHeader: http.Header{},
	}
}

func runFilter(t *testing.T, s Spec, c *Context) error {
	t.Helper()
	f, err := s.New(nil)
	if err != nil {
		t.Fatal(err)
	}
	return f.Request(c)
}

// Guards against a caller extending the route's timeout, against requests without
// a deadline, and against accepting a malformed Request-Timeout-Ms.
func TestDeadline(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"":          2 * time.Second,
		"250":       1250 * time.Millisecond,
		"9999":      2 * time.Second,
		"999999999": 2 * time.Second,
		"0":         0, "-1": 0, "1.5": 0, "1000000000": 0, "x": 0, " 1": 0, "9999999999999999999999": 0,
	} {
		c := testContext(http.Header{"Hb-Deadline-Ms": {"1"}})
		if value != "" {
			c.Request.Header.Set(TimeoutHeader, value)
		}
		err := runFilter(t, DeadlineSpec{}, c)
		if want == 0 && notRunCode(err) != resultcode.BadRequest || want != 0 && (err != nil || c.Deadline != want) {
			t.Errorf("timeout %q: deadline %v, error %v, want %v", value, c.Deadline, err, want)
		}
	}
	c := testContext(http.Header{TimeoutHeader: {"1", "2"}})
	if notRunCode(runFilter(t, DeadlineSpec{}, c)) != resultcode.BadRequest {
		t.Error("a request with two timeouts was accepted")
	}
}

// Guards against distinct keys that become equal by normalization, keys of
// unlimited length, and invalid keys that fail requests on idempotent routes.
func TestIdempotencyKey(t *testing.T) {
	for value, want := range map[string]string{
		"0190a1b2-7c3d-7000-8000-000000000001": "0190a1b2-7c3d-7000-8000-000000000001",
		`"quoted"`:                             "quoted",
		"a:b~c.d_e":                            "a:b~c.d_e",
		strings.Repeat("k", MaxKeyBytes):       strings.Repeat("k", MaxKeyBytes),
		"":                                     "", `""`: "", `"`: "", `"a`: "", "a b": "", "a,b": "", "a\x00": "", "\u00e9": "", "a/b": "",
		strings.Repeat("k", MaxKeyBytes+1): "",
	} {
		c := testContext(http.Header{KeyHeader: {value}})
		err := runFilter(t, IdempotencySpec{}, c)
		if want == "" && notRunCode(err) != resultcode.BadRequest || want != "" && (err != nil || c.Key != want) {
			t.Errorf("header %q: key %q, error %v, want %q", value, c.Key, err, want)
		}
	}
	c := testContext(http.Header{KeyHeader: {"a", "a"}})
	if notRunCode(runFilter(t, IdempotencySpec{}, c)) != resultcode.BadRequest {
		t.Error("a request with two keys was accepted")
	}
	c = testContext(http.Header{KeyHeader: {"not a key"}})
	c.Route.Idempotent = true
	if err := runFilter(t, IdempotencySpec{}, c); err != nil || c.Key != "" {
		t.Errorf("idempotent route: key %q, error %v", c.Key, err)
	}
}

// Guards against two payloads with the same hash because the concatenation of
// their parts is equal.
func TestPayloadHash(t *testing.T) {
	seen := map[PayloadHash]bool{}
	for _, p := range [][4]string{
		{"POST", "/a", "t", "body"}, {"POST", "/a", "t", "bodz"}, {"POST", "/at", "", "body"}, {"POST/", "a", "t", "body"},
		{"POST", "/a", "tb", "ody"}, {"POST", "/a", "t", ""}, {"PUT", "/a", "t", "body"},
	} {
		h := HashPayload(p[0], p[1], p[2], []byte(p[3]))
		if seen[h] {
			t.Errorf("payload %q has the hash of another payload", p)
		}
		seen[h] = true
	}
	p := NewPayloadHasher("POST", "/a", "t")
	for _, part := range []string{"bo", "", "dy"} {
		_, _ = p.Write([]byte(part))
	}
	if !seen[p.Sum()] {
		t.Error("a body written in parts hashes differently from the whole body")
	}
}

// Guards against customers that share a rate limit or evade it.
func TestRateLimitByCustomer(t *testing.T) {
	rates := limits.NewRateLimiter(limits.RateConfig{Node: "n"})
	send := func(customer, ip, route string) error {
		c := testContext(http.Header{})
		if customer != "" {
			c.Request.Header.Set("Customer-Id", customer)
		}
		c.RemoteIP, c.Route.ID = ip, route
		c.Route.Rate = &manifest.Rate{PerSecond: 1, Burst: 2}
		if err := runFilter(t, CustomerSpec{}, c); err != nil {
			return err
		}
		return runFilter(t, RateLimitSpec{RateLimits: rates}, c)
	}
	for _, caller := range [][3]string{{"a", "1", "r"}, {"b", "1", "r"}, {"", "1", "r"}, {"", "2", "r"}, {"a", "1", "q"}} {
		for i := range 3 {
			err := send(caller[0], caller[1], caller[2])
			if (i == 2) != (notRunCode(err) == resultcode.RateLimited) {
				t.Errorf("request %d of customer, address and route %q: %v", i, caller, err)
			}
		}
	}
	for _, customer := range []string{"a b", strings.Repeat("c", maxCustomerBytes+1), "\x7f"} {
		if notRunCode(send(customer, "1", "r")) != resultcode.BadRequest {
			t.Errorf("customer %q was accepted", customer)
		}
	}
}

// recordingFilter appends its steps to trace and refuses requests if refuse is set.
type recordingFilter struct {
	name   string
	refuse bool
	trace  *[]string
}

func (f recordingFilter) Request(*Context) error {
	*f.trace = append(*f.trace, "request "+f.name)
	if f.refuse {
		return resultcode.New(resultcode.BadRequest, "refused")
	}
	return nil
}
func (f recordingFilter) Response(*Context) { *f.trace = append(*f.trace, "response "+f.name) }
func (f recordingFilter) Done(*Context)     { *f.trace = append(*f.trace, "done "+f.name) }

// Guards against steps in the wrong order, and against filters that do not
// release their resources when a later filter refuses the request.
func TestChainOrder(t *testing.T) {
	var trace []string
	c := NewChain(recordingFilter{"a", false, &trace}, recordingFilter{"b", false, &trace})
	if err := c.Request(nil); err != nil {
		t.Fatal(err)
	}
	c.Response(nil)
	c.Done(nil)
	want := []string{"request a", "request b", "response b", "response a", "done b", "done a"}
	if !slices.Equal(trace, want) {
		t.Errorf("steps %q, want %q", trace, want)
	}
	trace = nil
	c = NewChain(recordingFilter{"a", false, &trace}, recordingFilter{"b", true, &trace}, recordingFilter{"c", false, &trace})
	if c.Request(nil) == nil {
		t.Error("Request returned no error although a filter refused")
	}
	if want := []string{"request a", "request b", "done a"}; !slices.Equal(trace, want) {
		t.Errorf("steps %q, want %q", trace, want)
	}
}

// Guards against default chains that name an unregistered filter, against
// arguments that are silently ignored, and against a refused request that is
// still counted as in flight.
func TestRegistry(t *testing.T) {
	classLimits := limits.NewClassLimiter(1)
	reg := NewRegistry(Resources{RateLimits: limits.NewRateLimiter(limits.RateConfig{Node: "n"}), ClassLimits: classLimits})
	before, err := reg.Chain(BeforeRouting())
	if err != nil {
		t.Fatal(err)
	}
	after, err := reg.Chain(AfterRouting())
	if err != nil {
		t.Fatal(err)
	}
	c := testContext(http.Header{"Hb-Request-Id": {"forged"}, KeyHeader: {"k"}})
	c.Route.Rate = &manifest.Rate{PerSecond: 0.001, Burst: 1}
	for i, want := range []resultcode.Code{0, resultcode.RateLimited, resultcode.RateLimited} {
		if err := before.Request(c); err != nil {
			t.Fatal(err)
		}
		err := after.Request(c)
		if notRunCode(err) != want {
			t.Errorf("request %d: %v, want %v", i, err, want)
		}
		if err == nil {
			if classLimits.InFlight() != 1 {
				t.Error("the class limiter does not count the request in flight")
			}
			after.Done(c)
		}
		if classLimits.InFlight() != 0 {
			t.Error("the class limiter still counts a finished request")
		}
	}
	before.Response(c)
	if got := c.ResponseHeader.Get(RequestIDHeader); len(got) != 32 || got != c.RequestID {
		t.Errorf("request ID %q in the response, %q in the context", got, c.RequestID)
	}
	var unknown *UnknownFilterError
	if _, err := reg.Chain([]Config{{Name: "none"}}); !errors.As(err, &unknown) || len(unknown.Known) != 7 {
		t.Errorf("unknown filter: %v", err)
	}
	for _, name := range reg.Names() {
		if _, err := reg.Chain([]Config{{Name: name, Args: json.RawMessage(`{"no_such_key": 1}`)}}); err == nil {
			t.Errorf("filter %s ignores an unknown argument", name)
		}
	}
}
