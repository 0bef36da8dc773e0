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

// disconnectDelay is the time between the refusal of a message and the closing
// of its connection, in which the error reaches the sender.
const disconnectDelay = 20 * time.Millisecond

type handler func(ctx context.Context, from Identity, body []byte) ([]byte, error)

// Server serves calls from other nodes.
type Server struct {
	settings Settings
	local    Local
	certs    *certReloader
	grpc     *grpc.Server
	senders  *senderLimits

	mu         sync.RWMutex
	handlers   map[string]handler
	listener   *boundedListener
	nodeByAddr map[string]string // node ID by remote address, for penalties
}

// NewServer loads the certificate files and returns a server without handlers.
func NewServer(s Settings, local Local) (*Server, error) {
	s = s.withDefaults()
	srv := &Server{
		settings:   s,
		local:      local,
		senders:    newSenderLimits(s.MessagesPerSecond),
		handlers:   make(map[string]handler),
		nodeByAddr: make(map[string]string),
	}
	creds := insecure.NewCredentials()
	if s.useTLS() {
		k, err := newCertReloader(s)
		if err != nil {
			return nil, err
		}
		srv.certs = k
		creds = k.serverCredentials()
	}
	srv.grpc = grpc.NewServer(
		grpc.Creds(creds),
		grpc.ForceServerCodecV2(codec{}),
		grpc.MaxRecvMsgSize(MaxMessageBytes),
		grpc.MaxConcurrentStreams(MaxConcurrentCalls),
		grpc.ConnectionTimeout(s.DialTimeout),
		grpc.ReadBufferSize(connectionBufferBytes),
		grpc.WriteBufferSize(connectionBufferBytes),
		grpc.MaxHeaderListSize(8<<10),
		grpc.KeepaliveParams(keepalive.ServerParameters{
			MaxConnectionAge:      MaxConnectionAge,
			MaxConnectionAgeGrace: 10 * time.Second,
			MaxConnectionIdle:     5 * time.Minute,
		}),
		grpc.StatsHandler(statsHandler{srv}),
	)
	srv.grpc.RegisterService(&grpc.ServiceDesc{
		ServiceName: serviceName,
		HandlerType: (*any)(nil),
		Methods:     []grpc.MethodDesc{{MethodName: methodName, Handler: serveCall}},
	}, srv)
	return srv, nil
}

// Handle registers the handler of a method, replacing an earlier one. Handlers
// may be registered while the server runs.
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

// Listen opens a listener at addr. It returns ErrPlainText if addr is not a
// loopback address and plain text would be used although it is not allowed.
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

// Serve accepts connections from l until Stop. It checks the address of l like
// Listen.
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

// Stop closes the listener and all connections. Calls in progress fail.
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

// ReloadError returns why changed certificate files could not be loaded, or
// nil.
func (s *Server) ReloadError() error { return s.certs.reloadError() }

func serveCall(srv any, ctx context.Context, dec func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
	s := srv.(*Server)
	p, ok := grpcpeer.FromContext(ctx)
	if !ok {
		return nil, status.Error(codes.Internal, "no peer in context")
	}
	remote := p.Addr.String()
	// The rate of the connection is checked before the message is decoded, and
	// that of the node after, when the node is known.
	if v := s.senders.countMessage(remote, time.Now()); v != allowed {
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
	s.recordNode(remote, from.Node)
	if v := s.senders.countMessage("node "+from.Node, time.Now()); v != allowed {
		return nil, s.refuseRate(remote, v)
	}
	s.local.notifyHeader(from, in.Header)
	return s.dispatch(ctx, from, &in)
}

func (s *Server) dispatch(ctx context.Context, from Identity, in *envelope) (*envelope, error) {
	s.mu.RLock()
	h := s.handlers[in.Header.Method]
	s.mu.RUnlock()
	if h == nil {
		return nil, status.Errorf(codes.Unimplemented, "no method %q", in.Header.Method)
	}
	body, err := h(ctx, from, in.Body)
	s.local.notifyTraffic(in.Header.Method, len(in.Body), len(body))
	out := &envelope{Header: s.local.header(in.Header.Method), Body: body}
	if len(body) > MaxMessageBytes-envelopeReserve {
		return nil, status.Errorf(codes.ResourceExhausted, "response of %d bytes exceeds the size limit", len(body))
	}
	if r, ok := err.(*RemoteError); ok {
		out.Error = r
		return out, nil
	}
	return out, err
}

func (s *Server) refuseRate(remote string, v limitResult) error {
	if v == exceeded {
		s.penalize(remote)
	} else {
		s.disconnect(remote)
	}
	return status.Errorf(codes.Aborted, "more than %d messages/s", s.settings.MessagesPerSecond)
}

// recordNode records which node sends from a remote address.
func (s *Server) recordNode(remote, node string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nodeByAddr[remote] = node
}

// penalize closes the connection and refuses messages from its node for
// PenaltyDuration.
func (s *Server) penalize(remote string) {
	s.mu.RLock()
	node := s.nodeByAddr[remote]
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

// statsHandler penalizes senders whose calls end with ResourceExhausted, such
// as messages over the size limit, which gRPC refuses before the handler runs.
// It also removes closed connections.
type statsHandler struct{ s *Server }

type remoteKey struct{}

func (statsHandler) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

func (statsHandler) TagConn(ctx context.Context, i *stats.ConnTagInfo) context.Context {
	return context.WithValue(ctx, remoteKey{}, i.RemoteAddr.String())
}

func (w statsHandler) HandleRPC(ctx context.Context, st stats.RPCStats) {
	end, ok := st.(*stats.End)
	if !ok || status.Code(end.Error) != codes.ResourceExhausted {
		return
	}
	if remote, ok := ctx.Value(remoteKey{}).(string); ok {
		w.s.penalize(remote)
	}
}

func (w statsHandler) HandleConn(ctx context.Context, st stats.ConnStats) {
	if _, ok := st.(*stats.ConnEnd); !ok {
		return
	}
	remote, _ := ctx.Value(remoteKey{}).(string)
	w.s.mu.Lock()
	defer w.s.mu.Unlock()
	delete(w.s.nodeByAddr, remote)
}
