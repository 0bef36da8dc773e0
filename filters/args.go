package filters

import (
	"bytes"
	"encoding/json"
)

// decodeArgs reads arguments into v and refuses unknown keys. Empty arguments
// leave v as it is.
func decodeArgs(args json.RawMessage, v any) error {
	if len(args) == 0 {
		return nil
	}
	dec := json.NewDecoder(bytes.NewReader(args))
	dec.DisallowUnknownFields()
	return dec.Decode(v)
}
