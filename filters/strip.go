package filters

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHopFields are the header fields that apply to a single connection.
var hopByHopFields = [...]string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Upgrade",
	"Transfer-Encoding", "Proxy-Authenticate", "Proxy-Authorization",
}

// protectedFields are kept even if a Connection header names them, because
// removing them would change the meaning of the request.
var protectedFields = map[string]bool{
	"Host": true, "Content-Length": true, "Content-Type": true, "Idempotency-Key": true,
	"Content-Range": true, "If-Match": true, "If-None-Match": true, "Range": true,
}

// StripHeader removes hop-by-hop fields, fields that Connection names (except
// protectedFields), and Hb-* fields. Content-Length is kept.
func StripHeader(h http.Header) {
	for _, v := range h["Connection"] {
		stripConnectionOptions(h, v)
	}
	for _, name := range hopByHopFields {
		delete(h, name)
	}
	for name := range h {
		if internalField(name) {
			delete(h, name)
		}
	}
}

// stripConnectionOptions removes the fields listed in a Connection value.
func stripConnectionOptions(h http.Header, connection string) {
	for connection != "" {
		name, rest, _ := strings.Cut(connection, ",")
		connection = rest
		name = textproto.CanonicalMIMEHeaderKey(textproto.TrimString(name))
		if name != "" && !protectedFields[name] {
			delete(h, name)
		}
	}
}

// internalField reports whether name starts with Hb-, the prefix of header fields
// used between nodes. It ignores case.
func internalField(name string) bool {
	return len(name) >= 3 && (name[0]|0x20) == 'h' && (name[1]|0x20) == 'b' && name[2] == '-'
}
