package platformlog

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// requestTimeout bounds one call to the log service.
const requestTimeout = 5 * time.Second

// maxAnswerBytes bounds the answer to one read.
const maxAnswerBytes = 64 << 20

// HTTPClient is a Log that speaks to the log service over HTTP.
type HTTPClient struct {
	base   string
	client *http.Client
}

// NewHTTPClient returns a client of the log service at base, for example
// "http://127.0.0.1:7000".
func NewHTTPClient(base string) *HTTPClient {
	return &HTTPClient{base: base, client: &http.Client{Timeout: requestTimeout}}
}

// BoundsAnswer is the answer to a bounds request.
type BoundsAnswer struct {
	First int64 `json:"first"`
	Next  int64 `json:"next"`
}

// AppendAnswer is the answer to an append.
type AppendAnswer struct {
	Offset int64 `json:"offset"`
}

// Append implements Log.
func (c *HTTPClient) Append(ctx context.Context, r Record) (int64, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return 0, fmt.Errorf("encode record: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(r.Stream, "records", nil), bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests {
		return 0, fmt.Errorf("%w: status %d", ErrUnavailable, resp.StatusCode)
	}
	if resp.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("%w: status %d", ErrUnknownOutcome, resp.StatusCode)
	}
	var a AppendAnswer
	if err := json.NewDecoder(resp.Body).Decode(&a); err != nil {
		return 0, fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	}
	return a.Offset, nil
}

// Read implements Log.
func (c *HTTPClient) Read(ctx context.Context, stream string, from int64, max int) ([]Entry, error) {
	q := url.Values{"from": {strconv.FormatInt(from, 10)}, "max": {strconv.Itoa(max)}}
	var out []Entry
	err := c.get(ctx, c.url(stream, "records", q), &out)
	var expired *ExpiredError
	if errors.As(err, &expired) {
		expired.From = from
	}
	return out, err
}

// Bounds implements Log.
func (c *HTTPClient) Bounds(ctx context.Context, stream string) (first, next int64, err error) {
	var a BoundsAnswer
	err = c.get(ctx, c.url(stream, "bounds", nil), &a)
	return a.First, a.Next, err
}

func (c *HTTPClient) url(stream, leaf string, q url.Values) string {
	u := c.base + "/streams/" + url.PathEscape(stream) + "/" + leaf
	if q != nil {
		u += "?" + q.Encode()
	}
	return u
}

func (c *HTTPClient) get(ctx context.Context, u string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return err
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer resp.Body.Close()
	body := io.LimitReader(resp.Body, maxAnswerBytes)
	switch resp.StatusCode {
	case http.StatusOK:
		if err := json.NewDecoder(body).Decode(out); err != nil {
			return fmt.Errorf("%w: decode answer: %w", ErrUnavailable, err)
		}
		return nil
	case http.StatusGone:
		var a BoundsAnswer
		if err := json.NewDecoder(body).Decode(&a); err != nil {
			return fmt.Errorf("%w: decode answer: %w", ErrUnavailable, err)
		}
		return &ExpiredError{First: a.First}
	default:
		return fmt.Errorf("%w: status %d", ErrUnavailable, resp.StatusCode)
	}
}
