package routing

import "strings"

// MaxPathBytes bounds the length of a request path.
const MaxPathBytes = 4096

// PathError says why a path is refused.
type PathError struct {
	Reason string
	Offset int // byte offset of the fault
}

// Error implements error.
func (e *PathError) Error() string { return "path refused: " + e.Reason }

func refuse(reason string, offset int) error {
	return &PathError{Reason: reason, Offset: offset}
}

// Normalize checks an escaped request path and returns the form that routes
// are matched against: escapes of unreserved characters are decoded and the
// hex digits of other escapes are in upper case. It returns the argument
// without allocation when nothing changes. It refuses, with a *PathError:
// a path that does not start with a slash or is too long; empty and dot
// segments; slashes, backslashes, semicolons and control bytes, plain or
// escaped; invalid escapes; bytes outside ASCII; and '#', '?' and space.
func Normalize(path string) (string, error) {
	if len(path) == 0 || path[0] != '/' {
		return "", refuse("does not start with a slash", 0)
	}
	if len(path) > MaxPathBytes {
		return "", refuse("too long", MaxPathBytes)
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
			if !plainByte(path[i]) {
				return refuse("byte not allowed", i)
			}
			continue
		}
		if err := checkSegment(path[start:i], i == len(path)); err != nil {
			return refuse(err.Error(), start)
		}
		start = i + 1
	}
	return nil
}

type segmentFault string

func (s segmentFault) Error() string { return string(s) }

func checkSegment(seg string, last bool) error {
	switch {
	case seg == "" && !last:
		return segmentFault("empty segment")
	case seg == "." || seg == "..":
		return segmentFault("dot segment")
	}
	return nil
}

// plainByte reports whether c may stand unescaped. A semicolon is refused
// because some servers drop path parameters before they match a path.
func plainByte(c byte) bool {
	return c > ' ' && c < 0x7f && c != '\\' && c != ';' && c != '#' && c != '?'
}

func decodeUnreserved(path string) (string, error) {
	out := make([]byte, 0, len(path))
	for i := 0; i < len(path); i++ {
		if path[i] != '%' {
			out = append(out, path[i])
			continue
		}
		c, ok := unhex(path, i)
		if !ok {
			return "", refuse("invalid escape", i)
		}
		if c < ' ' || c == 0x7f || c == '/' || c == '\\' || c == ';' {
			return "", refuse("escaped byte not allowed", i)
		}
		out = appendEscaped(out, c)
		i += 2
	}
	return string(out), nil
}

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

func unreserved(c byte) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return true
	}
	return c == '-' || c == '.' || c == '_' || c == '~'
}
