package peer

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"slices"

	"google.golang.org/grpc/credentials"

	"hyssopbridge/internal/keyfiles"
)

// sessions is the number of TLS sessions kept for resumption, which saves the
// signatures of a handshake.
const sessions = 4096

// curves restricts the key exchange. With the default hybrid exchange a new
// connection takes 0.4 ms more processor time, and most probes of a large fleet
// use new connections.
var curves = []tls.CurveID{tls.CurveP256}

// NodeURIPrefix is the prefix of a certificate URI that names a node ID.
const NodeURIPrefix = "urn:hyssopbridge:node:"

// keys holds the certificate files and reads them again when they change.
type keys struct{ *keyfiles.Reloader }

func newKeys(s Settings) (*keys, error) {
	r, err := keyfiles.New(keyfiles.Files{Cert: s.CertFile, Key: s.KeyFile, CA: s.CAFile}, s.ReloadInterval)
	if err != nil {
		return nil, err
	}
	return &keys{r}, nil
}

// reloadError returns the failure of the last reload, or nil.
func (k *keys) reloadError() error {
	if k == nil {
		return nil
	}
	return k.Err()
}

func (k *keys) serverCredentials() credentials.TransportCredentials {
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
				// A resumed session is checked against the current authorities too.
				VerifyConnection: k.verifyClient,
			}, nil
		},
	})
}

// clientCredentials verify the chain of a server but not its host name, because
// nodes are addressed by IP number. The node ID is checked with the response.
func (k *keys) clientCredentials() credentials.TransportCredentials {
	return credentials.NewTLS(&tls.Config{
		MinVersion:         tls.VersionTLS13,
		CurvePreferences:   curves,
		InsecureSkipVerify: true,
		VerifyConnection:   k.verifyServer,
		ClientSessionCache: tls.NewLRUClientSessionCache(sessions),
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := k.Current()
			return cert, nil
		},
	})
}

func (k *keys) verifyServer(cs tls.ConnectionState) error {
	return k.verify(cs, x509.ExtKeyUsageServerAuth)
}

func (k *keys) verifyClient(cs tls.ConnectionState) error {
	return k.verify(cs, x509.ExtKeyUsageClientAuth)
}

func (k *keys) verify(cs tls.ConnectionState, usage x509.ExtKeyUsage) error {
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

// verifyNode reports whether the certificate of the connection names the node.
// A connection without TLS is accepted as not verified.
func verifyNode(auth credentials.AuthInfo, node string) (verified, accepted bool) {
	info, ok := auth.(credentials.TLSInfo)
	if !ok {
		return false, true
	}
	if len(info.State.PeerCertificates) == 0 {
		return false, false
	}
	named := certificateNames(info.State.PeerCertificates[0], node)
	return named, named
}

func certificateNames(c *x509.Certificate, node string) bool {
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
