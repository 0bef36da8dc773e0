// Command hyssopbridge runs one node of the fleet, or an embedded demo fleet.
package main

func main() {}
