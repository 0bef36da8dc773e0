package manifest

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/tailscale/hujson"
)

// Parse decodes a manifest in JSON with comments, rejects unknown keys and sets
// defaults. It does not validate the contents; see Validate.
func Parse(name string, data []byte) (*Manifest, error) {
	std, err := hujson.Standardize(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	dec := json.NewDecoder(bytes.NewReader(std))
	dec.DisallowUnknownFields()
	var m Manifest
	if err := dec.Decode(&m); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	m.SetDefaults()
	return &m, nil
}
