package mesh

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"

	"hyssopbridge/internal/testutil"
)

const (
	// linkRate is that of a host with a link of 10 Mbit/s, in bytes per second.
	linkRate = 10_000_000 / 8
	// configBoundSeconds is how long after its acknowledgement a configuration may
	// come into force.
	configBoundSeconds = 2.5
)

// startNodeBehindSlowLink starts a node whose answers to other nodes pass a link.
func startNodeBehindSlowLink(t *testing.T) (*Node, *testutil.SlowLink) {
	t.Helper()
	n := startNodeWith(t, nil, func(c *Config) { c.NodeListenAddr = testutil.FreeAddr(t) })
	return n, testutil.StartSlowLink(t, n.cfg.NodeAddr, n.cfg.NodeListenAddr, linkRate)
}

// Guards against transfers that are given up while they proceed: a configuration
// that takes over a second on a slow link began again and never arrived.
func TestConfigOverSlowLink(t *testing.T) {
	source, link := startNodeBehindSlowLink(t)
	n := startNode(t, nil)
	connectNodes(t, source, n)
	config := incompressible(2 << 20)
	setConfig(t, config, source)
	testutil.Eventually(t, "the configuration is in force", func() bool { return n.Config() != nil })
	if got, limit := link.Carried(), int64(len(config))*5/4; got > limit {
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
	if got, limit := link.Carried(), int64(configBoundSeconds*linkRate); got > limit {
		t.Errorf("%d bytes left the first node until all had the version, want at most the %d that its link carries in time", got, limit)
	}
}

// Guards against a version that all nodes of a zone fetch from the first one that
// has it, although those that got it could hand it on.
func TestConfigSpreadsFromNodeToNode(t *testing.T) {
	source, link := startNodeBehindSlowLink(t)
	nodes := []*Node{source}
	for range 20 {
		nodes = append(nodes, startNode(t, nil))
	}
	connectNodes(t, nodes...)
	setConfig(t, incompressible(300_000), source)
	for _, n := range nodes {
		testutil.Eventually(t, "the configuration is in force", func() bool { return n.Config() != nil })
	}
	if got, limit := link.Carried(), int64(configBoundSeconds*linkRate); got > limit {
		t.Errorf("%d bytes left the first node until all had the version, want at most the %d that its link carries in time", got, limit)
	}
}

// Guards against receivers that stand still and keep others from getting a version.
func TestConfigDespiteStalledReceivers(t *testing.T) {
	source, n := startNode(t, nil), startNode(t, nil)
	connectNodes(t, source, n)
	n.fetching.Store(true) // until the transfers below have begun
	setConfig(t, incompressible(8<<20), source)
	for range maxConfigTransfers {
		c, err := net.Dial("tcp4", source.cfg.NodeAddr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: n\r\n%s: 1\r\n\r\n", headerConfig)
		if _, err := c.Read(make([]byte, 1)); err != nil {
			t.Fatal(err)
		}
	}
	n.fetching.Store(false)
	testutil.Eventually(t, "the configuration is in force", func() bool { return n.Config() != nil })
}

// Guards against the announcement of a version that is lost because an older one is
// being fetched: the node then waited for the next heartbeat.
func TestConfigAnnouncedDuringTransfer(t *testing.T) {
	n := startNode(t, nil)
	announced := make(chan struct{})
	serve := func(version int64, before func()) {
		source := listen(t, testutil.FreeAddr(t), func(conn net.Conn) {
			go serveRequests(conn, func(_ *bufio.Reader, _ *http.Request) bool {
				before()
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d", version)
				return true
			})
		})
		n.peers.mu.Lock()
		defer n.peers.mu.Unlock()
		addReader(n, source.Addr().String(), 0).last.Version = version
	}
	serve(2, func() { <-announced })
	n.startFetch(versionSource{version: 2, sameZone: true})
	serve(3, func() {})
	n.fetchConfig(versionSource{version: 3, sameZone: true})
	close(announced)
	testutil.Eventually(t, "version 3 is in force", func() bool { return n.identity().Version == 3 })
}

// incompressible returns version 2 of a configuration followed by random bytes.
func incompressible(size int) string {
	noise := make([]byte, size)
	_, _ = rand.NewChaCha8([32]byte{1}).Read(noise)
	return "2 0 " + string(noise)
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
		fmt.Fprintf(&text, `{"name":"r-%s","prefix":"/%s/","idempotent":true,"timeout_ms":8000,"objective_ms":4000,"rank":2,"shares":["service-11a"],"attempts":2},`, word(7), word(8))
	}
	return text.String()
}

// Guards against nodes of two versions that do not get configurations from each
// other, and against a compressed one that is damaged or expands without bound.
func TestConfigEncodings(t *testing.T) {
	n := startNode(t, nil)
	setConfig(t, manyRoutes(10), n)
	ask := func(fields ...string) (encoding string, body []byte) {
		req, _ := http.NewRequest(http.MethodGet, "http://"+n.cfg.NodeAddr, nil)
		req.Header.Set(headerConfig, "1")
		for _, f := range fields {
			req.Header.Set("Accept-Encoding", f)
		}
		resp, err := (&http.Client{Transport: &http.Transport{DisableCompression: true}}).Do(req)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		body, err = io.ReadAll(resp.Body)
		if err != nil {
			t.Fatal(err)
		}
		return resp.Header.Get("Content-Encoding"), body
	}
	if encoding, body := ask(); encoding != "" || string(body) != manyRoutes(10) {
		t.Errorf("an earlier version got encoding %q, %d bytes", encoding, len(body))
	}
	encoding, body := ask(encodingGzip)
	if raw, err := decompress(body); encoding != encodingGzip || err != nil || string(raw) != manyRoutes(10) {
		t.Errorf("encoding %q, %d bytes, error %v", encoding, len(raw), err)
	}
	for name, c := range map[string]struct {
		encoding string
		content  []byte
		valid    bool
	}{
		"from an earlier version": {"", []byte("7"), true},
		"compressed":              {encodingGzip, compress([]byte("7")), true},
		"damaged":                 {encodingGzip, compress([]byte("7"))[:20], false},
		"too long":                {encodingGzip, compress(make([]byte, maxConfigBytes+1)), false},
		"unknown encoding":        {"br", []byte("7"), false},
	} {
		source := listen(t, testutil.FreeAddr(t), func(conn net.Conn) {
			go serveRequests(conn, func(_ *bufio.Reader, r *http.Request) bool {
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\nContent-Encoding: %s\r\n\r\n%s", len(c.content), c.encoding, c.content)
				return true
			})
		})
		got, _, err := n.remote.fetchConfig(t.Context(), source.Addr().String(), nil)
		if (err == nil) != c.valid || (c.valid && string(got.raw) != "7") {
			t.Errorf("%s: %d bytes, error %v", name, len(got.raw), err)
		}
	}
}
