package standin

import (
	"context"
	"errors"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"hyssopbridge/platformlog"
)

var ctx = context.Background()

// newClient serves h on loopback and returns a client for it.
func newClient(t *testing.T, h http.Handler) *platformlog.HTTPClient {
	t.Helper()
	s := httptest.NewUnstartedServer(h)
	s.Config.ErrorLog = log.New(io.Discard, "", 0)
	s.Start()
	t.Cleanup(s.Close)
	return platformlog.NewHTTPClient(s.URL + "/")
}

func record(id string) platformlog.Record {
	return platformlog.Record{ID: id, Stream: "a/b", Data: []byte(id)}
}

// Guards against a client that returns the wrong kind of error: after
// ErrUnavailable the record is certainly not in the log, after
// ErrUnknownOutcome it may be.
func TestClientErrors(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	l := NewWith(Options{Now: func() time.Time { return now }, MaxCount: 3, AppendRate: 6})
	c := newClient(t, l)
	for i := range 5 {
		if offset, err := c.Append(ctx, record("r")); err != nil || offset != int64(i+1) {
			t.Fatalf("append %d: %d, %v", i, offset, err)
		}
	}
	var expired *platformlog.ExpiredError
	if _, err := c.Read(ctx, "a/b", 1, 10); !errors.As(err, &expired) || expired.First != 3 || expired.From != 1 {
		t.Errorf("read of an expired offset: %v", err)
	}
	if entries, err := c.Read(ctx, "a/b", 4, 10); err != nil || len(entries) != 2 || entries[0].Offset != 4 {
		t.Errorf("read from 4: %v, %v", entries, err)
	}
	if first, next, err := c.Bounds(ctx, "a/b"); first != 3 || next != 6 || err != nil {
		t.Errorf("bounds %d, %d, %v", first, next, err)
	}
	l.SetFaults(Faults{LostResponses: 1})
	_, err := c.Append(ctx, record("lost"))
	wantError(t, "lost response", err, platformlog.ErrUnknownOutcome)
	if _, next, _ := l.Bounds(ctx, "a/b"); next != 7 {
		t.Errorf("append with a lost response had no effect: next offset %d", next)
	}
	l.SetFaults(Faults{})
	_, err = c.Append(ctx, record("fast"))
	wantError(t, "append rate", err, platformlog.ErrUnavailable)
	now = now.Add(time.Second)
	l.SetFaults(Faults{AppendsDown: true})
	_, err = c.Append(ctx, record("r"))
	wantError(t, "appends down", err, platformlog.ErrUnavailable)
	if _, err = c.Read(ctx, "a/b", 5, 1); err != nil {
		t.Errorf("read while appends are down: %v", err)
	}
	l.SetFaults(Faults{ReadsDown: true})
	_, err = c.Read(ctx, "a/b", 5, 1)
	wantError(t, "reads down", err, platformlog.ErrUnavailable)
	_, err = platformlog.NewHTTPClient("http://127.0.0.1:1").Append(ctx, record("r"))
	wantError(t, "refused connection", err, platformlog.ErrUnavailable)
}

func wantError(t *testing.T, name string, err, want error) {
	t.Helper()
	both := errors.Is(err, platformlog.ErrUnavailable) && errors.Is(err, platformlog.ErrUnknownOutcome)
	if !errors.Is(err, want) || both {
		t.Errorf("%s: %v, want %v", name, err, want)
	}
}

// Guards against responses that exhaust memory, have offsets out of order or are
// wrongly treated as success, and against calls that outlive their context.
func TestClientRejectsInvalidResponses(t *testing.T) {
	response := ""
	c := newClient(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if response == "hang" {
			// The server detects a closed connection only after it has read the body.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			return
		}
		_, _ = io.WriteString(w, response)
	}))
	for _, response = range []string{
		`[{"offset":5},{"offset":5}]`, `[{"offset":1}]`, `[{"offset":4},{"offset":5},{"offset":6}]`, `{`,
	} {
		if entries, err := c.Read(ctx, "s", 4, 2); !errors.Is(err, platformlog.ErrUnavailable) {
			t.Errorf("read with response %s: %v, %v", response, entries, err)
		}
	}
	for _, response = range []string{`{"offset":0}`, `{}`, `x`, string(make([]byte, 8<<10))} {
		if _, err := c.Append(ctx, record("r")); !errors.Is(err, platformlog.ErrUnknownOutcome) {
			t.Errorf("append with response %.20q: %v", response, err)
		}
	}
	response = "hang"
	short, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
	defer cancel()
	_, err := c.Append(short, record("r"))
	wantError(t, "append beyond its context", err, platformlog.ErrUnknownOutcome)
	_, err = c.Read(short, "s", 1, 1)
	wantError(t, "read beyond its context", err, platformlog.ErrUnavailable)
}

// Guards against faults that do not occur, or that differ between runs with the
// same seed.
func TestFaults(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	runAppends := func(f Faults) (offsets []int64, errs int, l *Log) {
		l = NewWith(Options{Now: func() time.Time { return now }, Seed: 7, MaxAge: time.Minute})
		l.SetFaults(f)
		for range 200 {
			offset, err := l.Append(ctx, record("r"))
			if err != nil {
				errs++
				continue
			}
			offsets = append(offsets, offset)
		}
		return offsets, errs, l
	}
	if _, errs, l := runAppends(Faults{LostRequests: 0.5}); errs < 60 || errs > 140 || l.Appends() != int64(200-errs) {
		t.Errorf("lost requests: %d errors, %d records", errs, l.Appends())
	}
	if _, errs, l := runAppends(Faults{LostResponses: 0.5}); errs < 60 || errs > 140 || l.Appends() != 200 {
		t.Errorf("lost responses: %d errors, %d records", errs, l.Appends())
	}
	a, errs, l := runAppends(Faults{Duplicates: 0.3, LateDuplicates: 0.3})
	if errs != 0 || l.Appends() < 290 || l.Appends() > 350 {
		t.Errorf("duplicates: %d errors, %d records", errs, l.Appends())
	}
	b, _, _ := runAppends(Faults{Duplicates: 0.3, LateDuplicates: 0.3})
	for i := range a {
		if a[i] != b[i] {
			t.Fatalf("two runs with one seed differ at append %d", i)
		}
	}
	now = now.Add(2 * time.Minute)
	if first, next, _ := l.Bounds(ctx, "a/b"); first != next {
		t.Errorf("records older than MaxAge are retained: %d to %d", first, next)
	}
}

// Guards against waits that exceed their bounds or are equal on every node.
func TestBackoff(t *testing.T) {
	b, other := platformlog.NewBackoff(100, 1000, 1), platformlog.NewBackoff(100, 1000, 2)
	same := true
	for _, bound := range []time.Duration{100, 200, 400, 800, 1000, 1000} {
		w := b.Next()
		same = same && w == other.Next()
		if w < bound/2 || w > bound {
			t.Errorf("wait %d, want %d to %d", w, bound/2, bound)
		}
	}
	if b.Reset(); b.Next() > 100 || same {
		t.Error("reset has no effect, or two seeds give equal waits")
	}
}
