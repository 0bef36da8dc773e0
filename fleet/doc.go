// Package fleet holds the domain types that several packages share: nodes,
// instances of targets, request classes and states. It has no behaviour beyond
// validation and comparison of these values.
package fleet
