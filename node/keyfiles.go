package node

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"hyssopbridge/config/static"
)

// keyCheck is how often key files are looked at for changes.
const keyCheck = time.Second

// keyFiles holds a certificate and CA that are read again when the files
// change. A file that cannot be read keeps the last good keys in use.
type keyFiles struct {
	files   static.TLS
	mu      sync.Mutex
	cert    *tls.Certificate
	pool    *x509.CertPool
	stamp   time.Time // newest modification time of the files in use
	checked time.Time
}

func newKeyFiles(t *static.TLS) (*keyFiles, error) {
	k := &keyFiles{files: *t}
	if err := k.load(); err != nil {
		return nil, err
	}
	return k, nil
}

func (k *keyFiles) load() error {
	cert, err := tls.LoadX509KeyPair(k.files.Cert, k.files.Key)
	if err != nil {
		return fmt.Errorf("load key pair: %w", err)
	}
	var pool *x509.CertPool
	if k.files.CA != "" {
		pem, err := os.ReadFile(k.files.CA)
		if err != nil {
			return fmt.Errorf("load CA: %w", err)
		}
		pool = x509.NewCertPool()
		if !pool.AppendCertsFromPEM(pem) {
			return fmt.Errorf("load CA: %s holds no certificate", k.files.CA)
		}
	}
	k.cert, k.pool, k.stamp = &cert, pool, k.modified()
	return nil
}

func (k *keyFiles) modified() time.Time {
	var newest time.Time
	for _, f := range []string{k.files.Cert, k.files.Key, k.files.CA} {
		if info, err := os.Stat(f); err == nil && info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest
}

// current returns the keys in use, after looking for changed files.
func (k *keyFiles) current() (*tls.Certificate, *x509.CertPool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if now := time.Now(); now.Sub(k.checked) > keyCheck {
		k.checked = now
		if k.modified().After(k.stamp) {
			_ = k.load()
		}
	}
	return k.cert, k.pool
}

// serverConfig returns the TLS settings of a listener; mutual demands a
// certificate of the caller.
func (k *keyFiles) serverConfig(mutual bool) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, pool := k.current()
			cfg := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{*cert}}
			if mutual {
				cfg.ClientAuth, cfg.ClientCAs = tls.RequireAndVerifyClientCert, pool
			} else {
				cfg.NextProtos = []string{"h2", "http/1.1"}
			}
			return cfg, nil
		},
	}
}

var errNoPeerCert = errors.New("peer sent no certificate")

// dial opens a TLS connection to another node. The chain is checked against
// the fleet's CA; node certificates name node IDs, not addresses.
func (k *keyFiles) dial(ctx context.Context, addr string) (net.Conn, error) {
	cert, pool := k.current()
	d := tls.Dialer{Config: &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*cert},
		InsecureSkipVerify: true, // replaced by VerifyConnection
		VerifyConnection: func(cs tls.ConnectionState) error {
			if len(cs.PeerCertificates) == 0 {
				return errNoPeerCert
			}
			opts := x509.VerifyOptions{Roots: pool, Intermediates: x509.NewCertPool()}
			for _, c := range cs.PeerCertificates[1:] {
				opts.Intermediates.AddCert(c)
			}
			_, err := cs.PeerCertificates[0].Verify(opts)
			return err
		},
	}}
	return d.DialContext(ctx, "tcp", addr)
}
