package mesh

import (
	"bytes"
	"compress/gzip"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"hyssopbridge/upstream"
)

const (
	// configStallTimeout is how long a transfer of a configuration may take for
	// configProgressBytes.
	configStallTimeout = time.Second
	// configProgressBytes count as progress of a transfer. Another node is asked as
	// well while they take longer than fetchHedgeDelay.
	configProgressBytes = 16 << 10
	maxConfigBytes      = 16 << 20
	encodingGzip        = "gzip"
	// maxConfigTransfers bounds the nodes to which a node sends its configuration
	// at the same time. Each of those that have it soon sends it on, so that a
	// version spreads as a tree and no link carries it once for each node.
	maxConfigTransfers = 4
)

// errConfigBusy is returned for a node that sends its configuration to
// maxConfigTransfers others.
var errConfigBusy = errors.New("node sends its configuration to others")

// encodedConfig is a configuration in the forms in which it is transferred.
type encodedConfig struct {
	raw []byte // as the source has it
	// compressed returns the gzip form, for transfers between nodes. Routes repeat
	// most of their text, which makes it about a tenth as long.
	compressed func() []byte
}

func newEncodedConfig(raw []byte) encodedConfig {
	return encodedConfig{raw, sync.OnceValue(func() []byte { return compress(raw) })}
}

func compress(b []byte) []byte {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	_, _ = w.Write(b) // writing to a bytes.Buffer does not fail
	_ = w.Close()
	return out.Bytes()
}

func decompress(b []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(b))
	if err != nil {
		return nil, err
	}
	raw, err := io.ReadAll(io.LimitReader(r, maxConfigBytes+1))
	if err == nil && len(raw) > maxConfigBytes {
		err = fmt.Errorf("configuration exceeds the limit of %d bytes", maxConfigBytes)
	}
	return raw, err
}

// serveConfig responds to another node with the configuration in force or its
// version.
func (n *Node) serveConfig(w http.ResponseWriter, r *http.Request) {
	c := n.config.Load()
	if c == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	versionOnly := r.Header.Get(headerConfig) == headerConfigVersion
	// Nodes of earlier versions state theirs to have it confirmed.
	after, err := strconv.ParseInt(r.Header.Get(headerConfigAfter), 10, 64)
	confirms := err == nil && after > 0
	if (versionOnly || confirms) && !n.suspension.confirmed() {
		// This node may have missed versions itself, so it confirms none.
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if versionOnly {
		w.Header()[headerConfigAfter] = []string{strconv.FormatInt(c.Version, 10)}
	}
	if versionOnly || (err == nil && c.Version <= after) {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	select {
	case n.configTransfers <- struct{}{}:
		defer func() { <-n.configTransfers }()
	default:
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	content := c.encoded.raw
	if r.Header.Get("Accept-Encoding") == encodingGzip {
		content = c.encoded.compressed()
		w.Header().Set("Content-Encoding", encodingGzip)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(content)))
	w.Header().Set("Connection", "close") // so that the receiver closes it, see awaitReceipt
	n.metrics.countN(metricConfigBytesSent, writeSteadily(w, content))
	awaitReceipt(w, r)
}

// awaitReceipt waits until the receiver has the response and closes the connection,
// for at most configStallTimeout. The buffers of the system take a response long
// before a slow link has carried it.
func awaitReceipt(w http.ResponseWriter, r *http.Request) {
	if http.NewResponseController(w).Flush() != nil {
		return
	}
	timer := time.NewTimer(configStallTimeout)
	defer timer.Stop()
	select {
	case <-r.Context().Done():
	case <-timer.C:
	}
}

// writeSteadily writes b until the receiver disconnects or takes longer than
// configStallTimeout for configProgressBytes. It returns the number of bytes written.
func writeSteadily(w http.ResponseWriter, b []byte) (sent int) {
	control := http.NewResponseController(w)
	for chunk := range slices.Chunk(b, configProgressBytes) {
		// A closed connection takes no deadline, and the write fails.
		_ = control.SetWriteDeadline(time.Now().Add(configStallTimeout))
		k, err := w.Write(chunk)
		if sent += k; err != nil {
			break
		}
	}
	return sent
}

// fetchConfig fetches the configuration in force at another node. received is the
// size of what was transferred, also if that failed. onProgress is called while the
// transfer proceeds.
func (c *nodeClient) fetchConfig(ctx context.Context, addr string, onProgress func()) (config encodedConfig, received int, err error) {
	ctx, stall := upstream.NewStallTimer(ctx, configStallTimeout, configStallTimeout, configProgressBytes)
	defer stall.Stop()
	stall.OnProgress = onProgress
	req := &http.Request{
		Method: http.MethodGet, URL: &url.URL{Scheme: "http", Host: addr, Path: "/"}, Host: addr,
		Header: http.Header{"User-Agent": nil, headerConfig: {"1"}, "Accept-Encoding": {encodingGzip}}, Body: http.NoBody,
	}
	httpResp, err := c.client.Do(ctx, addr, req, upstream.Options{})
	if err != nil {
		return config, 0, err
	}
	defer httpResp.Body.Close()
	if httpResp.StatusCode == http.StatusTooManyRequests {
		return config, 0, errConfigBusy
	}
	if httpResp.StatusCode != http.StatusOK {
		return config, 0, fmt.Errorf("node at %s responded to a configuration request with status %d", addr, httpResp.StatusCode)
	}
	content, err := io.ReadAll(io.LimitReader(stall.Body(httpResp.Body), maxConfigBytes))
	c.metrics.countN(metricConfigBytesReceived, len(content))
	if err != nil {
		return config, len(content), err
	}
	switch encoding := httpResp.Header.Get("Content-Encoding"); encoding {
	case "": // from a node of an earlier version
		return newEncodedConfig(content), len(content), nil
	case encodingGzip:
		raw, err := decompress(content)
		return encodedConfig{raw, func() []byte { return content }}, len(content), err
	default:
		return config, len(content), fmt.Errorf("node at %s sent a configuration with the encoding %q", addr, encoding)
	}
}
