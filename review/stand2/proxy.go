package main

import (
	"net"
	"sync"
	"sync/atomic"
)

// proxyBuffer bounds what the proxy takes from a connection before it passes it on.
const proxyBuffer = 64 << 10

// proxy passes TCP connections on to a node. It can make those that are open silent
// for good: nothing passes any more, in either direction, also not their end.
type proxy struct {
	to string

	mu    sync.Mutex
	pairs map[*pair]struct{}
}

// pair is a connection on both sides of the proxy. A silent one stays referenced by
// the proxy, since the garbage collector closes sockets that nothing refers to.
type pair struct {
	client, node net.Conn
	silent       atomic.Bool
}

func startProxy(addr, to string) (*proxy, error) {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, err
	}
	p := &proxy{to: to, pairs: map[*pair]struct{}{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

func (p *proxy) serve(client net.Conn) {
	node, err := net.Dial("tcp4", p.to)
	if err != nil {
		client.Close()
		return
	}
	for _, c := range []net.Conn{client, node} {
		_ = c.(*net.TCPConn).SetReadBuffer(proxyBuffer)
	}
	x := &pair{client: client, node: node}
	p.mu.Lock()
	p.pairs[x] = struct{}{}
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { x.pass(client, node) })
	both.Go(func() { x.pass(node, client) })
	both.Wait()
	p.mu.Lock()
	delete(p.pairs, x)
	p.mu.Unlock()
}

// pass copies until the connection ends or becomes silent. Of a silent connection
// nothing is read any more, and neither side is closed.
func (x *pair) pass(from, to net.Conn) {
	b := make([]byte, proxyBuffer)
	for {
		n, err := from.Read(b)
		if x.silent.Load() {
			select {}
		}
		if n > 0 {
			if _, err := to.Write(b[:n]); err != nil {
				if x.silent.Load() {
					select {}
				}
				from.Close()
				return
			}
		}
		if err != nil {
			to.Close()
			return
		}
	}
}

// silence makes the open connections silent and returns their number.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for x := range p.pairs {
		x.silent.Store(true)
	}
	return len(p.pairs)
}
