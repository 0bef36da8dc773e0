// Package keyfiles loads a TLS certificate and its certificate authorities (CAs)
// and reloads them when their files change.
package keyfiles

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync"
	"time"
)

// Files holds the paths of the PEM files. CA is optional.
type Files struct {
	Cert string
	Key  string
	CA   string
}

// Reloader keeps the newest usable certificate and CA pool. It is safe for
// concurrent use.
type Reloader struct {
	files    Files
	interval time.Duration

	mu        sync.Mutex
	checkedAt time.Time
	versions  [3]fileVersion
	cert      *tls.Certificate
	pool      *x509.CertPool
	err       error // of the last reload
}

// fileVersion identifies the contents of a file by its metadata.
type fileVersion struct {
	modified time.Time
	size     int64
}

// New loads the files. interval is the minimum time between checks for changes.
func New(f Files, interval time.Duration) (*Reloader, error) {
	r := &Reloader{files: f, interval: interval}
	if err := r.load(); err != nil {
		return nil, err
	}
	return r, nil
}

// Current returns the certificate and CA pool, after reloading changed files.
// While the files are missing, invalid or do not match each other, the previous
// ones stay in use.
func (r *Reloader) Current() (*tls.Certificate, *x509.CertPool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.checkedAt) >= r.interval {
		r.err = r.load()
	}
	return r.cert, r.pool
}

// Err returns the error of the last reload, or nil. It returns nil for a nil
// Reloader.
func (r *Reloader) Err() error {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.err
}

func (r *Reloader) load() error {
	r.checkedAt = time.Now()
	now, err := r.files.fileVersions()
	if err != nil {
		return err
	}
	if now == r.versions {
		return r.err
	}
	cert, err := tls.LoadX509KeyPair(r.files.Cert, r.files.Key)
	if err != nil {
		return fmt.Errorf("load certificate %s: %w", r.files.Cert, err)
	}
	pool, err := r.files.caPool()
	if err != nil {
		return err
	}
	r.cert, r.pool, r.versions = &cert, pool, now
	return nil
}

func (f Files) fileVersions() (out [3]fileVersion, err error) {
	for i, name := range []string{f.Cert, f.Key, f.CA} {
		if name == "" {
			continue
		}
		info, err := os.Stat(name)
		if err != nil {
			return out, fmt.Errorf("check TLS file: %w", err)
		}
		out[i] = fileVersion{info.ModTime(), info.Size()}
	}
	return out, nil
}

func (f Files) caPool() (*x509.CertPool, error) {
	if f.CA == "" {
		return nil, nil
	}
	pem, err := os.ReadFile(f.CA)
	if err != nil {
		return nil, fmt.Errorf("load CA certificates: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("CA file %s contains no valid certificate", f.CA)
	}
	return pool, nil
}
