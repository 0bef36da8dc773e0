// Package upstream sends HTTP/1.1 requests to targets and to other nodes.
//
// It writes and parses messages with net/http but keeps its own connections,
// for two reasons. An http.Transport repeats a request on its own when a reused
// connection turns out to be closed, also for requests that carry an
// Idempotency-Key header, which must not happen to work that runs at most once.
// And a proxy has to know whether any byte of a request has been sent: only
// then can it state that the request was not run.
package upstream
