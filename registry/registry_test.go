package registry

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hyssopbridge/fleet"
)

const validAnnouncement = `{"id":"t1","service":"reserve","address":"127.0.0.1:9000","slots":5,"connections":400,"state":"ready"}`

func post(t *testing.T, h http.Handler, body string) *httptest.ResponseRecorder {
	t.Helper()
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest("POST", "/v1/announce", strings.NewReader(body)))
	return w
}

// Guards against invalid announcements that are accepted, and against errors
// that do not name the invalid field.
func TestAnnounceValidation(t *testing.T) {
	cases := []struct {
		old, new string
		status   int
		message  string
	}{
		{"", "", 200, `"state":"ready"`},
		{`"t1"`, `""`, 400, "field id: missing"},
		{`"t1"`, `"a b"`, 400, "field id: character"},
		{`"id":"t1",`, ``, 400, "field id: missing"},
		{`"reserve"`, `"` + strings.Repeat("x", 129) + `"`, 400, "field service: longer"},
		{`127.0.0.1:9000`, `10.1.1.1:9000`, 400, "field address: 10.1.1.1 is not a loopback"},
		{`127.0.0.1:9000`, `localhost:9000`, 400, "is not an IP address"},
		{`127.0.0.1:9000`, `127.0.0.1:0`, 400, "field address: port"},
		{`"slots":5`, `"slots":0`, 400, "field slots: 0, want 1"},
		{`"slots":5`, `"slots":5.5`, 400, "slots"},
		{`"connections":400`, `"connections":-1`, 400, "field connections"},
		{`"ready"`, `"down"`, 400, "field state"},
		{`"ready"`, `"cold","warmUpSeconds":-1`, 400, "field warmUpSeconds"},
		{`"ready"`, `"ready","extra":1`, 400, "extra"},
		{`}`, `}{}`, 400, "data after"},
		{`"reserve"`, `"` + strings.Repeat("x", maxBodyBytes) + `"`, 413, "too large"},
	}
	for _, c := range cases {
		w := post(t, New(Settings{}, nil, nil).Handler(), strings.Replace(validAnnouncement, c.old, c.new, 1))
		if w.Code != c.status || !strings.Contains(w.Body.String(), c.message) {
			t.Errorf("%q: %d %s, want %d %s", c.new, w.Code, w.Body, c.status, c.message)
		}
	}
}

// Guards against an announcement that takes over the ID or address of another
// target, and against more targets than MaxTargets.
func TestConflictingAnnouncements(t *testing.T) {
	r := New(Settings{MaxTargets: 2}, nil, nil)
	h := r.Handler()
	post(t, h, validAnnouncement)
	for body, status := range map[string]int{
		strings.Replace(validAnnouncement, "reserve", "catalogue", 1): 409,
		strings.Replace(validAnnouncement, "t1", "t2", 1):             409,
	} {
		if w := post(t, h, body); w.Code != status {
			t.Errorf("%s: %d, want %d", body, w.Code, status)
		}
	}
	post(t, h, strings.Replace(strings.Replace(validAnnouncement, "t1", "t2", 1), "9000", "9001", 1))
	if w := post(t, h, strings.Replace(strings.Replace(validAnnouncement, "t1", "t3", 1), "9000", "9002", 1)); w.Code != 503 {
		t.Errorf("third target: %d, want 503", w.Code)
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest("DELETE", "/v1/announce/t2", nil))
	if w.Code != 204 || r.List()[1].State != fleet.Down {
		t.Errorf("delete: %d, %+v", w.Code, r.List())
	}
	if _, err := ListenLoopback("0.0.0.0:0"); !errors.Is(err, ErrNotLoopback) {
		t.Errorf("listen on all addresses: %v", err)
	}
}

// Guards against a drain that an announcement ends, a sequence or incarnation
// that decreases, a change without a new sequence, and targets that are not
// Down or not removed after their announcements stop.
func TestRegistryProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.UnixMilli(1_700_000_000_000)
		c := NewCore(Settings{})
		announcedAt := map[string]time.Time{}
		drained := map[string]bool{}
		last := map[string]Target{}
		id := rapid.SampledFrom([]string{"a", "b", "c"})
		t.Repeat(map[string]func(*rapid.T){
			"announce": func(t *rapid.T) {
				i := id.Draw(t, "id")
				a := Announcement{
					ID: i, Service: "s", Address: "127.0.0.1:900" + map[string]string{"a": "1", "b": "2", "c": "3"}[i],
					Slots: rapid.IntRange(1, 3).Draw(t, "slots"), Connections: 9,
					State:  fleet.InstanceState(rapid.IntRange(0, 2).Draw(t, "state")),
					WarmUp: time.Duration(rapid.IntRange(0, 2).Draw(t, "warm")) * time.Second,
				}
				if err := c.Announce(now, a); err != nil {
					t.Fatal(err)
				}
				announcedAt[i] = now
			},
			"remove":  func(t *rapid.T) { i := id.Draw(t, "id"); c.Remove(now, i); delete(announcedAt, i) },
			"drain":   func(t *rapid.T) { i := id.Draw(t, "id"); drained[i] = true; _ = c.Drain(now, i) },
			"undrain": func(t *rapid.T) { i := id.Draw(t, "id"); delete(drained, i); c.Undrain(now, i) },
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.SampledFrom([]int{100, 1000, 2900, 3000, 60000}).Draw(t, "ms")) * time.Millisecond)
				c.Tick(now)
			},
			"": func(t *rapid.T) {
				for _, x := range c.List() {
					old, known := last[x.ID]
					last[x.ID] = x
					if known && (x.Incarnation < old.Incarnation || x.Incarnation == old.Incarnation && x.Seq < old.Seq) {
						t.Fatalf("sequence or incarnation decreased: %+v after %+v", x, old)
					}
					if known && x.Seq == old.Seq && x.Incarnation == old.Incarnation && x != old {
						t.Fatalf("changed without a new sequence: %+v after %+v", x, old)
					}
					if drained[x.ID] && x.State != fleet.Draining && x.State != fleet.Down {
						t.Fatalf("drained target in state %v", x.State)
					}
					at, ok := announcedAt[x.ID]
					if expired := !ok || now.Sub(at) >= 3*time.Second; expired != (x.State == fleet.Down) {
						t.Fatalf("state %v, announcement expired %v", x.State, expired)
					}
					if ok && now.Sub(at) > 63*time.Second+time.Minute {
						t.Fatalf("target %s is kept without announcements", x.ID)
					}
				}
			},
		})
	})
}

// Guards against targets that are never removed after their announcements stop,
// and warm-ups that restart with each announcement.
func TestExpiryAndWarmUp(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	c := NewCore(Settings{})
	a := Announcement{ID: "a", Service: "s", Address: "127.0.0.1:9001", Slots: 1, Connections: 1, WarmUp: 2 * time.Second}
	for range 3 {
		if err := c.Announce(now, a); err != nil {
			t.Fatal(err)
		}
		now = now.Add(time.Second)
	}
	c.Tick(now)
	if s := c.List()[0].State; s != fleet.Ready {
		t.Fatalf("after the warm-up: %v", s)
	}
	c.Tick(now.Add(3 * time.Second))
	if s := c.List()[0].State; s != fleet.Down {
		t.Fatalf("after the announcements stopped: %v", s)
	}
	c.Tick(now.Add(63 * time.Second))
	if len(c.List()) != 0 {
		t.Fatal("target is kept without announcements")
	}
}
