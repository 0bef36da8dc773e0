package routing

import "flag"

// The seed is fixed to make runs reproducible; -rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
