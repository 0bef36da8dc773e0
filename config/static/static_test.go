package static

import (
	"errors"
	"strings"
	"testing"
)

const valid = `{
  // settings of the first node
  "node": "h1", "zone": "z1",
  "listen": "127.0.0.1:8080", "peer": "127.0.0.1:7500", "control": "127.0.0.1:7501",
  "log": "http://127.0.0.1:7000",
}`

// Guards against rejecting a valid file and against missing defaults.
func TestParseValid(t *testing.T) {
	s, err := Parse("n.json", []byte(valid))
	if err != nil {
		t.Fatal(err)
	}
	if s.DrainLimit != defaultDrainLimit || s.Operator != defaultOperator {
		t.Errorf("defaults not set: %+v", s)
	}
}

// Guards against errors that are accepted, reported without their line, or hidden
// by other errors.
func TestParseErrors(t *testing.T) {
	tests := []struct{ name, old, new, want string }{
		{"unknown key", `"zone"`, `"zoom"`, `n.json:3: zoom: unknown key`},
		{"bad address", `127.0.0.1:8080`, `localhost:8080`, `n.json:4: listen: "localhost:8080" is not IP:port`},
		{"missing", `"log": "http://127.0.0.1:7000",`, ``, `n.json: log: required`},
		{"type", `"zone": "z1"`, `"zone": 7`, `n.json:3: zone: want string, got number`},
		{"range", `"log":`, `"max_header_bytes": 5, "log":`, `n.json:5: max_header_bytes: 5 is outside 1024 to 1048576`},
		{"duration", `"log":`, `"drain_limit": "soon", "log":`, `n.json:5: drain_limit: time: invalid duration "soon"`},
		{"file", `"log":`, `"tls": {"cert": "/none", "key": "/none"}, "log":`, `n.json:5: tls: stat /none`},
		{"plain peers", `"peer": "127.0.0.1:7500"`, `"peer": "192.0.2.1:7500"`, `n.json:4: peer: 192.0.2.1:7500 is not a loopback address; set peer_tls`},
		{"syntax", `"zone": "z1",`, `"zone": "z1" "x"`, `n.json:3: `},
		{"twice", `"zone": "z1",`, `"zone": "z1", "zone": "z2",`, `n.json:3: zone: key appears twice`},
		{"same port", `127.0.0.1:7500`, `127.0.0.1:8080`, `peer: address 127.0.0.1:8080 is also used by listen`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Parse("n.json", []byte(strings.Replace(valid, tt.old, tt.new, 1)))
			if err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("error %v, want it to contain %q", err, tt.want)
			}
			var p Problem
			if !errors.As(err, &p) {
				t.Errorf("error %T is not a Problem", err)
			}
		})
	}
}
