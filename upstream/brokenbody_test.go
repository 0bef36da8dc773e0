package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// brokenBody is a request body that fails after its text once fail is closed.
type brokenBody struct {
	text io.Reader
	fail chan struct{}
}

var errBroken = errors.New("body is broken")

func (b *brokenBody) Read(p []byte) (int, error) {
	n, err := b.text.Read(p)
	if err == io.EOF {
		<-b.fail
		err = errBroken
	}
	return n, err
}

// Guards against a server that waits until the deadline for the rest of a
// request whose body has failed, before or while it responds.
func TestBrokenBodyEndsExchange(t *testing.T) {
	for name, early := range map[string]string{
		"no response":      "",
		"response started": "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\npart",
	} {
		t.Run(name, func(t *testing.T) {
			body := &brokenBody{strings.NewReader(strings.Repeat("t", 4*bufferBytes)), make(chan struct{})}
			ended := make(chan struct{})
			addr := serve(t, func(c net.Conn, br *bufio.Reader) {
				defer close(ended)
				r, err := http.ReadRequest(br)
				if err != nil {
					t.Error(err)
					return
				}
				_, _ = io.WriteString(c, early)
				_, _ = io.CopyN(io.Discard, r.Body, bufferBytes)
				close(body.fail)
				if _, err := io.Copy(io.Discard, r.Body); err == nil {
					t.Error("the body looks complete")
				}
			})
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			resp, err := NewClient(Config{}).Do(ctx, addr, request(http.MethodPost, body), Options{Stream: true})
			if err == nil {
				_, err = io.ReadAll(resp.Body)
			} else if stage := stageOf(t, err); stage != Sent || !strings.Contains(err.Error(), errBroken.Error()) {
				t.Errorf("stage %d, error %v; want stage %d, %v", stage, err, Sent, errBroken)
			}
			if err == nil || ctx.Err() != nil {
				t.Errorf("error %v, context %v; want an error before the context ends", err, ctx.Err())
			}
			select {
			case <-ended:
			case <-ctx.Done():
				t.Error("the connection stayed open")
			}
		})
	}
}

// Guards against the loss of a response that a server sends before it closes the
// connection without reading the body.
func TestResponseBeforeResetOfBody(t *testing.T) {
	addr := serve(t, func(c net.Conn, br *bufio.Reader) {
		if _, err := http.ReadRequest(br); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
			_ = c.(*net.TCPConn).CloseWrite()
			time.Sleep(50 * time.Millisecond) // until the response has been received
		}
	})
	pr, pw := io.Pipe()
	go func() {
		for {
			if _, err := pw.Write(make([]byte, bufferBytes)); err != nil {
				return
			}
		}
	}()
	defer pr.Close()
	resp, err := NewClient(Config{}).Do(t.Context(), addr, request(http.MethodPost, pr), Options{Stream: true})
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("status %d, want 503", resp.StatusCode)
	}
}
