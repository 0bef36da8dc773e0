package peer

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	grpcpeer "google.golang.org/grpc/peer"
	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/status"
)

const (
	serviceName = "hyssopbridge.Peer"
	methodName  = "Call"
	fullMethod  = "/" + serviceName + "/" + methodName
)

// disconnectDelay lets the refusal reach the sender before its connection is
// closed.
const disconnectDelay = 20 * time.Millisecond

type handler func(ctx context.Context, from Identity, body []byte) ([]byte, error)

// Server accepts calls from other nodes.
type Server struct {
	settings Settings
	local    Local
	keys     *keys
	grpc     *grpc.Server
	senders  *senders

	mu       sync.RWMutex
	handlers map[string]handler
	listener *boundedListener
	nodes    map[string]string // node ID by remote address, for penalties
}

// NewServer reads the certificate files and returns a server without methods.
func NewServer(s Settings, local Local) (*Server, error) {
	s = s.withDefaults()
	srv := &Server{
		settings: s,
		local:    local,
		senders:  newSenders(s.MessagesPerSecond),
		handlers: make(map[string]handler),
		nodes:    make(map[string]string),
	}
	creds := insecure.NewCredentials()
	if s.useTLS() {
		k, err := newKeys(s)
		if err != nil {
			return nil, err
		}
		srv.keys = k
		creds = k.serverCredentials()
	}
	srv.grpc = grpc.NewServer(
		grpc.Creds(creds),
		grpc.ForceServerCodecV2(codec{}),
		grpc.MaxRecvMsgSize(MaxMessageBytes),
		grpc.MaxConcurrentStreams(MaxConcurrentCalls),
		grpc.ConnectionTimeout(s.DialTimeout),
		grpc.ReadBufferSize(connectionBuffer),
		grpc.WriteBufferSize(connectionBuffer),
		grpc.MaxHeaderListSize(8<<10),
		grpc.KeepaliveParams(keepalive.ServerParameters{
			MaxConnectionAge:      MaxConnectionAge,
			MaxConnectionAgeGrace: 10 * time.Second,
			MaxConnectionIdle:     5 * time.Minute,
		}),
		grpc.StatsHandler(boundWatcher{srv}),
	)
	srv.grpc.RegisterService(&grpc.ServiceDesc{
		ServiceName: serviceName,
		HandlerType: (*any)(nil),
		Methods:     []grpc.MethodDesc{{MethodName: methodName, Handler: serveCall}},
	}, srv)
	return srv, nil
}

// Handle registers the handler of a method. Methods may be added while the
// server runs; a second registration replaces the first.
func Handle[Req, Resp any](s *Server, method string, fn func(ctx context.Context, from Identity, req *Req) (*Resp, error)) {
	h := func(ctx context.Context, from Identity, body []byte) ([]byte, error) {
		req := new(Req)
		if err := Unmarshal(body, req); err != nil {
			return nil, status.Errorf(codes.InvalidArgument, "decode %s: %v", method, err)
		}
		resp, err := fn(ctx, from, req)
		if err != nil {
			return nil, remoteError(err)
		}
		return Marshal(resp)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handlers[method] = h
}

// Listen opens addr. It returns ErrPlainText without TLS off loopback.
func (s *Server) Listen(addr string) (net.Listener, error) {
	if err := s.settings.checkPlainText(addr); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	return l, nil
}

// Serve accepts connections of l until Stop. It checks the address of l as
// Listen does.
func (s *Server) Serve(l net.Listener) error {
	if err := s.settings.checkPlainText(l.Addr().String()); err != nil {
		return err
	}
	b := newBoundedListener(l, s.settings.MaxConnections)
	s.mu.Lock()
	s.listener = b
	s.mu.Unlock()
	return s.grpc.Serve(b)
}

// Stop closes the listener and all connections; calls in progress fail.
func (s *Server) Stop() { s.grpc.Stop() }

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.listener == nil {
		return 0
	}
	return s.listener.count()
}

// ReloadError returns why the changed certificate files are not in use, or nil.
func (s *Server) ReloadError() error { return s.keys.reloadError() }

func serveCall(srv any, ctx context.Context, dec func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
	s := srv.(*Server)
	p, ok := grpcpeer.FromContext(ctx)
	if !ok {
		return nil, status.Error(codes.Internal, "no peer in context")
	}
	remote := p.Addr.String()
	// The connection is counted before its message is decoded, the node after.
	if v := s.senders.count(remote, time.Now()); v != within {
		return nil, s.refuseRate(remote, v)
	}
	var in envelope
	if err := dec(&in); err != nil {
		s.penalize(remote)
		return nil, status.Errorf(codes.InvalidArgument, "decode envelope: %v", err)
	}
	from := Identity{Node: in.Header.Node, Incarnation: in.Header.Incarnation, Addr: remote}
	from.Verified, ok = verifyNode(p.AuthInfo, from.Node)
	if !ok || from.Node == "" {
		return nil, status.Errorf(codes.Unauthenticated, "certificate does not name node %q", from.Node)
	}
	s.remember(remote, from.Node)
	if v := s.senders.count("node "+from.Node, time.Now()); v != within {
		return nil, s.refuseRate(remote, v)
	}
	s.local.received(from, in.Header)
	return s.run(ctx, from, &in)
}

func (s *Server) run(ctx context.Context, from Identity, in *envelope) (*envelope, error) {
	s.mu.RLock()
	h := s.handlers[in.Header.Method]
	s.mu.RUnlock()
	if h == nil {
		return nil, status.Errorf(codes.Unimplemented, "no method %q", in.Header.Method)
	}
	body, err := h(ctx, from, in.Body)
	s.local.traffic(in.Header.Method, len(in.Body), len(body))
	out := &envelope{Header: s.local.header(in.Header.Method), Body: body}
	if len(body) > MaxMessageBytes-headroom {
		return nil, status.Errorf(codes.ResourceExhausted, "response of %d bytes", len(body))
	}
	if r, ok := err.(*RemoteError); ok {
		out.Error = r
		return out, nil
	}
	return out, err
}

func (s *Server) refuseRate(remote string, v verdict) error {
	if v == exceeded {
		s.penalize(remote)
	} else {
		s.disconnect(remote)
	}
	return status.Errorf(codes.Aborted, "more than %d messages/s", s.settings.MessagesPerSecond)
}

// remember notes which node sends from a remote address.
func (s *Server) remember(remote, node string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nodes[remote] = node
}

// penalize closes the connection and refuses its node for PenaltyDuration.
func (s *Server) penalize(remote string) {
	s.mu.RLock()
	node := s.nodes[remote]
	s.mu.RUnlock()
	now := time.Now()
	s.senders.penalize(remote, now)
	if node != "" {
		s.senders.penalize("node "+node, now)
	}
	s.disconnect(remote)
}

func (s *Server) disconnect(remote string) {
	s.mu.RLock()
	l := s.listener
	s.mu.RUnlock()
	time.AfterFunc(disconnectDelay, func() { l.disconnect(remote) })
}

// boundWatcher penalizes senders of messages that gRPC refuses before the
// handler runs, and forgets closed connections.
type boundWatcher struct{ s *Server }

type remoteKey struct{}

func (boundWatcher) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

func (boundWatcher) TagConn(ctx context.Context, i *stats.ConnTagInfo) context.Context {
	return context.WithValue(ctx, remoteKey{}, i.RemoteAddr.String())
}

func (w boundWatcher) HandleRPC(ctx context.Context, st stats.RPCStats) {
	end, ok := st.(*stats.End)
	if !ok || status.Code(end.Error) != codes.ResourceExhausted {
		return
	}
	if remote, ok := ctx.Value(remoteKey{}).(string); ok {
		w.s.penalize(remote)
	}
}

func (w boundWatcher) HandleConn(ctx context.Context, st stats.ConnStats) {
	if _, ok := st.(*stats.ConnEnd); !ok {
		return
	}
	remote, _ := ctx.Value(remoteKey{}).(string)
	w.s.mu.Lock()
	defer w.s.mu.Unlock()
	delete(w.s.nodes, remote)
}
