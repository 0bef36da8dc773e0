package manifest

import (
	"reflect"

	"github.com/tailscale/hujson"
)

// Bounds of a manifest.
const (
	MaxBytes    = 1 << 20 // source text
	MaxServices = 10_000
	MaxRoutes   = 20_000 // over all services
)

// Validate reads a manifest in JSON with comments, fills defaults and reports
// every problem in the order of the document. name is the file name used in
// problems. The manifest is nil if the text is not JSON with comments; it is
// safe to use only if there are no problems.
func Validate(name string, data []byte) (*Manifest, []Problem) {
	m, r := read(name, data)
	if m == nil {
		return nil, r.sorted()
	}
	r.checkManifest(m)
	m.SetDefaults()
	r.checkShadows(m)
	return m, r.sorted()
}

// read decodes the text and keeps the positions of its keys.
func read(name string, data []byte) (*Manifest, *report) {
	r := newReport(name, data)
	if len(data) > MaxBytes {
		r.addAt(0, "", "manifest has %d bytes, at most %d are allowed", len(data), MaxBytes)
		return nil, r
	}
	root, err := hujson.Parse(data)
	if err != nil {
		r.addSyntax(err)
		return nil, r
	}
	m := &Manifest{}
	r.decode("", &root, reflect.ValueOf(m).Elem())
	return m, r
}

func (r *report) checkManifest(m *Manifest) {
	if m.Version != FormatVersion {
		r.add("version", "is %d, want %d", m.Version, FormatVersion)
	}
	r.checkName("mandate", m.Mandate)
	r.checkText("holder", m.Holder)
	if m.Term < 1 {
		r.add("term", "must be at least 1")
	}
	if len(m.Services) == 0 {
		r.add("services", "at least one service is required")
	}
	if len(m.Services) > MaxServices {
		r.add("services", "%d services, at most %d are allowed", len(m.Services), MaxServices)
	}
	r.checkServices(m)
}
