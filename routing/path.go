package routing

import "strings"

// MaxPathBytes bounds the length of a request path.
const MaxPathBytes = 4096

// PathError reports why a path was rejected.
type PathError struct {
	Reason string
	Offset int // byte offset of the error
}

// Error implements error.
func (e *PathError) Error() string { return "invalid path: " + e.Reason }

func newPathError(reason string, offset int) error {
	return &PathError{Reason: reason, Offset: offset}
}

// Normalize checks an escaped request path and returns the form that routes
// are matched against: escapes of unreserved characters are decoded and the
// hex digits of other escapes are in upper case. It returns the argument
// without allocation when nothing changes. It rejects the following with a
// *PathError: a path that does not start with a slash or is too long; empty and
// dot segments; escaped slashes; backslashes, semicolons and control bytes,
// literal or escaped; invalid escapes; bytes outside ASCII; and a literal '#',
// '?' or space.
func Normalize(path string) (string, error) {
	if len(path) == 0 || path[0] != '/' {
		return "", newPathError("does not start with a slash", 0)
	}
	if len(path) > MaxPathBytes {
		return "", newPathError("too long", MaxPathBytes)
	}
	if strings.IndexByte(path, '%') >= 0 {
		decoded, err := decodeUnreserved(path)
		if err != nil {
			return "", err
		}
		path = decoded
	}
	return path, checkSegments(path)
}

func checkSegments(path string) error {
	start := 1
	for i := 1; i <= len(path); i++ {
		if i < len(path) && path[i] != '/' {
			if !allowedByte(path[i]) {
				return newPathError("byte not allowed", i)
			}
			continue
		}
		if err := checkSegment(path[start:i], i == len(path)); err != nil {
			return newPathError(err.Error(), start)
		}
		start = i + 1
	}
	return nil
}

type segmentError string

func (s segmentError) Error() string { return string(s) }

func checkSegment(seg string, last bool) error {
	switch {
	case seg == "" && !last:
		return segmentError("empty segment")
	case seg == "." || seg == "..":
		return segmentError("dot segment")
	}
	return nil
}

// allowedByte reports whether c may appear unescaped. A semicolon is rejected
// because some servers remove path parameters before matching a path.
func allowedByte(c byte) bool {
	return c > ' ' && c < 0x7f && c != '\\' && c != ';' && c != '#' && c != '?'
}

// decodeUnreserved decodes escapes of unreserved characters and puts all other
// escapes in upper case.
func decodeUnreserved(path string) (string, error) {
	out := make([]byte, 0, len(path))
	for i := 0; i < len(path); i++ {
		if path[i] != '%' {
			out = append(out, path[i])
			continue
		}
		c, ok := unhex(path, i)
		if !ok {
			return "", newPathError("invalid escape", i)
		}
		if c < ' ' || c == 0x7f || c == '/' || c == '\\' || c == ';' {
			return "", newPathError("escaped byte not allowed", i)
		}
		out = appendEscaped(out, c)
		i += 2
	}
	return string(out), nil
}

// unhex decodes the escape that starts at s[i].
func unhex(s string, i int) (byte, bool) {
	if i+2 >= len(s) {
		return 0, false
	}
	hi, ok1 := hexValue(s[i+1])
	lo, ok2 := hexValue(s[i+2])
	return hi<<4 | lo, ok1 && ok2
}

func hexValue(c byte) (byte, bool) {
	switch {
	case c >= '0' && c <= '9':
		return c - '0', true
	case c >= 'a' && c <= 'f':
		return c - 'a' + 10, true
	case c >= 'A' && c <= 'F':
		return c - 'A' + 10, true
	}
	return 0, false
}

func appendEscaped(out []byte, c byte) []byte {
	if unreserved(c) {
		return append(out, c)
	}
	const digits = "0123456789ABCDEF"
	return append(out, '%', digits[c>>4], digits[c&15])
}

// unreserved reports whether c is an unreserved character of RFC 3986.
func unreserved(c byte) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return true
	}
	return c == '-' || c == '.' || c == '_' || c == '~'
}
