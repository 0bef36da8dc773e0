// Package events keeps what a node decided and what happened to requests that
// did not go smoothly, in bounded memory.
//
// A Log holds two rings: one for requests and one for everything else, so that
// a storm of failed requests does not displace decisions. Each kind of event
// has a rate bound; a Page states how many events were left out and how many
// the ring has already replaced. A request that was answered at its first
// attempt adds no event.
//
// Events name requests by their ID, which leads to the events of each hop: the
// entry node, the home of a keyed order and the host node. They hold no bodies
// and no idempotency keys.
package events
