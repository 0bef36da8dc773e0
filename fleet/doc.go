// Package fleet defines the domain types that several packages share: nodes,
// target instances and their states, request classes, home groups and ejection
// lists. It has no behavior beyond conversion of these values to and from text.
package fleet
