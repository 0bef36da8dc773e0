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

// serve accepts connections and runs the script on each.
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

// Guards against a request body that waits for ever for 100-continue when the
// server begins its final answer first.
func TestFinalAnswerReleasesBody(t *testing.T) {
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
		t.Errorf("answer %q, %v", b, err)
	}
}

// Guards against a body that is read although the server refused the request.
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
		t.Errorf("%d bytes of the body are left, want all", src.Len())
	}
}

// Guards against a request that is written twice when a kept connection turns
// out to be closed after the request was sent.
func TestNoRepeatAfterSend(t *testing.T) {
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
		t.Errorf("error %v, want one of stage Sent", err)
	}
	if n := len(served); n != 2 {
		t.Errorf("server got %d requests, want 2", n)
	}
}

// Guards against a claim "not sent" for a server that cannot be reached being
// lost, and against an unbounded header section.
func TestStages(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	var ue *Error
	_, err = NewClient(Config{}).Do(context.Background(), l.Addr().String(), request(http.MethodGet, nil), Options{})
	if !errors.As(err, &ue) || ue.Stage != NotSent {
		t.Errorf("error %v, want one of stage NotSent", err)
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
	if !errors.Is(err, errHeadTooLarge) {
		t.Errorf("error %v, want %v", err, errHeadTooLarge)
	}
}
