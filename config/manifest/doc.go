// Package manifest defines, parses and validates the manifest that an operator's
// build pipeline publishes: the mandate, its services, and the routes, limits,
// floor, objective and preference of each service.
package manifest
