package routing

import "flag"

// The seed is fixed so that runs repeat; -rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
