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

// requestTimeout bounds one call to the log service.
const requestTimeout = 5 * time.Second

// Bounds of answers. A read of many large records is cut by the service, not
// by the client.
const (
	maxReadAnswerBytes  = 64 << 20
	maxSmallAnswerBytes = 4 << 10
)

// HTTPClient is a Log that speaks to the log service over HTTP.
type HTTPClient struct {
	base   string
	client *http.Client
}

// NewHTTPClient returns a client of the log service at base, for example
// "http://127.0.0.1:7000".
func NewHTTPClient(base string) *HTTPClient {
	client := &http.Client{
		Timeout: requestTimeout,
		// A redirected append would be sent again to another server.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return &HTTPClient{base: strings.TrimSuffix(base, "/"), client: client}
}

// BoundsResponse is the answer to a bounds request.
type BoundsResponse struct {
	First int64 `json:"first"`
	Next  int64 `json:"next"`
}

// AppendResponse is the answer to an append.
type AppendResponse struct {
	Offset int64 `json:"offset"`
}

// Append implements Log. It returns ErrUnavailable only if the record was
// certainly not appended: the service said so or could not be connected to.
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
		return 0, appendError(err)
	}
	defer closeBody(resp)
	return appendAnswer(resp)
}

// appendError tells a failed dial, after which nothing was sent, from any
// other failure.
func appendError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
}

func appendAnswer(resp *http.Response) (int64, error) {
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusBadRequest,
		http.StatusNotFound, http.StatusRequestEntityTooLarge:
		return 0, fmt.Errorf("%w: status %d", ErrUnavailable, resp.StatusCode)
	default:
		return 0, fmt.Errorf("%w: status %d", ErrUnknownOutcome, resp.StatusCode)
	}
	var a AppendResponse
	if err := decodeAnswer(resp, maxSmallAnswerBytes, &a); err != nil {
		return 0, fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	}
	if a.Offset < 1 {
		return 0, fmt.Errorf("%w: offset %d in answer", ErrUnknownOutcome, a.Offset)
	}
	return a.Offset, nil
}

// Read implements Log.
func (c *HTTPClient) Read(ctx context.Context, stream string, from int64, max int) ([]Entry, error) {
	q := url.Values{"from": {strconv.FormatInt(from, 10)}, "max": {strconv.Itoa(max)}}
	var out []Entry
	err := c.get(ctx, c.url(stream, "records", q), maxReadAnswerBytes, &out)
	var expired *ExpiredError
	if errors.As(err, &expired) {
		expired.From = from
	}
	if err != nil {
		return nil, err
	}
	return out, checkOrder(out, from, max)
}

// checkOrder reports an answer that is not a run of ascending offsets.
func checkOrder(entries []Entry, from int64, max int) error {
	if len(entries) > max {
		return fmt.Errorf("%w: %d entries in answer, asked for %d", ErrUnavailable, len(entries), max)
	}
	for i := range entries {
		if entries[i].Offset < from {
			return fmt.Errorf("%w: offset %d in answer, want at least %d", ErrUnavailable, entries[i].Offset, from)
		}
		from = entries[i].Offset + 1
	}
	return nil
}

// Bounds implements Log.
func (c *HTTPClient) Bounds(ctx context.Context, stream string) (first, next int64, err error) {
	var a BoundsResponse
	err = c.get(ctx, c.url(stream, "bounds", nil), maxSmallAnswerBytes, &a)
	return a.First, a.Next, err
}

func (c *HTTPClient) url(stream, leaf string, q url.Values) string {
	u := c.base + "/streams/" + url.PathEscape(stream) + "/" + leaf
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
		if err := decodeAnswer(resp, limit, out); err != nil {
			return fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
		return nil
	case http.StatusGone:
		var a BoundsResponse
		if err := decodeAnswer(resp, maxSmallAnswerBytes, &a); err != nil {
			return fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
		return &ExpiredError{First: a.First}
	default:
		return fmt.Errorf("%w: status %d", ErrUnavailable, resp.StatusCode)
	}
}

// decodeAnswer decodes an answer of at most limit bytes.
func decodeAnswer(resp *http.Response, limit int64, out any) error {
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	if int64(len(body)) > limit {
		return fmt.Errorf("answer exceeds %d bytes", limit)
	}
	if err := json.Unmarshal(body, out); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}
	return nil
}

// closeBody reads a short rest, so that the connection can be used again.
func closeBody(resp *http.Response) {
	_, _ = io.CopyN(io.Discard, resp.Body, maxSmallAnswerBytes)
	_ = resp.Body.Close()
}
