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

// callerCounts counts the results that callers received.
type callerCounts struct {
	mu                 sync.Mutex
	answered           int
	notRun             int
	unknown            int
	wrongResponses     int // responses that were incomplete or belonged to another request
	truncatedDownloads int
	downloads          int
	orders             int
	other              int // any other refusal or failure
	withdrawn          int
	reportedNotRun     map[string]bool // order numbers whose last response said "not run"
	errorSamples       []string        // descriptions of the first few
}

const maxErrorSamples = 10

func (c *callerCounts) recordError(format string, args ...any) {
	if len(c.errorSamples) < maxErrorSamples {
		c.errorSamples = append(c.errorSamples, fmt.Sprintf(format, args...))
	}
}

// caller sends mixed traffic through randomly chosen nodes.
type caller struct {
	number int
	nodes  func() []string // returns the addresses of the nodes to use
	counts *callerCounts
	client *http.Client
	rng    *mrand.Rand
	n      int // number of the current request
}

func newCaller(number int, nodes func() []string, counts *callerCounts) *caller {
	return &caller{number: number, nodes: nodes, counts: counts,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}},
		rng:    mrand.New(mrand.NewPCG(uint64(number), 1))}
}

const (
	thinkTime     = 20 * time.Millisecond
	maxOrderSends = 4
	resendPause   = 200 * time.Millisecond
)

// run sends small requests until ctx is done.
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

// runDownloads downloads bundles one after another until ctx is done. The download
// in progress is completed.
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
		c.counts.wrongResponses++
		c.counts.recordError("status %s: wrong response %q", nonce, body)
	}
}

func (c *caller) check() {
	status, ran, body, err := c.send(http.MethodGet, "/check", "")
	c.counts.mu.Lock()
	defer c.counts.mu.Unlock()
	if c.counts.classify("check", status, ran, err) && body != "calibrated\n" {
		c.counts.wrongResponses++
	}
}

// order sends an order with an idempotency key, and resends it through any node
// until it is answered or was sent maxOrderSends times.
func (c *caller) order() {
	number := orderNumber(c.number, c.n)
	key := newUUIDv7(time.Now())
	for sends := 1; ; sends++ {
		status, ran, body, err := c.send(http.MethodPost, "/orders/"+number, key)
		done := status == http.StatusOK && err == nil
		c.counts.mu.Lock()
		if done || sends == maxOrderSends {
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
			c.counts.reportedNotRun[number] = true
		}
		return
	}
	if body != "confirmed "+number+"\n" {
		c.counts.wrongResponses++
		c.counts.recordError("order %s: wrong response %q", number, body)
	}
}

// classify counts one response and reports whether it is the response of a target.
func (c *callerCounts) classify(kind string, status int, ran string, err error) bool {
	switch {
	case err != nil:
		c.unknown++
		c.recordError("%s: %v", kind, err)
	case status == http.StatusOK:
		c.answered++
		return true
	case status == http.StatusGone:
		c.withdrawn++
	case ran == "no":
		c.notRun++
		c.recordError("%s: not run, status %d", kind, status)
	case ran == "unknown":
		c.unknown++
		c.recordError("%s: unknown, status %d", kind, status)
	default:
		c.other++
		c.recordError("%s: status %d", kind, status)
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
		req.GetBody = nil // only the caller may resend an order
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
		c.counts.truncatedDownloads++
		c.counts.recordError("download truncated after %d bytes: %v", len(b), err)
		return
	}
	if c.counts.classify("download", status, ran, err) && !bytes.Equal(b, bundleContent) {
		c.counts.wrongResponses++
		c.counts.recordError("download: %d bytes, wrong content", len(b))
	}
	if status != http.StatusOK {
		time.Sleep(resendPause)
	}
}

// newUUIDv7 returns a version 7 UUID with the timestamp now.
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
