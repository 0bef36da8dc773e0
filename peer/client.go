package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	grpcpeer "google.golang.org/grpc/peer"
)

// envelopeReserve is the space reserved for the envelope in a message, in
// bytes.
const envelopeReserve = 4 << 10

// maxBackoff bounds the time between dials to an address, so that a replaced
// node at the same address is reached soon.
const maxBackoff = time.Second

// Client calls other nodes over cached connections.
type Client struct {
	settings Settings
	local    Local
	certs    *certReloader
	creds    credentials.TransportCredentials
	done     chan struct{}

	mu     sync.Mutex
	closed bool
	conns  map[string]*cachedConn
}

type cachedConn struct {
	conn     *grpc.ClientConn
	active   int
	lastUsed time.Time
}

// NewClient loads the certificate files and returns a client without
// connections.
func NewClient(s Settings, local Local) (*Client, error) {
	c := &Client{
		settings: s.withDefaults(),
		local:    local,
		creds:    insecure.NewCredentials(),
		done:     make(chan struct{}),
		conns:    make(map[string]*cachedConn),
	}
	if s.useTLS() {
		k, err := newCertReloader(c.settings)
		if err != nil {
			return nil, err
		}
		c.certs = k
		c.creds = k.clientCredentials()
	}
	go c.sweepLoop()
	return c, nil
}

type expectedNodeKey struct{}

// WithExpectedNode returns a context whose calls fail with ErrIdentity if a
// node other than the given one responds, for example after an address was
// reused.
func WithExpectedNode(ctx context.Context, node string) context.Context {
	return context.WithValue(ctx, expectedNodeKey{}, node)
}

// Call sends req to addr and returns the response. Errors are of type *Error,
// or *RemoteError if the handler returned the error.
func Call[Req, Resp any](ctx context.Context, c *Client, addr, method string, req *Req) (*Resp, error) {
	body, err := Marshal(req)
	if err != nil {
		return nil, &Error{Kind: ErrMalformed, Addr: addr, Method: method, Err: err}
	}
	out, err := c.roundTrip(ctx, addr, method, body)
	if err != nil {
		return nil, callError(addr, method, err)
	}
	if out.Error != nil {
		return nil, out.Error
	}
	resp := new(Resp)
	if err := Unmarshal(out.Body, resp); err != nil {
		return nil, &Error{Kind: ErrMalformed, Addr: addr, Method: method, Err: err}
	}
	return resp, nil
}

func (c *Client) roundTrip(ctx context.Context, addr, method string, body []byte) (*envelope, error) {
	if len(body) > MaxMessageBytes-envelopeReserve {
		return nil, &Error{Kind: ErrTooLarge, Addr: addr, Method: method}
	}
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.settings.CallTimeout)
		defer cancel()
	}
	cc, err := c.acquire(addr)
	if err != nil {
		return nil, err
	}
	defer c.release(cc)
	in := &envelope{Header: c.local.header(method), Body: body}
	out := new(envelope)
	var p grpcpeer.Peer
	if err := cc.conn.Invoke(ctx, fullMethod, in, out, grpc.Peer(&p)); err != nil {
		return nil, err
	}
	c.local.notifyTraffic(method, len(out.Body), len(body))
	if err := c.checkResponse(ctx, addr, method, &p, out); err != nil {
		return nil, err
	}
	return out, nil
}

// checkResponse checks that the expected node sent the response, and passes its
// header to OnHeader.
func (c *Client) checkResponse(ctx context.Context, addr, method string, p *grpcpeer.Peer, out *envelope) error {
	from := Identity{Node: out.Header.Node, Incarnation: out.Header.Incarnation, Addr: addr}
	var ok bool
	from.Verified, ok = verifyNode(p.AuthInfo, from.Node)
	expected, pinned := ctx.Value(expectedNodeKey{}).(string)
	if !ok || (pinned && expected != from.Node) {
		return &Error{Kind: ErrIdentity, Addr: addr, Method: method}
	}
	c.local.notifyHeader(from, out.Header)
	return nil
}

// acquire returns the cached connection to addr, or a new one.
func (c *Client) acquire(addr string) (*cachedConn, error) {
	if err := c.settings.checkPlainText(addr); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, &Error{Kind: ErrClosed, Addr: addr}
	}
	cc := c.conns[addr]
	if cc == nil {
		conn, err := c.dial(addr)
		if err != nil {
			return nil, &Error{Kind: ErrUnreachable, Addr: addr, Err: err}
		}
		c.evict()
		cc = &cachedConn{conn: conn}
		c.conns[addr] = cc
	}
	cc.active++
	cc.lastUsed = time.Now()
	return cc, nil
}

func (c *Client) release(cc *cachedConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cc.active--
	cc.lastUsed = time.Now()
}

func (c *Client) dial(addr string) (*grpc.ClientConn, error) {
	dialer := net.Dialer{Timeout: c.settings.DialTimeout}
	return grpc.NewClient("passthrough:///"+addr,
		grpc.WithTransportCredentials(c.creds),
		grpc.WithContextDialer(func(ctx context.Context, a string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", a)
		}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 2, Jitter: 0.2, MaxDelay: maxBackoff},
			MinConnectTimeout: c.settings.DialTimeout,
		}),
		grpc.WithDefaultCallOptions(
			grpc.ForceCodecV2(codec{}),
			grpc.MaxCallRecvMsgSize(MaxMessageBytes),
			grpc.MaxCallSendMsgSize(MaxMessageBytes),
		),
		grpc.WithReadBufferSize(connectionBufferBytes),
		grpc.WithWriteBufferSize(connectionBufferBytes),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
	)
}

// evict closes the least recently used idle connection if the cache is full.
func (c *Client) evict() {
	if len(c.conns) < c.settings.MaxCachedConnections {
		return
	}
	var oldest string
	for addr, cc := range c.conns {
		if cc.active == 0 && (oldest == "" || cc.lastUsed.Before(c.conns[oldest].lastUsed)) {
			oldest = addr
		}
	}
	if oldest != "" {
		c.drop(oldest)
	}
}

func (c *Client) drop(addr string) {
	cc := c.conns[addr]
	delete(c.conns, addr)
	cc.conn.Close()
}

// CloseConnection closes the cached connection to addr, if there is one, for
// example because the node there has left or was replaced. Calls in progress on
// it fail.
func (c *Client) CloseConnection(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[addr] != nil {
		c.drop(addr)
	}
}

// Connections returns the number of cached connections.
func (c *Client) Connections() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns)
}

// ReloadError returns why changed certificate files could not be loaded, or
// nil.
func (c *Client) ReloadError() error { return c.certs.reloadError() }

// Close closes the client and all its connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	close(c.done)
	for addr := range c.conns {
		c.drop(addr)
	}
}

func (c *Client) sweepLoop() {
	t := time.NewTicker(c.settings.IdleTimeout / 4)
	defer t.Stop()
	for {
		select {
		case <-c.done:
			return
		case now := <-t.C:
			c.sweep(now)
		}
	}
}

func (c *Client) sweep(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, cc := range c.conns {
		if cc.active == 0 && now.Sub(cc.lastUsed) > c.settings.IdleTimeout {
			c.drop(addr)
		}
	}
}
