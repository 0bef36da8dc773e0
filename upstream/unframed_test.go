package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// pipeBody returns a request body that has no end until the test ends.
func pipeBody(t *testing.T) io.Reader {
	pr, pw := io.Pipe()
	t.Cleanup(func() { pr.Close() })
	go func() {
		for {
			if _, err := pw.Write(make([]byte, bufferBytes)); err != nil {
				return
			}
		}
	}()
	return pr
}

// Guards against a body without a length that looks complete although the server
// reset the connection: a write of the request had taken the error of the reset.
func TestResetWhileSending(t *testing.T) {
	addr := serve(t, func(c net.Conn, br *bufio.Reader) {
		if _, err := http.ReadRequest(br); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
			time.Sleep(5 * time.Millisecond) // until the client waits for more and for room to write
			_ = c.(*net.TCPConn).SetLinger(0)
		}
	})
	for range 20 { // either goroutine of the client may meet the reset first
		resp, err := NewClient(Config{}).Do(t.Context(), addr, request(http.MethodPost, pipeBody(t)), Options{Stream: true})
		if err != nil {
			t.Fatal(err)
		}
		if b, err := io.ReadAll(resp.Body); err == nil {
			t.Fatalf("%q looks complete", b)
		}
	}
}

// Guards against a complete body without a length that is refused, or for which the
// caller waits beyond the context, because the request was sent slowly or not at all.
func TestUnframedBody(t *testing.T) {
	addr := serve(t, func(c net.Conn, br *bufio.Reader) {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nwhole")
		_ = c.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, r.Body)
	})
	for name, opt := range map[string]Options{"at once": {}, "streamed": {Stream: true}, "after 100": {ExpectContinue: true}} {
		resp, err := NewClient(Config{}).Do(t.Context(), addr, request(http.MethodPost, strings.NewReader(strings.Repeat("b", 4*bufferBytes))), opt)
		if err != nil {
			t.Fatal(err)
		}
		if b, err := io.ReadAll(resp.Body); err != nil || string(b) != "whole" {
			t.Errorf("%s: body %q, error %v", name, b, err)
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	resp, err := NewClient(Config{}).Do(ctx, addr, request(http.MethodPost, pipeBody(t)), Options{Stream: true})
	if err == nil {
		_, err = io.ReadAll(resp.Body)
	}
	if err == nil {
		t.Error("a body was accepted although the request was not sent to its end")
	}
}
