// Package node assembles a node of the fleet from the other packages: the
// listeners, the request path and the control loops.
package node
