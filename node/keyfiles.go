package node

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net"
	"time"

	"hyssopbridge/config/static"
	"hyssopbridge/internal/keyfiles"
)

// keyCheckInterval is the interval at which key files are checked for changes.
const keyCheckInterval = time.Second

// keyFiles builds TLS settings from a certificate, key and CA, which are reloaded
// when their files change.
type keyFiles struct{ *keyfiles.Reloader }

func newKeyFiles(t *static.TLS) (*keyFiles, error) {
	r, err := keyfiles.New(keyfiles.Files{Cert: t.Cert, Key: t.Key, CA: t.CA}, keyCheckInterval)
	if err != nil {
		return nil, err
	}
	return &keyFiles{r}, nil
}

// serverConfig returns the TLS settings of a listener. With mutual, clients must
// present a certificate of the CA.
func (k *keyFiles) serverConfig(mutual bool) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, pool := k.Current()
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

// dial opens a TLS connection to another node. It verifies the certificate chain
// against the fleet's CA but not the host name, because node certificates contain
// node IDs instead of addresses.
func (k *keyFiles) dial(ctx context.Context, addr string) (net.Conn, error) {
	cert, pool := k.Current()
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
