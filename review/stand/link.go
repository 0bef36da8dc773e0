package main

import (
	"io"
	"net"
	"sync/atomic"
	"time"
)

// link relays the connections of one node to the store and notes when the node
// last sent something.
type link struct {
	listener net.Listener
	lastSent atomic.Int64 // Unix time in nanoseconds
}

func startLink(addr, to string) (*link, error) {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, err
	}
	k := &link{listener: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go k.relay(c, to)
		}
	}()
	return k, nil
}

func (k *link) relay(c net.Conn, to string) {
	defer c.Close()
	s, err := net.Dial("tcp4", to)
	if err != nil {
		return
	}
	defer s.Close()
	go func() {
		_, _ = io.Copy(c, s) // the end of either direction ends the relay
		c.Close()
	}()
	buf := make([]byte, 32<<10)
	for {
		n, err := c.Read(buf)
		if err != nil {
			return
		}
		k.lastSent.Store(time.Now().UnixNano())
		if _, err := s.Write(buf[:n]); err != nil {
			return
		}
	}
}

// active reports whether the node has sent anything within a time.
func (k *link) active(within time.Duration) bool {
	return time.Since(time.Unix(0, k.lastSent.Load())) < within
}
