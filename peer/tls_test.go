package peer

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"math/big"
	"net/url"
	"os"
	"path/filepath"
	"testing"
	"time"
)

type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t testing.TB) authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "fleet"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, key.Public(), key)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return authority{cert, key}
}

// issue writes certificate files for the given names into dir and returns
// settings that use them.
func (a authority) issue(t testing.TB, dir string, dns []string, uri string) Settings {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), DNSNames: dns,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	if u, err := url.Parse(uri); err == nil && uri != "" {
		tmpl.URIs = []*url.URL{u}
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, a.cert, key.Public(), a.key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	s := Settings{
		CertFile: filepath.Join(dir, "cert.pem"), KeyFile: filepath.Join(dir, "key.pem"),
		CAFile: filepath.Join(dir, "ca.pem"), ReloadInterval: time.Nanosecond,
	}
	writePEM(t, s.CertFile, "CERTIFICATE", der)
	writePEM(t, s.KeyFile, "EC PRIVATE KEY", keyDER)
	writePEM(t, s.CAFile, "CERTIFICATE", a.cert.Raw)
	return s
}

func writePEM(t testing.TB, file, kind string, der []byte) {
	t.Helper()
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
}

// Guards against peers that are accepted with a certificate of another
// authority or another node, or without a certificate.
func TestTLSIdentity(t *testing.T) {
	ca, other := newAuthority(t), newAuthority(t)
	_, addr := startServer(t, ca.issue(t, t.TempDir(), []string{"b"}, ""), "b")
	_, wrongName := startServer(t, ca.issue(t, t.TempDir(), []string{"x"}, ""), "b")
	cases := []struct {
		name     string
		settings Settings
		addr     string
		want     error
	}{
		{"dns name", ca.issue(t, t.TempDir(), []string{"a"}, ""), addr, nil},
		{"uri", ca.issue(t, t.TempDir(), nil, NodeURIPrefix+"a"), addr, nil},
		{"certificate of another node", ca.issue(t, t.TempDir(), []string{"c"}, ""), addr, ErrIdentity},
		{"other authority", other.issue(t, t.TempDir(), []string{"a"}, ""), addr, ErrUnreachable},
		{"plain text to TLS", Settings{}, addr, ErrUnreachable},
		{"server with another name", ca.issue(t, t.TempDir(), []string{"a"}, ""), wrongName, ErrIdentity},
	}
	for _, c := range cases {
		r, err := echo(newTestClient(t, c.settings, Local{Node: "a"}), c.addr, "x")
		if c.want == nil && (err != nil || r.From != "a") || !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", c.name, err, c.want)
		}
	}
	_, plain := startServer(t, Settings{}, "b")
	if _, err := echo(newTestClient(t, cases[0].settings, Local{Node: "a"}), plain, "x"); !errors.Is(err, ErrUnreachable) {
		t.Errorf("TLS to plain text: %v", err)
	}
}

// Guards against certificates that are replaced only by a restart, and against
// a server that fails while a pair of files is half written.
func TestTLSReload(t *testing.T) {
	old, next := newAuthority(t), newAuthority(t)
	dir := t.TempDir()
	srv, addr := startServer(t, old.issue(t, dir, []string{"b"}, ""), "b")
	oldClient := old.issue(t, t.TempDir(), []string{"a"}, "")
	nextClient := next.issue(t, t.TempDir(), []string{"a"}, "")
	if err := os.WriteFile(filepath.Join(dir, "key.pem"), []byte("half"), 0o600); err != nil {
		t.Fatal(err)
	}
	resuming := newTestClient(t, oldClient, Local{Node: "a"})
	for range 2 {
		if _, err := echo(resuming, addr, "x"); err != nil {
			t.Fatalf("with a half-written key: %v", err)
		}
		resuming.CloseConnection(addr)
	}
	if srv.ReloadError() == nil {
		t.Fatal("the failed reload is not reported")
	}
	next.issue(t, dir, []string{"b"}, "")
	if _, err := echo(newTestClient(t, nextClient, Local{Node: "a"}), addr, "x"); err != nil {
		t.Fatalf("new certificates: %v", err)
	}
	if _, err := echo(newTestClient(t, oldClient, Local{Node: "a"}), addr, "x"); !errors.Is(err, ErrUnreachable) {
		t.Fatalf("removed authority: %v", err)
	}
	if _, err := echo(resuming, addr, "x"); !errors.Is(err, ErrUnreachable) {
		t.Fatalf("removed authority with a resumed session: %v", err)
	}
	if err := srv.ReloadError(); err != nil {
		t.Fatalf("after the repair: %v", err)
	}
}

// Guards against plain text on addresses that are not loopback.
func TestPlainTextOffLoopback(t *testing.T) {
	c := newTestClient(t, Settings{}, Local{Node: "a"})
	if _, err := echo(c, "192.0.2.1:1", "x"); !errors.Is(err, ErrPlainText) {
		t.Errorf("call: %v", err)
	}
	srv, err := NewServer(Settings{}, Local{Node: "b"})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := srv.Listen("0.0.0.0:0"); !errors.Is(err, ErrPlainText) {
		t.Errorf("listen: %v", err)
	}
	if err := (Settings{AllowPlainText: true}).checkPlainText("192.0.2.1:1"); err != nil {
		t.Errorf("allowed by settings: %v", err)
	}
}

// BenchmarkTLSFirstCall measures a call on a new connection, such as the probe
// of a peer without a cached connection.
func BenchmarkTLSFirstCall(b *testing.B) { benchmarkCall(b, true) }

// BenchmarkTLSCall measures a call on a cached connection.
func BenchmarkTLSCall(b *testing.B) { benchmarkCall(b, false) }

func benchmarkCall(b *testing.B, reconnect bool) {
	ca := newAuthority(b)
	s := ca.issue(b, b.TempDir(), []string{"n"}, "")
	s.ReloadInterval = time.Second
	s.MessagesPerSecond = 1 << 30
	srv, err := NewServer(s, Local{Node: "n"})
	if err != nil {
		b.Fatal(err)
	}
	Handle(srv, "echo", func(_ context.Context, _ Identity, r *echoReq) (*echoResp, error) { return &echoResp{}, nil })
	l, err := srv.Listen("127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go srv.Serve(l)
	defer srv.Stop()
	c, err := NewClient(s, Local{Node: "n"})
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	for b.Loop() {
		if _, err := echo(c, l.Addr().String(), "x"); err != nil {
			b.Fatal(err)
		}
		if reconnect {
			c.CloseConnection(l.Addr().String())
		}
	}
}
