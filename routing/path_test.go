package routing

import (
	"errors"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// Guards against a path that this package and a target could read differently.
func TestNormalizeRefuses(t *testing.T) {
	for _, path := range []string{
		"", "a", "*", "http://x/", "/a/../b", "/a/./b", "/..", "/.", "/%2e%2E/a", "/a/%2e", "/a//b", "//a", "/a//",
		"/a%2fb", "/a%2Fb", "/a%5cb", `/a\b`, "/a\x00b", "/a%00b", "/a%0d%0ab", "/a\x7f", "/a%7f", "/a b", "/a?b", "/a#b",
		"/a;x=1", "/a%3bx", "/..;/a", "/%", "/%4", "/%zz", "/a\u00e9", "/" + strings.Repeat("a", MaxPathBytes),
	} {
		_, err := Normalize(path)
		var refused *PathError
		if !errors.As(err, &refused) {
			t.Errorf("Normalize(%q) error is %v, want a PathError", path, err)
		}
	}
}

// Guards against equal paths that match different routes.
func TestNormalizeRewrites(t *testing.T) {
	for path, want := range map[string]string{
		"/": "/", "/a/b/": "/a/b/", "/%6frders": "/orders", "/a%20b": "/a%20b", "/%e3%81%82": "/%E3%81%82", "/a%2Db%7e": "/a-b~", "/%252e": "/%252e", "/...": "/...",
	} {
		if got, err := Normalize(path); err != nil || got != want {
			t.Errorf("Normalize(%q) = %q, %v, want %q", path, got, err, want)
		}
	}
}

// Guards against a normal form that is refused or changes when read again.
func TestNormalizeIsStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		path := "/" + rapid.StringMatching(`([a-z./;%\\]|%[0-9a-fA-F]{2}){0,12}`).Draw(t, "path")
		once, err := Normalize(path)
		if err != nil {
			return
		}
		if twice, err := Normalize(once); err != nil || twice != once {
			t.Fatalf("%q gives %q, then %q, %v", path, once, twice, err)
		}
	})
}
