// Package static reads and validates the settings of one node from a JSON file
// with comments. Settings do not change while the node runs. The configuration
// that operators publish for the whole fleet is in package manifest.
package static
