package manifest

import (
	"reflect"

	"github.com/tailscale/hujson"
)

// Upper bounds of a manifest.
const (
	MaxBytes    = 1 << 20 // size of the source text
	MaxServices = 10_000
	MaxRoutes   = 20_000 // total over all services
)

// Validate decodes a manifest in JSON with comments, sets defaults and returns
// every problem in document order. name is the file name used in problems. The
// manifest is nil if the text is too large or has a syntax error, and must not be
// used if there are any problems.
func Validate(name string, data []byte) (*Manifest, []Problem) {
	m, r := read(name, data)
	if m == nil {
		return nil, r.sortedProblems()
	}
	r.checkManifest(m)
	m.SetDefaults()
	r.checkShadows(m)
	return m, r.sortedProblems()
}

// read decodes the text and records the positions of its keys. The manifest is nil
// if the text cannot be parsed.
func read(name string, data []byte) (*Manifest, *report) {
	r := newReport(name, data)
	if len(data) > MaxBytes {
		r.addAt(0, "", "manifest has %d bytes, at most %d are allowed", len(data), MaxBytes)
		return nil, r
	}
	root, err := hujson.Parse(data)
	if err != nil {
		r.addSyntaxError(err)
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
