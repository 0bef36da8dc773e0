package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// plainClient opens a connection for each call.
var plainClient = &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

var lastRequest atomic.Int64

// newID returns the ID of the next client attempt.
func newID() string {
	return fmt.Sprintf("%08x%08x", time.Now().UnixNano()&0xffffffff, lastRequest.Add(1))
}

// answer is what a client got.
type answer struct {
	id         string
	sent       time.Duration // since the start of the record
	took       time.Duration
	status     int // 0 if there was none
	body       int // bytes
	whole      bool
	retryAfter time.Duration
	err        error
}

// served reports whether the answer is a success with its whole body.
func (a answer) served() bool { return a.err == nil && a.status/100 == 2 && a.whole }

func (a answer) String() string {
	text := fmt.Sprintf("%s status %d, %d bytes, %v", a.id, a.status, a.body, a.took.Round(time.Millisecond))
	if a.err != nil {
		text += ", " + a.err.Error()
	}
	return text
}

// newTransport returns a transport with connections of its own.
func newTransport() *http.Transport {
	return &http.Transport{
		DisableCompression: true, MaxIdleConnsPerHost: 100,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}
}

// get sends one request to the outbound address of a machine and reads the answer.
// It waits for at most deadline.
func (m *machine) get(t http.RoundTripper, path string, deadline time.Duration) answer {
	return m.getWith(t, path, deadline, nil)
}

// getWith is get with further header fields.
func (m *machine) getWith(t http.RoundTripper, path string, deadline time.Duration, header map[string]string) answer {
	rec := m.fleet.rec
	a := answer{id: newID(), sent: rec.now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.addr(portOutbound)+path, nil)
	if err != nil {
		a.err = err
		return a
	}
	req.Host = hostname
	req.Header.Set(name("request-id"), a.id)
	req.Header.Set(name("deadline"), strconv.FormatInt(deadline.Milliseconds(), 10))
	for name, value := range header {
		req.Header.Set(name, value)
	}
	size, _ := parsePath(path)
	resp, err := t.RoundTrip(req)
	a.took = rec.now() - a.sent
	if err != nil {
		a.err = err
		return a
	}
	defer resp.Body.Close()
	a.status = resp.StatusCode
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		a.retryAfter = time.Duration(s * float64(time.Second))
	}
	b, err := io.ReadAll(resp.Body)
	a.body, a.err, a.took = len(b), err, rec.now()-a.sent
	a.whole = resp.Header.Get(name("signature")) == "sig."+a.id && len(b) == size && bytes.Equal(b, content(a.id, 0, size))
	return a
}
