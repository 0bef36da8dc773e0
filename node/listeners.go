package node

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	stdlog "log"
	"net"
	"net/http"
	"time"

	"hyssopbridge/config/static"
	"hyssopbridge/limits"
	"hyssopbridge/upstream"
)

// idleTimeout is the time after which idle connections are closed.
const idleTimeout = 60 * time.Second

// maxOperatorConns is the maximum number of connections to the operator listener.
const maxOperatorConns = 64

// listener is one open port.
type listener struct {
	name    string
	l       net.Listener
	server  *http.Server // nil for the control port, which gRPC serves
	handler http.Handler
	limiter *limits.Listener // nil except for callers
}

type listeners []*listener

func (ls listeners) addr(name string) string {
	for _, l := range ls {
		if l.name == name {
			return l.l.Addr().String()
		}
	}
	return ""
}

func (ls listeners) closeAll() {
	for _, l := range ls {
		l.l.Close()
	}
}

// shutdown closes the named ports and waits for requests in flight until they or
// ctx end.
func (ls listeners) shutdown(ctx context.Context, names ...string) error {
	var errs []error
	for _, name := range names {
		for _, l := range ls {
			if l.name == name && l.server != nil {
				errs = append(errs, l.server.Shutdown(ctx))
			}
		}
	}
	return errors.Join(errs...)
}

// openListeners opens every port, so that a port in use is reported before
// anything runs.
func (n *Node) openListeners() error {
	s := n.settings
	for _, p := range []struct {
		name, addr string
		tls        *static.TLS
	}{{"callers", s.Listen, s.TLS}, {"peers", s.Peer, s.PeerTLS}, {"control", s.Control, nil},
		{"announcements", s.Announce, nil}, {"operators", s.Operator, nil}} {
		l, err := net.Listen("tcp", p.addr)
		if err != nil {
			return fmt.Errorf("listen for %s: %w", p.name, err)
		}
		entry := &listener{name: p.name, l: l}
		n.listeners = append(n.listeners, entry)
		if err := n.wrap(entry, p.tls); err != nil {
			return err
		}
	}
	n.self.PeerAddr = n.listeners.addr("peers")
	n.self.ControlAddr = n.listeners.addr("control")
	return nil
}

// wrap limits the connections of callers and operators, and adds TLS.
func (n *Node) wrap(l *listener, t *static.TLS) error {
	if l.name == "operators" {
		l.l = limits.NewListener(l.l, maxOperatorConns, 0)
	}
	if l.name == "callers" {
		l.limiter = limits.NewListener(l.l, n.settings.MaxConnections, n.settings.MaxPerCaller)
		l.l = l.limiter
	}
	if t == nil {
		return nil
	}
	keys, err := newKeyFiles(t)
	if err != nil {
		return err
	}
	cfg := keys.serverConfig(l.name == "peers")
	if l.name == "callers" {
		cfg.NextProtos = []string{"h2", "http/1.1"}
	}
	l.l = tls.NewListener(l.l, cfg)
	return nil
}

func (n *Node) serveAll() {
	for _, l := range n.listeners {
		switch l.name {
		case "callers":
			n.serveHTTP(l, n.entry)
		case "peers":
			n.serveHTTP(l, http.HandlerFunc(n.servePeer))
		case "announcements":
			n.serveHTTP(l, n.registry.Handler())
		case "operators":
			n.serveHTTP(l, n.operatorHandler())
		case "control":
			go func() { _ = n.server.Serve(l.l) }()
		}
	}
}

func (n *Node) serveHTTP(l *listener, h http.Handler) {
	l.handler = h
	l.server = &http.Server{
		Handler:           h,
		ReadHeaderTimeout: n.settings.HeaderTimeout.Std(),
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    n.settings.MaxHeaderBytes,
		Protocols:         protocols(l.name),
		ErrorLog:          stdlog.New(discardLog{}, "", 0),
	}
	go func() { _ = l.server.Serve(l.l) }()
}

// discardLog discards the messages of net/http about broken connections, with
// which malicious callers could otherwise flood the log.
type discardLog struct{}

func (discardLog) Write(p []byte) (int, error) { return len(p), nil }

// protocols enables HTTP/2 for callers only. Nodes use HTTP/1.1 between each
// other, so that a connection carries one request at a time.
func protocols(name string) *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	if name == "callers" {
		p.SetHTTP2(true)
		p.SetUnencryptedHTTP2(true)
	}
	return p
}

// peerClient returns the HTTP client for requests to other nodes.
func (n *Node) peerClient() (*upstream.Client, error) {
	cfg := upstream.Config{}
	if n.settings.PeerTLS != nil {
		keys, err := newKeyFiles(n.settings.PeerTLS)
		if err != nil {
			return nil, err
		}
		cfg.Dial = keys.dial
	}
	return upstream.NewClient(cfg), nil
}
