// Package manifest defines the manifest that an operator's build pipeline
// publishes: the mandate, its services, and each service's routes, limits,
// floor, objectives and preference.
package manifest
