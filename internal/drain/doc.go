// Package drain shuts HTTP servers down without interrupting requests.
//
// http.Server.Shutdown closes a connection if its next request is read after
// the call, and closing a listener resets the connections that the kernel has
// established but the process has not accepted. A Listener accepts all
// established connections before it closes, and a Server responds to every
// request that begins before it stops.
package drain
