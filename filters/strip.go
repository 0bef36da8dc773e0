package filters

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHop are the fields that concern one connection only.
var hopByHop = [...]string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Upgrade",
	"Transfer-Encoding", "Proxy-Authenticate", "Proxy-Authorization",
}

// keptFields are not removed when a Connection field names them, since a
// request without them has another meaning.
var keptFields = map[string]bool{
	"Host": true, "Content-Length": true, "Content-Type": true, "Idempotency-Key": true,
	"Content-Range": true, "If-Match": true, "If-None-Match": true, "Range": true,
}

// StripHeader removes hop-by-hop fields, the fields that Connection names, and
// Hb-* fields. Content-Length stays.
func StripHeader(h http.Header) {
	for _, v := range h["Connection"] {
		stripNamed(h, v)
	}
	for _, name := range hopByHop {
		delete(h, name)
	}
	for name := range h {
		if internalField(name) {
			delete(h, name)
		}
	}
}

func stripNamed(h http.Header, connection string) {
	for connection != "" {
		name, rest, _ := strings.Cut(connection, ",")
		connection = rest
		name = textproto.CanonicalMIMEHeaderKey(textproto.TrimString(name))
		if name != "" && !keptFields[name] {
			delete(h, name)
		}
	}
}

// internalField reports whether a field is used between nodes only.
func internalField(name string) bool {
	return len(name) >= 3 && (name[0]|0x20) == 'h' && (name[1]|0x20) == 'b' && name[2] == '-'
}
