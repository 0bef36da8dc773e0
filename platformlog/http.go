package platformlog

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// requestTimeout bounds one request to the log service.
const requestTimeout = 5 * time.Second

// Limits of response bodies. The service, not the client, shortens the result of
// a read of many large records.
const (
	maxReadResponseBytes  = 64 << 20
	maxSmallResponseBytes = 4 << 10
)

// HTTPClient is a Log that calls the log service over HTTP.
type HTTPClient struct {
	base   string
	client *http.Client
}

// NewHTTPClient returns a client for the log service at base, for example
// "http://127.0.0.1:7000".
func NewHTTPClient(base string) *HTTPClient {
	client := &http.Client{
		Timeout: requestTimeout,
		// A redirected append would be sent again to another server.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return &HTTPClient{base: strings.TrimSuffix(base, "/"), client: client}
}

// BoundsResponse is the response to a bounds request. A read from an expired
// offset returns it too, with only First set.
type BoundsResponse struct {
	First int64 `json:"first"`
	Next  int64 `json:"next"`
}

// AppendResponse is the response to an append.
type AppendResponse struct {
	Offset int64 `json:"offset"`
}

// Append implements Log. It returns ErrUnavailable only if the record was
// certainly not appended: the service rejected it or the connection failed.
func (c *HTTPClient) Append(ctx context.Context, r Record) (int64, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return 0, fmt.Errorf("encode record: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(r.Stream, "records", nil), bytes.NewReader(body))
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, classifyAppendError(err)
	}
	defer closeBody(resp)
	return parseAppendResponse(resp)
}

// classifyAppendError distinguishes a failed dial, after which nothing was sent,
// from any other failure.
func classifyAppendError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
}

func parseAppendResponse(resp *http.Response) (int64, error) {
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusBadRequest,
		http.StatusNotFound, http.StatusRequestEntityTooLarge:
		return 0, fmt.Errorf("%w: status %d", ErrUnavailable, resp.StatusCode)
	default:
		return 0, fmt.Errorf("%w: status %d", ErrUnknownOutcome, resp.StatusCode)
	}
	var a AppendResponse
	if err := decodeResponse(resp, maxSmallResponseBytes, &a); err != nil {
		return 0, fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	}
	if a.Offset < 1 {
		return 0, fmt.Errorf("%w: offset %d in response", ErrUnknownOutcome, a.Offset)
	}
	return a.Offset, nil
}

// Read implements Log.
func (c *HTTPClient) Read(ctx context.Context, stream string, from int64, max int) ([]Entry, error) {
	q := url.Values{"from": {strconv.FormatInt(from, 10)}, "max": {strconv.Itoa(max)}}
	var out []Entry
	err := c.get(ctx, c.url(stream, "records", q), maxReadResponseBytes, &out)
	var expired *ExpiredError
	if errors.As(err, &expired) {
		expired.From = from
	}
	if err != nil {
		return nil, err
	}
	return out, checkOffsets(out, from, max)
}

// checkOffsets returns an error if there are more than max entries, or if their
// offsets are not ascending from at least from.
func checkOffsets(entries []Entry, from int64, max int) error {
	if len(entries) > max {
		return fmt.Errorf("%w: %d entries in response, requested %d", ErrUnavailable, len(entries), max)
	}
	for i := range entries {
		if entries[i].Offset < from {
			return fmt.Errorf("%w: offset %d in response, want at least %d", ErrUnavailable, entries[i].Offset, from)
		}
		from = entries[i].Offset + 1
	}
	return nil
}

// Bounds implements Log.
func (c *HTTPClient) Bounds(ctx context.Context, stream string) (first, next int64, err error) {
	var a BoundsResponse
	err = c.get(ctx, c.url(stream, "bounds", nil), maxSmallResponseBytes, &a)
	return a.First, a.Next, err
}

func (c *HTTPClient) url(stream, resource string, q url.Values) string {
	u := c.base + "/streams/" + url.PathEscape(stream) + "/" + resource
	if q != nil {
		u += "?" + q.Encode()
	}
	return u
}

func (c *HTTPClient) get(ctx context.Context, u string, limit int64, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer closeBody(resp)
	switch resp.StatusCode {
	case http.StatusOK:
		if err := decodeResponse(resp, limit, out); err != nil {
			return fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
		return nil
	case http.StatusGone:
		var a BoundsResponse
		if err := decodeResponse(resp, maxSmallResponseBytes, &a); err != nil {
			return fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
		return &ExpiredError{First: a.First}
	default:
		return fmt.Errorf("%w: status %d", ErrUnavailable, resp.StatusCode)
	}
}

// decodeResponse decodes a response body of at most limit bytes.
func decodeResponse(resp *http.Response, limit int64, out any) error {
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return fmt.Errorf("read response: %w", err)
	}
	if int64(len(body)) > limit {
		return fmt.Errorf("response exceeds %d bytes", limit)
	}
	if err := json.Unmarshal(body, out); err != nil {
		return fmt.Errorf("decode response: %w", err)
	}
	return nil
}

// closeBody reads a short remainder of the body before closing it, so that the
// connection can be reused.
func closeBody(resp *http.Response) {
	_, _ = io.CopyN(io.Discard, resp.Body, maxSmallResponseBytes)
	_ = resp.Body.Close()
}
