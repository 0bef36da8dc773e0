package upstream

import (
	"context"
	"net"
	"sync"
	"time"
)

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, addr string) (net.Conn, error)

// Config configures a Client.
type Config struct {
	Dial        DialFunc      // default: TCP
	DialTimeout time.Duration // default 1 s
	IdleTimeout time.Duration // maximum idle time of a pooled connection; default 30 s
	MaxIdle     int           // maximum idle connections per address; default 64
	MaxHeader   HeaderLimits  // of a response; default 64 KiB and 192 lines
}

// HeaderLimits bounds a header section.
type HeaderLimits struct {
	Bytes int // with the status line and the empty line at the end
	// Lines bounds the memory of the parsed fields: one of 5 bytes takes about 100.
	Lines int
}

const (
	defaultDialTimeout = time.Second
	defaultIdleTimeout = 30 * time.Second
	defaultMaxIdle     = 64
	defaultHeaderBytes = 64 << 10
	defaultHeaderLines = 192
)

// Client sends requests over pooled connections.
type Client struct {
	cfg   Config
	pools sync.Map // address -> *pool
}

type pool struct {
	mu   sync.Mutex
	idle []*conn // most recently used last
}

// NewClient returns a Client with defaults for the zero fields of cfg.
func NewClient(cfg Config) *Client {
	if cfg.Dial == nil {
		var d net.Dialer
		cfg.Dial = func(ctx context.Context, addr string) (net.Conn, error) { return d.DialContext(ctx, "tcp", addr) }
	}
	if cfg.DialTimeout == 0 {
		cfg.DialTimeout = defaultDialTimeout
	}
	if cfg.IdleTimeout == 0 {
		cfg.IdleTimeout = defaultIdleTimeout
	}
	if cfg.MaxIdle == 0 {
		cfg.MaxIdle = defaultMaxIdle
	}
	if cfg.MaxHeader == (HeaderLimits{}) {
		cfg.MaxHeader = HeaderLimits{Bytes: defaultHeaderBytes, Lines: defaultHeaderLines}
	}
	return &Client{cfg: cfg}
}

func (c *Client) pool(addr string) *pool {
	if p, ok := c.pools.Load(addr); ok {
		return p.(*pool)
	}
	p, _ := c.pools.LoadOrStore(addr, &pool{})
	return p.(*pool)
}

// get returns an idle connection that the options allow, or dials a new one.
func (c *Client) get(ctx context.Context, addr string, opt Options) (cn *conn, reused bool, err error) {
	if !opt.Fresh {
		if cn := c.reuse(addr, opt.MaxIdleAge); cn != nil {
			return cn, true, nil
		}
	}
	cn, err = c.dial(ctx, addr)
	return cn, false, err
}

// reuse returns a connection that has been idle for at most maxIdleAge, or nil.
// 0 means the client's idle timeout.
func (c *Client) reuse(addr string, maxIdleAge time.Duration) *conn {
	if maxIdleAge == 0 {
		maxIdleAge = c.cfg.IdleTimeout
	}
	p := c.pool(addr)
	for {
		cn := p.pop()
		if cn == nil || cn.reusable(maxIdleAge) {
			return cn
		}
		cn.Close()
	}
}

func (c *Client) dial(ctx context.Context, addr string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.DialTimeout)
	defer cancel()
	nc, err := c.cfg.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	return newConn(nc, addr, c.cfg.MaxHeader), nil
}

func (p *pool) pop() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	cn := p.idle[n-1]
	p.idle[n-1] = nil
	p.idle = p.idle[:n-1]
	return cn
}

// put adds a connection to the pool after a complete exchange.
func (c *Client) put(cn *conn) {
	cn.idleSince = time.Now()
	p := c.pool(cn.addr)
	p.mu.Lock()
	full := len(p.idle) >= c.cfg.MaxIdle
	if !full {
		p.idle = append(p.idle, cn)
	}
	p.mu.Unlock()
	if full {
		cn.Close()
	}
}

// CloseIdle closes the connections that have been idle for longer than the idle
// timeout, or all idle connections if all is set.
func (c *Client) CloseIdle(all bool) {
	c.pools.Range(func(key, value any) bool {
		p := value.(*pool)
		p.mu.Lock()
		kept := p.idle[:0]
		for _, cn := range p.idle {
			if all || time.Since(cn.idleSince) > c.cfg.IdleTimeout {
				cn.Close()
			} else {
				kept = append(kept, cn)
			}
		}
		clear(p.idle[len(kept):])
		p.idle = kept
		p.mu.Unlock()
		return true
	})
}
