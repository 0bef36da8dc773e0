package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	clientDeadline = 2500 * time.Millisecond
	clientPatience = 500 * time.Millisecond // from the deadline until a client gives up
)

// result is a request of a client and its answer.
type result struct {
	id, path string
	node     int
	sent     time.Time
	status   int // 0 if there was no complete answer
	body     string
	signed   bool
}

// clients collects the results of all clients.
type clients struct {
	rec *record

	mu      sync.Mutex
	results []*result
}

// send sends one request over a new connection and records its answer.
func (c *clients) send(n *node, method, prefix string) *result {
	r := &result{id: fmt.Sprintf("%016x", rand.Uint64()), node: n.index}
	r.path = "/" + prefix + "/" + r.id[:6]
	ctx, cancel := context.WithTimeout(context.Background(), clientDeadline+clientPatience)
	defer cancel()
	body := ""
	if method == http.MethodPost {
		body = "order " + r.id
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.addr(portOutbound)+r.path, strings.NewReader(body))
	if err != nil {
		return r
	}
	req.Host = clientHost
	req.Header.Set(name("request-id"), r.id)
	req.Header.Set(name("deadline"), fmt.Sprint(clientDeadline.Milliseconds()))
	r.sent = time.Now()
	c.rec.add("client of node %d sends %s %s %s", n.index, r.id, method, r.path)
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(req)
	if err != nil {
		c.rec.add("client of node %d has no answer to %s: %v", n.index, r.id, err)
		c.keep(r)
		return r
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err == nil {
		r.status, r.body, r.signed = resp.StatusCode, string(b), resp.Header.Get(name("signature")) != ""
	}
	c.rec.add("client of node %d has the answer to %s: %d", n.index, r.id, r.status)
	c.keep(r)
	return r
}

func (c *clients) keep(r *result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, r)
}

// loop sends requests one after the other until ctx ends.
func (c *clients) loop(ctx context.Context, n *node, method, prefix string, pause time.Duration) {
	for ctx.Err() == nil {
		c.send(n, method, prefix)
		time.Sleep(pause/2 + rand.N(pause))
	}
}
