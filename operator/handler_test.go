package operator

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"hyssopbridge/burn"
	"hyssopbridge/events"
)

// fakeSource is a node with a fixed state.
type fakeSource struct {
	drained []string
	filter  events.Filter
}

func (f *fakeSource) Status(q StatusQuery) *Status { return &Status{Node: "h1"} }
func (f *fakeSource) Events(filter events.Filter) events.Page {
	f.filter = filter
	return events.Page{}
}
func (f *fakeSource) Burn() *burn.Report { return &burn.Report{} }
func (f *fakeSource) Metrics() *Metrics  { return NewMetrics() }
func (f *fakeSource) Unhealthy() string  { return "no configuration is known yet" }
func (f *fakeSource) Drain(_ context.Context, target string) (string, error) {
	f.drained = append(f.drained, target)
	return "h1", nil
}
func (f *fakeSource) Undrain(context.Context, string) (string, error) { return "", ErrNotDrained }

// nonLoopbackListener reports an address that is not a loopback address.
type nonLoopbackListener struct{ net.Listener }

func (nonLoopbackListener) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(192, 0, 2, 1), Port: 80} }

// serve starts the API on a TCP listener and returns the listener's address.
func serve(t *testing.T, s Source, tokenFile string, wrap func(net.Listener) net.Listener) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: NewHandler(s, NewAuthorizer(tokenFile, wrap(l).Addr()))}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

func unwrapped(l net.Listener) net.Listener { return l }

func sendRequest(t *testing.T, method, addr, path, authorization string) (status int, body string) {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+addr+path, http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	if authorization != "" {
		req.Header.Set("Authorization", authorization)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(data)
}

// Changes must need the token, except on a loopback listener without a token
// file. Read requests must not need it.
func TestTokenRules(t *testing.T) {
	dir := t.TempDir()
	token := filepath.Join(dir, "token")
	if err := os.WriteFile(token, []byte("a-long-secret\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	empty := filepath.Join(dir, "empty")
	if err := os.WriteFile(empty, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	remote := func(l net.Listener) net.Listener { return nonLoopbackListener{l} }
	for name, c := range map[string]struct {
		file          string
		wrap          func(net.Listener) net.Listener
		authorization string
		want          int
	}{
		"loopback, no token file":      {"", unwrapped, "", http.StatusOK},
		"off loopback, no token file":  {"", remote, "", http.StatusForbidden},
		"no file, some token":          {"", remote, "Bearer a-long-secret", http.StatusForbidden},
		"right token":                  {token, unwrapped, "Bearer a-long-secret", http.StatusOK},
		"right token off loopback":     {token, remote, "Bearer a-long-secret", http.StatusOK},
		"no token on loopback":         {token, unwrapped, "", http.StatusUnauthorized},
		"wrong token":                  {token, unwrapped, "Bearer a-long-secreT", http.StatusUnauthorized},
		"beginning of the token":       {token, unwrapped, "Bearer a-long", http.StatusUnauthorized},
		"other scheme":                 {token, unwrapped, "Basic a-long-secret", http.StatusUnauthorized},
		"empty token file, no token":   {empty, unwrapped, "Bearer ", http.StatusForbidden},
		"missing token file, no token": {filepath.Join(dir, "none"), unwrapped, "", http.StatusForbidden},
	} {
		t.Run(name, func(t *testing.T) {
			s := &fakeSource{}
			addr := serve(t, s, c.file, c.wrap)
			status, body := sendRequest(t, http.MethodPost, addr, "/v1/drain/belt-desk-1", c.authorization)
			if status != c.want || (len(s.drained) == 1) != (c.want == http.StatusOK) {
				t.Errorf("status %d, want %d; drained %v; %s", status, c.want, s.drained, body)
			}
			if strings.Contains(body, "a-long") {
				t.Errorf("response contains the token: %s", body)
			}
			if status, _ := sendRequest(t, http.MethodGet, addr, "/v1/status", ""); status != http.StatusOK {
				t.Errorf("GET /v1/status: HTTP status %d", status)
			}
		})
	}
}

// Misspelled parameters must be refused, not ignored, names must be bounded, and
// each error must have the right HTTP status.
func TestRequestValidation(t *testing.T) {
	s := &fakeSource{}
	addr := serve(t, s, "", unwrapped)
	for _, c := range []struct {
		method, path string
		want         int
		text         string
	}{
		{"GET", "/v1/events?kind=ejection,retry&since=10m&request=r1&limit=7", 200, ""},
		{"GET", "/v1/events?kind=eject", 400, "unknown kind"},
		{"GET", "/v1/events?sevice=x", 400, "unknown parameter"},
		{"GET", "/v1/events?since=yesterday", 400, "want a duration"},
		{"GET", "/v1/events?limit=0", 400, "at least 1"},
		{"GET", "/v1/status?service=a&service=b", 400, "repeated"},
		{"GET", "/v1/status?service=" + strings.Repeat("x", 300), 400, "longer than"},
		{"GET", "/v1/burn?x=1", 400, "unknown parameter"},
		{"GET", "/v1/metrics?format=xml", 400, "want json or text"},
		{"GET", "/v1/metrics", 200, "request_latency_us.order"},
		{"GET", "/v1/metrics?format=text", 200, "request_latency_us.order.p99 0"},
		{"GET", "/healthz", 503, "no configuration"},
		{"DELETE", "/v1/drain/t1", 404, "not drained"},
		{"POST", "/v1/drain/" + strings.Repeat("x", 300), 400, "longer than"},
		{"POST", "/v1/status", 405, ""},
		{"GET", "/v2/status", 404, ""},
	} {
		if status, body := sendRequest(t, c.method, addr, c.path, ""); status != c.want || !strings.Contains(body, c.text) {
			t.Errorf("%s %s: %d %s", c.method, c.path, status, body)
		}
	}
	if f := s.filter; len(f.Kinds) != 2 || f.Request != "r1" || f.Limit != 7 || f.Since.IsZero() {
		t.Errorf("filter %+v", f)
	}
}
