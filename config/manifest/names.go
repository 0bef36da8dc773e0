package manifest

import (
	"net/url"
	"regexp"
	"strings"
	"unicode"
)

// Maximum lengths in bytes.
const (
	maxNameLength = 128
	maxTextLength = 256
	maxHostLength = 253
	maxPathLength = 1024
)

var (
	namePattern  = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._-]*[A-Za-z0-9])?$`)
	labelPattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
)

func (r *report) checkName(key, name string) {
	switch {
	case name == "":
		r.add(key, "is required")
	case len(name) > maxNameLength || !namePattern.MatchString(name):
		r.add(key, "%.64q is not a name: want at most %d letters, digits, '.', '_' and '-', with a letter or digit at both ends", name, maxNameLength)
	}
}

func (r *report) checkText(key, text string) {
	switch {
	case strings.TrimSpace(text) == "":
		r.add(key, "is required")
	case len(text) > maxTextLength:
		r.add(key, "has %d bytes, at most %d are allowed", len(text), maxTextLength)
	case strings.ContainsFunc(text, unicode.IsControl):
		r.add(key, "contains a control character")
	}
}

// checkRange checks a number if the document contains it; an absent one takes
// its default. An explicit 0 is out of range, because SetDefaults would treat it
// as absent.
func (r *report) checkRange(key string, v, low, high int64) {
	if r.has(key) && (v < low || v > high) {
		r.add(key, "is %d, must be %d to %d", v, low, high)
	}
}

func (r *report) checkHost(key, host string) {
	if !r.has(key) || host == "" {
		return
	}
	if len(host) > maxHostLength {
		r.add(key, "has %d bytes, at most %d are allowed", len(host), maxHostLength)
		return
	}
	for _, label := range strings.Split(host, ".") {
		if !labelPattern.MatchString(label) {
			r.add(key, "%q is not a host name in lower case without port", host)
			return
		}
	}
}

func (r *report) checkPath(key, path string) {
	switch message := pathProblem(path); {
	case path == "":
		r.add(key, "is required")
	case message != "":
		r.add(key, "%.128q %s", path, message)
	}
}

// pathProblem returns what is wrong with a path, or "" if it is valid.
func pathProblem(path string) string {
	if len(path) > maxPathLength {
		return "is too long"
	}
	if !strings.HasPrefix(path, "/") {
		return "must begin with '/'"
	}
	base := strings.TrimSuffix(path, "/*")
	if strings.Contains(base, "*") {
		return "may contain '*' only as its last segment"
	}
	if strings.ContainsAny(base, "?#\\") || strings.ContainsFunc(base, notPathByte) {
		return "contains a character that a path cannot have"
	}
	if _, err := url.PathUnescape(base); err != nil {
		return "has a bad percent escape"
	}
	return segmentProblem(strings.TrimPrefix(base, "/"))
}

func notPathByte(c rune) bool { return c <= ' ' || c >= 0x7f }

// segmentProblem reports segments that a normalized request path never contains
// and that would make the route unreachable.
func segmentProblem(path string) string {
	if path == "" {
		return ""
	}
	segments := strings.Split(path, "/")
	for i, segment := range segments {
		last := i == len(segments)-1
		if segment == "." || segment == ".." || segment == "" && !last {
			return "has an empty, '.' or '..' segment and cannot be reached"
		}
	}
	return ""
}
