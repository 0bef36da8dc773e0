package loadbalancer

import "flag"

// The seed is fixed so that runs are reproducible. The default of 100 cases did
// not detect a fault with ejection lists that name a target twice. Command-line
// flags override both settings.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "2000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
