// Package upstream sends HTTP/1.1 requests to targets and to other nodes.
//
// It writes and parses messages with net/http but manages connections itself,
// for two reasons. An http.Transport automatically resends a request if a reused
// connection turns out to be closed, also if the request carries an
// Idempotency-Key header; a request that must run at most once must not be
// resent. And a proxy has to know whether any byte of a request was sent, since
// only an unsent request is certain not to have run.
package upstream
