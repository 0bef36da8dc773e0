package drain

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// newConnTimeout is how long a stopping server waits for the complete request
	// header of a newly accepted connection before it closes the connection.
	newConnTimeout = time.Second
	// pollInterval is how often a stopping server checks for requests in flight.
	pollInterval = 5 * time.Millisecond
)

// Server is an HTTP server that can stop without interrupting requests.
type Server struct {
	*http.Server

	mu    sync.Mutex
	conns map[net.Conn]connState
}

type connState struct {
	state    http.ConnState
	accepted time.Time
}

// NewServer returns a Server that wraps s and takes over its ConnState hook.
func NewServer(s *http.Server) *Server {
	d := &Server{Server: s, conns: map[net.Conn]connState{}}
	s.ConnState = d.track
	return d
}

// Serve serves the connections of l until l closes.
func (s *Server) Serve(l net.Listener) error { return s.Server.Serve(&trackingListener{l, s}) }

// trackingListener registers a connection with the server before anything is
// read from it.
type trackingListener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l *trackingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.server.track(c, http.StateNew)
	}
	return c, err
}

func (s *Server) track(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(s.conns, c)
		return
	}
	known, ok := s.conns[c]
	if !ok {
		known.accepted = time.Now()
	}
	known.state = state
	s.conns[c] = known
}

// pending counts the connections that have a request in flight or may be about
// to send one.
func (s *Server) pending() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, c := range s.conns {
		if c.state == http.StateActive || c.state == http.StateNew && time.Since(c.accepted) < newConnTimeout {
			n++
		}
	}
	return n
}

// Stop completes the requests of accepted connections and closes each connection
// after its response. Idle connections are closed at once, and new ones that
// send no complete request header are closed after newConnTimeout. Serve must
// have returned before the call. If ctx ends first, Stop aborts the requests in
// flight and returns the error of ctx.
func (s *Server) Stop(ctx context.Context) error {
	s.SetKeepAlivesEnabled(false)
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for s.pending() > 0 {
		select {
		case <-tick.C:
		case <-ctx.Done():
			_ = s.Close() // the error of ctx is more informative
			return ctx.Err()
		}
	}
	return s.Close()
}
