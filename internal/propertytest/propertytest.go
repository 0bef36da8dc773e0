// Package propertytest runs the tests of a package with fixed settings of the
// rapid library, so that results are reproducible.
package propertytest

import (
	"flag"
	"os"
	"testing"
)

// Main runs the tests with the given seed and the rapid flags in more, keyed by
// flag name. Flags on the command line take precedence. It does not return.
func Main(m *testing.M, seed string, more map[string]string) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	set := func(name, value string) {
		if given[name] {
			return
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	set("rapid.seed", seed)
	set("rapid.nofailfile", "true")
	for name, value := range more {
		set(name, value)
	}
	os.Exit(m.Run())
}
