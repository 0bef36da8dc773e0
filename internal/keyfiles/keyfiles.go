// Package keyfiles holds a certificate and authorities that are read again when
// their files change.
package keyfiles

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync"
	"time"
)

// Files names the PEM files. CA may be empty.
type Files struct {
	Cert string
	Key  string
	CA   string
}

// Reloader is safe for concurrent use.
type Reloader struct {
	files    Files
	interval time.Duration

	mu      sync.Mutex
	checked time.Time
	stamp   [3]stamp
	cert    *tls.Certificate
	pool    *x509.CertPool
	failure error // of the newest reload
}

// stamp tells whether a file has changed.
type stamp struct {
	modified time.Time
	size     int64
}

// New reads the files. interval is how often they are looked at for changes.
func New(f Files, interval time.Duration) (*Reloader, error) {
	r := &Reloader{files: f, interval: interval}
	if err := r.load(); err != nil {
		return nil, err
	}
	return r, nil
}

// Current returns the newest usable certificate and authorities. While the
// files are missing or do not match each other, the former ones stay in use.
func (r *Reloader) Current() (*tls.Certificate, *x509.CertPool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.checked) >= r.interval {
		r.failure = r.load()
	}
	return r.cert, r.pool
}

// Err returns the failure of the newest reload, or nil. A nil Reloader has none.
func (r *Reloader) Err() error {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failure
}

func (r *Reloader) load() error {
	r.checked = time.Now()
	now, err := r.files.stamps()
	if err != nil {
		return err
	}
	if now == r.stamp {
		return r.failure
	}
	cert, err := tls.LoadX509KeyPair(r.files.Cert, r.files.Key)
	if err != nil {
		return fmt.Errorf("load certificate %s: %w", r.files.Cert, err)
	}
	pool, err := r.files.authorities()
	if err != nil {
		return err
	}
	r.cert, r.pool, r.stamp = &cert, pool, now
	return nil
}

func (f Files) stamps() (out [3]stamp, err error) {
	for i, name := range []string{f.Cert, f.Key, f.CA} {
		if name == "" {
			continue
		}
		info, err := os.Stat(name)
		if err != nil {
			return out, fmt.Errorf("certificate file: %w", err)
		}
		out[i] = stamp{info.ModTime(), info.Size()}
	}
	return out, nil
}

func (f Files) authorities() (*x509.CertPool, error) {
	if f.CA == "" {
		return nil, nil
	}
	pem, err := os.ReadFile(f.CA)
	if err != nil {
		return nil, fmt.Errorf("load authorities: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("authorities file %s holds no certificate", f.CA)
	}
	return pool, nil
}
