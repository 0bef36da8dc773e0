package mesh

import (
	"context"
	"errors"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"hyssopbridge/config/dynamic"
	"hyssopbridge/internal/drain"
	"hyssopbridge/limits"
)

// defaultLimits apply until the first configuration is in force.
var defaultLimits = dynamic.Limits{HeaderBytes: 16 << 10, BodyBytes: 64 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

// callerServer serves callers under limits that change with the configuration.
// Each connection keeps the limits that were in force when it was opened.
type callerServer struct {
	handler  http.Handler
	guard    *limits.ConnGuard
	listener *drain.Listener
	ended    chan struct{} // closed once no more connections are accepted

	mu      sync.Mutex
	current *limitedServer
	servers []*limitedServer
	closed  bool
}

// limitedServer is an http.Server with fixed limits, together with the
// connections that are handed to it.
type limitedServer struct {
	limits dynamic.Limits
	http   *drain.Server
	conns  chan net.Conn
	done   chan struct{}
	once   sync.Once
	ended  chan struct{} // closed once every connection handed over is being served
	addr   net.Addr
}

func newCallerServer(h http.Handler, guard *limits.ConnGuard, l *drain.Listener) *callerServer {
	s := &callerServer{handler: h, guard: guard, listener: l, ended: make(chan struct{})}
	s.setLimits(defaultLimits)
	return s
}

func (s *callerServer) serve() {
	defer close(s.ended)
	for {
		c, err := s.listener.Accept()
		if err != nil {
			if isClosed(err) {
				return
			}
			time.Sleep(acceptRetryDelay)
			continue
		}
		if admitted := s.guard.Admit(c); admitted != nil {
			s.handOver(admitted)
		}
	}
}

// acceptRetryDelay follows a failed accept, such as for lack of file
// descriptors.
const acceptRetryDelay = 10 * time.Millisecond

func (s *callerServer) handOver(c net.Conn) {
	s.mu.Lock()
	srv := s.current
	s.mu.Unlock()
	select {
	case srv.conns <- c:
	case <-srv.done:
		c.Close()
	}
}

// setLimits sets the limits of connections that are opened from now on.
func (s *callerServer) setLimits(l dynamic.Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || (s.current != nil && s.current.limits == l) {
		return
	}
	for _, old := range s.servers {
		if old.limits == l {
			s.current = old
			return
		}
	}
	srv := &limitedServer{
		limits: l, conns: make(chan net.Conn), done: make(chan struct{}), ended: make(chan struct{}), addr: s.listener.Addr(),
	}
	srv.http = drain.NewServer(&http.Server{
		Handler: s.handler, ReadHeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout,
		MaxHeaderBytes: l.HeaderBytes, ErrorLog: discardLog(),
	})
	s.guard.Install(srv.http.Server)
	s.servers = append(s.servers, srv)
	s.current = srv
	go serveListener(srv.http, srv, srv.ended)
}

// Accept implements net.Listener.
func (l *limitedServer) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *limitedServer) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr implements net.Listener.
func (l *limitedServer) Addr() net.Addr { return l.addr }

// shutdown stops accepting connections and serves the requests of those that
// are open. It returns when they have ended or ctx ends.
func (s *callerServer) shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.closed = true
	all := s.servers
	s.mu.Unlock()
	drained := s.listener.Drain()
	<-s.ended
	errs := make([]error, len(all))
	var wg sync.WaitGroup
	for i, srv := range all {
		wg.Go(func() {
			_ = srv.Close() // always returns nil
			<-srv.ended
			errs[i] = srv.http.Stop(ctx)
		})
	}
	wg.Wait()
	return errors.Join(append(errs, drained)...)
}

// nodeServer serves other nodes.
type nodeServer struct {
	http     *drain.Server
	listener *drain.Listener
	ended    chan struct{}
}

// nodeIdleTimeout exceeds the idle timeout of upstream.Client, so that the
// client closes first.
const nodeIdleTimeout = time.Minute

// nodeHeaderTimeout and nodeHeaderBytes bound the header section of a request
// between nodes, which is that of the caller with a few fields added.
const (
	nodeHeaderTimeout = 5 * time.Second
	nodeHeaderBytes   = 256 << 10
)

func newNodeServer(h http.Handler, guard *limits.ConnGuard, l *drain.Listener) *nodeServer {
	s := &nodeServer{
		http: drain.NewServer(&http.Server{
			Handler: h, ReadHeaderTimeout: nodeHeaderTimeout, IdleTimeout: nodeIdleTimeout, MaxHeaderBytes: nodeHeaderBytes, ErrorLog: discardLog(),
		}),
		listener: l, ended: make(chan struct{}),
	}
	guard.Install(s.http.Server)
	go serveListener(s.http, guard.Listener(l), s.ended)
	return s
}

// shutdown stops accepting connections and serves the requests of those that
// are open. It returns when they have ended or ctx ends.
func (s *nodeServer) shutdown(ctx context.Context) error {
	drained := s.listener.Drain()
	<-s.ended
	return errors.Join(drained, s.http.Stop(ctx))
}

// serveListener serves connections and closes ended once the listener is
// closed.
func serveListener(s *drain.Server, l net.Listener, ended chan<- struct{}) {
	// Serve returns when the listener is closed.
	_ = s.Serve(l)
	close(ended)
}

// discardLog drops the lines that net/http writes for each bad connection; the
// metrics and the event log cover what matters.
func discardLog() *stdlog.Logger { return stdlog.New(io.Discard, "", 0) }

func isClosed(err error) bool { return errors.Is(err, net.ErrClosed) }

// Keep-alive settings of connections between nodes. A broken network path shows
// only by unanswered keep-alive packets and unacknowledged data.
const (
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	unackedTimeout    = 2500 * time.Millisecond
)

// receiveBuffer bounds what a connection to a target or node receives before it
// is read. Otherwise the kernel lets the buffer grow to megabytes while a
// response is read fast, and they fill when its reader stops.
const receiveBuffer = 64 << 10

func setReceiveBuffer(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		// The buffer has the default size of the system if this fails.
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
	})
}

// DialNode opens a connection that fails soon after its network path breaks.
func DialNode(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
		Control: func(network, addr string, c syscall.RawConn) error {
			return errors.Join(setUnackedTimeout(network, addr, c), setReceiveBuffer(network, addr, c))
		},
	}
	return d.DialContext(ctx, "tcp4", addr)
}

func setUnackedTimeout(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	return errors.Join(err, failed)
}
