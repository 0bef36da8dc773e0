package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"
)

// serve starts a listener that runs script on each accepted connection, and
// returns its address.
func serve(t *testing.T, script func(net.Conn, *bufio.Reader)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				script(c, bufio.NewReader(c))
			}()
		}
	}()
	return l.Addr().String()
}

func request(method string, body io.Reader) *http.Request {
	req := &http.Request{Method: method, URL: &url.URL{Scheme: "http", Host: "t", Path: "/"}, Header: http.Header{}, Body: http.NoBody}
	if body != nil {
		req.Body, req.ContentLength = io.NopCloser(body), -1
		req.TransferEncoding = []string{"chunked"}
	}
	return req
}

// Guards against a request body that waits forever for a 100 response when the
// server begins its final response first.
func TestFinalResponseReleasesBody(t *testing.T) {
	addr := serve(t, func(c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		b, _ := io.ReadAll(req.Body)
		_, _ = io.WriteString(c, "4\r\n"+string(b)+"\r\n0\r\n\r\n")
	})
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	resp, err := NewClient(Config{}).Do(ctx, addr, request(http.MethodPost, strings.NewReader("body")), Options{ExpectContinue: true})
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if b, err := io.ReadAll(resp.Body); string(b) != "body" || err != nil {
		t.Errorf("response body %q, error %v", b, err)
	}
}

// Guards against reading the request body although the server refused the
// request.
func TestRefusalLeavesBodyUnread(t *testing.T) {
	addr := serve(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
		}
	})
	src := strings.NewReader("body")
	resp, err := NewClient(Config{}).Do(context.Background(), addr, request(http.MethodPost, src), Options{ExpectContinue: true})
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if src.Len() != len("body") {
		t.Errorf("%d bytes of the body are unread, want all", src.Len())
	}
}

// Guards against sending a request twice when the server closes a reused
// connection after it received the request.
func TestNoResendAfterSend(t *testing.T) {
	served := make(chan struct{}, 10)
	addr := serve(t, func(c net.Conn, r *bufio.Reader) {
		for i := range 2 {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			served <- struct{}{}
			if i == 0 {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			}
		}
	})
	client := NewClient(Config{})
	resp, err := client.Do(context.Background(), addr, request(http.MethodGet, nil), Options{})
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	_, err = client.Do(context.Background(), addr, request(http.MethodGet, nil), Options{})
	var ue *Error
	if !errors.As(err, &ue) || ue.Stage != Sent {
		t.Errorf("error %v, want an Error with stage Sent", err)
	}
	if n := len(served); n != 2 {
		t.Errorf("server got %d requests, want 2", n)
	}
}

// Guards against a failed connection attempt that is not reported as NotSent,
// and against an unbounded response header section.
func TestStages(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	var ue *Error
	_, err = NewClient(Config{}).Do(context.Background(), l.Addr().String(), request(http.MethodGet, nil), Options{})
	if !errors.As(err, &ue) || ue.Stage != NotSent {
		t.Errorf("error %v, want an Error with stage NotSent", err)
	}
	addr := serve(t, func(c net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n")
		for {
			if _, err := io.WriteString(c, "X: "+strings.Repeat("a", 1000)+"\r\n"); err != nil {
				return
			}
		}
	})
	_, err = NewClient(Config{}).Do(context.Background(), addr, request(http.MethodGet, nil), Options{})
	if !errors.Is(err, errHeaderTooLarge) {
		t.Errorf("error %v, want %v", err, errHeaderTooLarge)
	}
}

// Guards against a response that is cut at any place and looks whole.
func TestResponseCutAnywhere(t *testing.T) {
	for name, whole := range map[string]string{
		"with a length":    "HTTP/1.1 200 OK\r\nContent-Length: 10\r\nKeep-Alive: timeout=5\r\n\r\nwhole body",
		"in chunks":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n5\r\n body\r\n0\r\n",
		"without a length": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", // its body ends with the connection
		"after a 1xx":      "HTTP/1.1 103 Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nwhole body",
		"bare line feeds":  "HTTP/1.1 200 OK\nContent-Length: 10\n\nwhole body",
	} {
		for cut := range len(whole) {
			addr := serve(t, func(c net.Conn, r *bufio.Reader) {
				if _, err := http.ReadRequest(r); err == nil {
					_, _ = io.WriteString(c, whole[:cut])
				}
			})
			resp, err := NewClient(Config{}).Do(context.Background(), addr, request(http.MethodGet, nil), Options{})
			if err != nil {
				continue
			}
			b, err := io.ReadAll(resp.Body)
			if err == nil {
				t.Errorf("%s, cut after %d bytes: status %d with body %q", name, cut, resp.StatusCode, b)
			}
		}
	}
}
