// Package static reads and checks the settings of one node: a JSON file with
// comments. Settings do not change while the node runs; what operators publish
// for the whole fleet is in package manifest.
package static
