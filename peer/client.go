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

// headroom is kept free in a message for the envelope, in bytes.
const headroom = 4 << 10

// maxBackoff bounds the wait between dials to an address, so that a node
// replaced at the same address is found again soon.
const maxBackoff = time.Second

// Client calls other nodes over cached connections.
type Client struct {
	settings Settings
	local    Local
	keys     *keys
	creds    credentials.TransportCredentials
	done     chan struct{}

	mu     sync.Mutex
	closed bool
	conns  map[string]*cachedConn
}

type cachedConn struct {
	conn   *grpc.ClientConn
	active int
	used   time.Time
}

// NewClient reads the certificate files and returns a client without
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
		k, err := newKeys(c.settings)
		if err != nil {
			return nil, err
		}
		c.keys = k
		c.creds = k.clientCredentials()
	}
	go c.sweepLoop()
	return c, nil
}

type expectKey struct{}

// WithExpectedNode makes calls with the context fail with ErrIdentity when another
// node than the given one answers, for example after an address was reused.
func WithExpectedNode(ctx context.Context, node string) context.Context {
	return context.WithValue(ctx, expectKey{}, node)
}

// Call sends req to addr and returns the response. Failures are *Error, or
// *RemoteError when the handler failed.
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
	if len(body) > MaxMessageBytes-headroom {
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
	c.local.traffic(method, len(out.Body), len(body))
	if err := c.checkResponse(ctx, addr, method, &p, out); err != nil {
		return nil, err
	}
	return out, nil
}

func (c *Client) checkResponse(ctx context.Context, addr, method string, p *grpcpeer.Peer, out *envelope) error {
	from := Identity{Node: out.Header.Node, Incarnation: out.Header.Incarnation, Addr: addr}
	var ok bool
	from.Verified, ok = verifyNode(p.AuthInfo, from.Node)
	expected, pinned := ctx.Value(expectKey{}).(string)
	if !ok || (pinned && expected != from.Node) {
		return &Error{Kind: ErrIdentity, Addr: addr, Method: method}
	}
	c.local.received(from, out.Header)
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
	cc.used = time.Now()
	return cc, nil
}

func (c *Client) release(cc *cachedConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cc.active--
	cc.used = time.Now()
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
		grpc.WithReadBufferSize(connectionBuffer),
		grpc.WithWriteBufferSize(connectionBuffer),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
	)
}

// evict closes the connection unused for longest when the cache is full.
func (c *Client) evict() {
	if len(c.conns) < c.settings.MaxCachedConnections {
		return
	}
	var oldest string
	for addr, cc := range c.conns {
		if cc.active == 0 && (oldest == "" || cc.used.Before(c.conns[oldest].used)) {
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

// CloseConnection closes the cached connection to addr, for example when the node there
// has left or was replaced. Calls in progress on it fail.
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

// ReloadError returns why the changed certificate files are not in use, or nil.
func (c *Client) ReloadError() error { return c.keys.reloadError() }

// Close closes all connections.
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
		if cc.active == 0 && now.Sub(cc.used) > c.settings.IdleTimeout {
			c.drop(addr)
		}
	}
}
