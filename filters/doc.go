// Package filters checks and completes a request before a target is chosen.
//
// A Spec describes a kind of filter and makes Filters from arguments; a Filter
// has a Request step, which may refuse, and a Response step, which may change
// the response header. A Filter that holds something during the request also
// implements Finisher. A Registry holds Specs by name and builds a Chain from
// a list of names and arguments.
//
// Two chains surround routing: BeforeRouting holds the header checks and the
// request ID, AfterRouting the filters that depend on the route. A refusal is
// a *resultcode.Error; every refusal here proves that the request was not run.
package filters
