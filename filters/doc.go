// Package filters validates a request and fills in its attributes, such as
// customer and deadline, before a target is chosen.
//
// A Spec describes a kind of filter and makes Filters from arguments. A Filter
// has a Request step, which may refuse the request, and a Response step, which
// may change the response header. A Filter that holds a resource during the
// request also implements Finisher. A Registry holds Specs by name and builds a
// Chain from a list of names and arguments.
//
// One chain runs before routing and one after it: BeforeRouting holds the header
// checks and the request ID, AfterRouting the filters that depend on the route.
// A refusal is a *resultcode.Error. Since no target has been chosen yet, every
// refusal here proves that the request was not run.
package filters
