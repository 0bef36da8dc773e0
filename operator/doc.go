// Package operator serves the operators' HTTP API of a node.
//
// A Handler reads the node's state through a Source. Responses are bounded in
// size and report what they omit. A Status is one node's view of the whole
// fleet and includes the age of each part. Requests that change state need the
// operators' token, or a loopback listener if no token is configured.
package operator
