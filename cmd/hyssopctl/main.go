// Command hyssopctl is the operators' command line for a hyssopbridge fleet.
package main

import (
	"os"

	"hyssopbridge/ctl"
)

func main() {
	os.Exit(ctl.Run(os.Args[1:], os.Stdout, os.Stderr))
}
