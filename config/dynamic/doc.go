// Package dynamic holds the part of the configuration that changes while a node
// runs: routes, services and the limits on what a caller may send.
//
// A Config is immutable. The control side builds a new one for each accepted
// version, and traffic reads the current one through an atomic pointer.
package dynamic
