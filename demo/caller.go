package demo

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"io"
	mrand "math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// counts is what the callers saw.
type counts struct {
	mu           sync.Mutex
	answered     int
	notRun       int
	unknown      int
	wrong        int // answers that were not the whole answer to the own request
	cutDownloads int
	downloads    int
	orders       int
	other        int // any other refusal or failure
	withdrawn    int
	claimedNot   map[string]bool // order numbers whose last word was "not run"
	faults       []string        // first few descriptions
}

const maxFaults = 10

func (c *counts) fault(format string, args ...any) {
	if len(c.faults) < maxFaults {
		c.faults = append(c.faults, fmt.Sprintf(format, args...))
	}
}

// caller sends mixed traffic to one node after another.
type caller struct {
	number int
	nodes  func() []string // addresses of nodes to call
	counts *counts
	client *http.Client
	rng    *mrand.Rand
	n      int
}

func newCaller(number int, nodes func() []string, counts *counts) *caller {
	return &caller{number: number, nodes: nodes, counts: counts,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}},
		rng:    mrand.New(mrand.NewPCG(uint64(number), 1))}
}

const (
	thinkTime    = 20 * time.Millisecond
	orderRetries = 4
	resendPause  = 200 * time.Millisecond
)

// run sends small requests until ctx ends.
func (c *caller) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		c.n++
		switch p := c.rng.IntN(100); {
		case p < 65:
			c.status()
		case p < 85:
			c.order()
		default:
			c.check()
		}
		time.Sleep(time.Duration(c.rng.Int64N(int64(2 * thinkTime))))
	}
}

// runDownloads downloads bundles one after another until ctx ends, and
// finishes the one that has begun.
func (c *caller) runDownloads(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		c.n++
		c.download()
	}
}

func (c *caller) url(path string) string {
	nodes := c.nodes()
	return "http://" + nodes[c.rng.IntN(len(nodes))] + path
}

func (c *caller) status() {
	nonce := orderNumber(c.number, c.n)
	status, ran, body, err := c.send(http.MethodGet, "/status/"+nonce, "")
	c.counts.mu.Lock()
	defer c.counts.mu.Unlock()
	if !c.counts.classify("status", status, ran, err) {
		return
	}
	if want := "status of " + nonce + "\n"; body != want {
		c.counts.wrong++
		c.counts.fault("status %s: wrong answer %q", nonce, body)
	}
}

func (c *caller) check() {
	status, ran, body, err := c.send(http.MethodGet, "/check", "")
	c.counts.mu.Lock()
	defer c.counts.mu.Unlock()
	if c.counts.classify("check", status, ran, err) && body != "calibrated\n" {
		c.counts.wrong++
	}
}

// order sends an order with a key and sends it again, through any node, until
// it is answered or the tries are used up.
func (c *caller) order() {
	number := orderNumber(c.number, c.n)
	key := newUUIDv7(time.Now())
	for try := 1; ; try++ {
		status, ran, body, err := c.send(http.MethodPost, "/orders/"+number, key)
		done := status == http.StatusOK && err == nil
		c.counts.mu.Lock()
		if done || try == orderRetries {
			c.finishOrder(number, status, ran, body, err)
			c.counts.mu.Unlock()
			return
		}
		c.counts.mu.Unlock()
		time.Sleep(resendPause)
	}
}

func (c *caller) finishOrder(number string, status int, ran, body string, err error) {
	c.counts.orders++
	if !c.counts.classify("order", status, ran, err) {
		if ran == "no" {
			c.counts.claimedNot[number] = true
		}
		return
	}
	if body != "confirmed "+number+"\n" {
		c.counts.wrong++
		c.counts.fault("order %s: wrong answer %q", number, body)
	}
}

// classify counts one answer and reports whether it came from a target.
func (c *counts) classify(kind string, status int, ran string, err error) bool {
	switch {
	case err != nil:
		c.unknown++
		c.fault("%s: %v", kind, err)
	case status == http.StatusOK:
		c.answered++
		return true
	case status == http.StatusGone:
		c.withdrawn++
	case ran == "no":
		c.notRun++
		c.fault("%s: not run, status %d", kind, status)
	case ran == "unknown":
		c.unknown++
		c.fault("%s: unknown, status %d", kind, status)
	default:
		c.other++
		c.fault("%s: status %d", kind, status)
	}
	return false
}

func (c *caller) send(method, path, key string) (status int, ran, body string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	var payload io.Reader
	if key != "" {
		payload = strings.NewReader("two rollers")
	}
	req, err := http.NewRequestWithContext(ctx, method, c.url(path), payload)
	if err != nil {
		return 0, "", "", err
	}
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
		req.GetBody = nil // the caller itself decides about resends
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, "", "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header.Get("Hb-Ran"), string(b), err
}

func (c *caller) download() {
	req, err := http.NewRequest(http.MethodGet, c.url("/bundles/b1"), nil)
	if err != nil {
		return
	}
	var b []byte
	resp, err := c.client.Do(req)
	status, ran := 0, ""
	if err == nil {
		status, ran = resp.StatusCode, resp.Header.Get("Hb-Ran")
		b, err = io.ReadAll(resp.Body)
		resp.Body.Close()
	}
	c.counts.mu.Lock()
	defer c.counts.mu.Unlock()
	c.counts.downloads++
	if err != nil && status == http.StatusOK {
		c.counts.cutDownloads++
		c.counts.fault("download cut after %d bytes: %v", len(b), err)
		return
	}
	if c.counts.classify("download", status, ran, err) && !bytes.Equal(b, bundleContent) {
		c.counts.wrong++
		c.counts.fault("download: %d bytes, wrong content", len(b))
	}
	if status != http.StatusOK {
		time.Sleep(resendPause)
	}
}

// newUUIDv7 returns a UUID of version 7 with the issue time now.
func newUUIDv7(now time.Time) string {
	var b [16]byte
	_, _ = rand.Read(b[:])
	var ms [8]byte
	binary.BigEndian.PutUint64(ms[:], uint64(now.UnixMilli()))
	copy(b[:6], ms[2:])
	b[6] = b[6]&0x0f | 0x70
	b[8] = b[8]&0x3f | 0x80
	return fmt.Sprintf("%x-%x-%x-%x-%x", b[:4], b[4:6], b[6:8], b[8:10], b[10:])
}
