package mesh

import (
	"context"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"golang.org/x/time/rate"

	"hyssopbridge/internal/testutil"
)

const (
	// linkRate is that of a host with a link of 10 Mbit/s, in bytes per second.
	linkRate = 10_000_000 / 8
	// configBoundSeconds is how long after its acknowledgement a configuration may
	// come into force.
	configBoundSeconds = 2.5
)

// slowLink carries what a node sends to other nodes, at linkRate for all of them
// together.
type slowLink struct {
	carried atomic.Int64 // bytes that left the node
	limiter *rate.Limiter
}

// startNodeBehindSlowLink starts a node that others reach through a slowLink.
func startNodeBehindSlowLink(t *testing.T) (*Node, *slowLink) {
	t.Helper()
	const chunk = 4 << 10
	link := &slowLink{limiter: rate.NewLimiter(linkRate, chunk)}
	n := startNodeWith(t, nil, func(c *Config) { c.NodeListenAddr = testutil.FreeAddr(t) })
	listen(t, n.cfg.NodeAddr, func(peer net.Conn) {
		inner, err := net.Dial("tcp4", n.cfg.NodeListenAddr)
		if err != nil {
			peer.Close()
			return
		}
		// A link holds little of what is sent. Less than the packets of the loopback
		// device (64 KiB) would make it slower than linkRate.
		_ = inner.(*net.TCPConn).SetReadBuffer(128 << 10)
		go func() {
			_, _ = io.Copy(inner, peer)
			inner.Close()
		}()
		go func() {
			defer peer.Close()
			defer inner.Close()
			buf := make([]byte, chunk)
			for {
				k, err := inner.Read(buf)
				if err != nil || link.limiter.WaitN(context.Background(), k) != nil {
					return
				}
				if _, err := peer.Write(buf[:k]); err != nil {
					return
				}
				link.carried.Add(int64(k))
			}
		}()
	})
	return n, link
}

// Guards against transfers that are given up while they proceed: a configuration
// that takes over a second on a slow link began again and never arrived.
func TestConfigOverSlowLink(t *testing.T) {
	source, link := startNodeBehindSlowLink(t)
	n := startNode(t, nil)
	connectNodes(t, source, n)
	noise := make([]byte, 1<<20)
	_, _ = rand.NewChaCha8([32]byte{1}).Read(noise)
	config := "2 0 " + hex.EncodeToString(noise)
	setConfig(t, config, source)
	testutil.Eventually(t, "the configuration is in force", func() bool { return n.Config() != nil })
	if got, limit := link.carried.Load(), int64(len(config))*5/4; got > limit {
		t.Errorf("the transfer of %d bytes took %d bytes on the link, want at most %d", len(config), got, limit)
	}
}

// Guards against a new version that overloads the link of the first node that has
// it: all others fetched it from there, each several times.
func TestConfigOfManyRoutesFromOneNode(t *testing.T) {
	source, link := startNodeBehindSlowLink(t)
	nodes := []*Node{source}
	for range 20 {
		nodes = append(nodes, startNode(t, nil))
	}
	connectNodes(t, nodes...)
	setConfig(t, manyRoutes(4200), source)
	for _, n := range nodes {
		testutil.Eventually(t, "the configuration is in force", func() bool { return n.Config() != nil })
	}
	if got, limit := link.carried.Load(), int64(configBoundSeconds*linkRate); got > limit {
		t.Errorf("%d bytes left the first node until all had the version, want at most the %d that its link carries in time", got, limit)
	}
}

// manyRoutes returns version 2 of a configuration followed by the text of routes
// with random names.
func manyRoutes(routes int) string {
	random := rand.New(rand.NewPCG(1, 1))
	word := func(letters int) string {
		b := make([]byte, letters)
		for i := range b {
			b[i] = "abcdefghijklmnopqrstuvwxyz0123456789"[random.IntN(36)]
		}
		return string(b)
	}
	var text strings.Builder
	text.WriteString("2 0 ")
	for range routes {
		fmt.Fprintf(&text, `{"name":"r-%s","path_prefix":"/%s/","kind":"safe","timeout_s":8,"target_latency_s":4,"priority":2,"service":"huvo11a","max_attempts":2},`, word(7), word(8))
	}
	return text.String()
}
