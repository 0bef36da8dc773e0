// Package operator serves the operators' HTTP API of a node.
//
// A Handler reads the node through a Source. Answers are bounded and say what
// they leave out. A Status is one node's view of the whole fleet; it states how
// old each part is. Requests that change something need the operators' token,
// or a loopback listener when no token is configured.
package operator
