package keyfiles

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// writeSelfSigned writes a new key and a self-signed certificate to the files.
func writeSelfSigned(t *testing.T, f Files, name string) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	c := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, c, c, key.Public(), key)
	if err != nil {
		t.Fatal(err)
	}
	private, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	for path, block := range map[string]*pem.Block{
		f.Cert: {Type: "CERTIFICATE", Bytes: der}, f.Key: {Type: "EC PRIVATE KEY", Bytes: private},
	} {
		if err := os.WriteFile(path, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

// currentName returns the common name of the certificate in use.
func currentName(r *Reloader) string {
	cert, _ := r.Current()
	c, err := x509.ParseCertificate(cert.Certificate[0])
	if err != nil {
		return err.Error()
	}
	return c.Subject.CommonName
}

// Guards against changed files that are not loaded, against losing a working
// certificate when its file is damaged, and against a reload error that Err does
// not report.
func TestReload(t *testing.T) {
	dir := t.TempDir()
	f := Files{Cert: filepath.Join(dir, "cert"), Key: filepath.Join(dir, "key")}
	if _, err := New(f, 0); err == nil {
		t.Error("New accepts missing files")
	}
	writeSelfSigned(t, f, "first")
	r, err := New(f, 0)
	if err != nil || currentName(r) != "first" || r.Err() != nil {
		t.Fatalf("%v, %v", err, r.Err())
	}
	writeSelfSigned(t, f, "second is longer")
	if got := currentName(r); got != "second is longer" {
		t.Errorf("after a change: certificate %q", got)
	}
	if err := os.WriteFile(f.Cert, []byte("damaged"), 0o600); err != nil {
		t.Fatal(err)
	}
	if got := currentName(r); got != "second is longer" || r.Err() == nil {
		t.Errorf("with a damaged file: certificate %q, error %v", got, r.Err())
	}
	var none *Reloader
	if none.Err() != nil {
		t.Error("a nil Reloader returns an error")
	}
}
