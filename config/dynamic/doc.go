// Package dynamic holds the part of the configuration that changes while a node
// runs: routes, services and the limits on callers' requests.
//
// A Config is immutable. The control plane builds a new one for each accepted
// version; request handlers read the current one through an atomic pointer.
package dynamic
