// Package admission decides at the host node whether its target takes a request.
//
// Only the host node reaches a target, so it sees every request, every failure
// and the drain first, and its refusal proves that a request was not run. A
// Gate holds work to the target's slots, keeps a short queue by priority, and
// refuses work while the target fails. A target that failed gets single
// idempotent requests as trials and returns after they succeed. Work that must
// not repeat is admitted only to a target that answered well a moment ago,
// because each such request that meets a target which has just turned gray is
// lost.
//
// Judge holds the evidence; Gate combines it with slots, queue and drain. Both
// do no I/O and take the time from their caller.
package admission
