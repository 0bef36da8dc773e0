package routing

import (
	"errors"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// Guards against accepting a path that this package and a target could
// interpret differently.
func TestNormalizeRejectsInvalidPaths(t *testing.T) {
	for _, path := range []string{
		"", "a", "*", "http://x/", "/a/../b", "/a/./b", "/..", "/.", "/%2e%2E/a", "/a/%2e", "/a//b", "//a", "/a//",
		"/a%2fb", "/a%2Fb", "/a%5cb", `/a\b`, "/a\x00b", "/a%00b", "/a%0d%0ab", "/a\x7f", "/a%7f", "/a b", "/a?b", "/a#b",
		"/a;x=1", "/a%3bx", "/..;/a", "/%", "/%4", "/%zz", "/a\u00e9", "/" + strings.Repeat("a", MaxPathBytes),
	} {
		_, err := Normalize(path)
		var pathErr *PathError
		if !errors.As(err, &pathErr) {
			t.Errorf("Normalize(%q) returned error %v, want a PathError", path, err)
		}
	}
}

// Guards against equivalent spellings of a path that match different routes.
func TestNormalizeCanonicalForm(t *testing.T) {
	for path, want := range map[string]string{
		"/": "/", "/a/b/": "/a/b/", "/%6frders": "/orders", "/a%20b": "/a%20b", "/%e3%81%82": "/%E3%81%82", "/a%2Db%7e": "/a-b~", "/%252e": "/%252e", "/...": "/...",
	} {
		if got, err := Normalize(path); err != nil || got != want {
			t.Errorf("Normalize(%q) = %q, %v, want %q", path, got, err, want)
		}
	}
}

// Guards against a normalized path that is rejected or changed when normalized
// again.
func TestNormalizeIsIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		path := "/" + rapid.StringMatching(`([a-z./;%\\]|%[0-9a-fA-F]{2}){0,12}`).Draw(t, "path")
		once, err := Normalize(path)
		if err != nil {
			return
		}
		if twice, err := Normalize(once); err != nil || twice != once {
			t.Fatalf("Normalize(%q) = %q, normalized again %q, %v", path, once, twice, err)
		}
	})
}
