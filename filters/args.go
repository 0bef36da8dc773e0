package filters

import (
	"bytes"
	"encoding/json"
)

// decodeArgs decodes filter arguments into v and refuses unknown keys. It leaves
// v unchanged if args is empty.
func decodeArgs(args json.RawMessage, v any) error {
	if len(args) == 0 {
		return nil
	}
	dec := json.NewDecoder(bytes.NewReader(args))
	dec.DisallowUnknownFields()
	return dec.Decode(v)
}
