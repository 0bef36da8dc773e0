package testutil

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"

	"golang.org/x/time/rate"
)

const (
	linkChunk = 4 << 10 // bytes that a link carries at once
	// linkBuffer is what a link holds. Less than a packet of the loopback device
	// (64 KiB) would slow it down below its rate.
	linkBuffer = 128 << 10
)

// SlowLink is a link with a limited rate from a server to its clients.
type SlowLink struct {
	addr    string
	to      string
	limiter *rate.Limiter
	carried atomic.Int64
}

// StartSlowLink listens at addr until the end of the test and forwards connections
// to a server. What the server sends passes at bytesPerSecond, for all connections
// together.
func StartSlowLink(t testing.TB, addr, to string, bytesPerSecond int) *SlowLink {
	t.Helper()
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	link := &SlowLink{addr: l.Addr().String(), to: to, limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), linkChunk)}
	go func() {
		for {
			client, err := l.Accept()
			if err != nil {
				return
			}
			go link.forward(client)
		}
	}()
	return link
}

// Addr returns the address at which clients reach the server.
func (l *SlowLink) Addr() string { return l.addr }

// Carried returns the number of bytes that the server's clients were sent.
func (l *SlowLink) Carried() int64 { return l.carried.Load() }

func (l *SlowLink) forward(client net.Conn) {
	defer client.Close()
	server, err := net.Dial("tcp4", l.to)
	if err != nil {
		return
	}
	defer server.Close()
	if tcp, ok := server.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(linkBuffer) // otherwise the link holds megabytes
	}
	go func() {
		_, _ = io.Copy(server, client)
		server.Close() // the client has left
	}()
	buf := make([]byte, linkChunk)
	for {
		n, err := server.Read(buf)
		if err != nil || l.limiter.WaitN(context.Background(), n) != nil {
			return
		}
		if _, err := client.Write(buf[:n]); err != nil {
			return
		}
		l.carried.Add(int64(n))
	}
}
