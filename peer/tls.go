package peer

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"slices"

	"google.golang.org/grpc/credentials"

	"hyssopbridge/internal/keyfiles"
)

// sessionCacheSize is the number of TLS sessions cached for resumption, which
// saves the signatures of a handshake.
const sessionCacheSize = 4096

// curves restricts the key exchange. The default hybrid exchange takes 0.4 ms
// more CPU time per new connection, and most probes of a large fleet use new
// connections.
var curves = []tls.CurveID{tls.CurveP256}

// NodeURIPrefix is the prefix of a certificate URI that contains a node ID.
const NodeURIPrefix = "urn:hyssopbridge:node:"

// certReloader holds the certificates and reloads them when their files change.
type certReloader struct{ *keyfiles.Reloader }

func newCertReloader(s Settings) (*certReloader, error) {
	r, err := keyfiles.New(keyfiles.Files{Cert: s.CertFile, Key: s.KeyFile, CA: s.CAFile}, s.ReloadInterval)
	if err != nil {
		return nil, err
	}
	return &certReloader{r}, nil
}

// reloadError returns the error of the last reload, or nil.
func (k *certReloader) reloadError() error {
	if k == nil {
		return nil
	}
	return k.Err()
}

func (k *certReloader) serverCredentials() credentials.TransportCredentials {
	return credentials.NewTLS(&tls.Config{
		MinVersion:       tls.VersionTLS13,
		CurvePreferences: curves,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, pool := k.Current()
			return &tls.Config{
				MinVersion:       tls.VersionTLS13,
				CurvePreferences: curves,
				Certificates:     []tls.Certificate{*cert},
				ClientCAs:        pool,
				ClientAuth:       tls.RequireAndVerifyClientCert,
				NextProtos:       []string{"h2"},
				// Called for resumed sessions too, so that they are checked
				// against the current certificate authorities.
				VerifyConnection: k.verifyClient,
			}, nil
		},
	})
}

// clientCredentials returns credentials that verify the certificate chain of a
// server but not its host name, because nodes are addressed by IP address. The
// node ID is checked when the response arrives.
func (k *certReloader) clientCredentials() credentials.TransportCredentials {
	return credentials.NewTLS(&tls.Config{
		MinVersion:         tls.VersionTLS13,
		CurvePreferences:   curves,
		InsecureSkipVerify: true,
		VerifyConnection:   k.verifyServer,
		ClientSessionCache: tls.NewLRUClientSessionCache(sessionCacheSize),
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := k.Current()
			return cert, nil
		},
	})
}

func (k *certReloader) verifyServer(cs tls.ConnectionState) error {
	return k.verify(cs, x509.ExtKeyUsageServerAuth)
}

func (k *certReloader) verifyClient(cs tls.ConnectionState) error {
	return k.verify(cs, x509.ExtKeyUsageClientAuth)
}

func (k *certReloader) verify(cs tls.ConnectionState, usage x509.ExtKeyUsage) error {
	if len(cs.PeerCertificates) == 0 {
		return errors.New("peer sent no certificate")
	}
	_, pool := k.Current()
	opts := x509.VerifyOptions{
		Roots: pool, Intermediates: x509.NewCertPool(), KeyUsages: []x509.ExtKeyUsage{usage},
	}
	for _, c := range cs.PeerCertificates[1:] {
		opts.Intermediates.AddCert(c)
	}
	_, err := cs.PeerCertificates[0].Verify(opts)
	return err
}

// verifyNode reports whether the certificate of the connection contains the
// node ID. A connection without TLS is accepted but not verified.
func verifyNode(auth credentials.AuthInfo, node string) (verified, accepted bool) {
	info, ok := auth.(credentials.TLSInfo)
	if !ok {
		return false, true
	}
	if len(info.State.PeerCertificates) == 0 {
		return false, false
	}
	named := hasNodeName(info.State.PeerCertificates[0], node)
	return named, named
}

func hasNodeName(c *x509.Certificate, node string) bool {
	if slices.Contains(c.DNSNames, node) {
		return true
	}
	for _, u := range c.URIs {
		if u.String() == NodeURIPrefix+node {
			return true
		}
	}
	return false
}
