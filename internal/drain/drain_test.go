package drain

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const stopTimeout = 10 * time.Second

func start(t *testing.T, h http.Handler) (*Listener, *Server, <-chan struct{}) {
	t.Helper()
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(&http.Server{Handler: h})
	ended := make(chan struct{})
	go func() {
		_ = s.Serve(l)
		close(ended)
	}()
	t.Cleanup(func() { s.Close() })
	return l, s, ended
}

func stop(t *testing.T, l *Listener, s *Server, ended <-chan struct{}) {
	t.Helper()
	if err := l.Drain(); err != nil {
		t.Error(err)
	}
	<-ended
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := s.Stop(ctx); err != nil {
		t.Error(err)
	}
}

// Guards against connections that are closed without a response when a server
// stops under constant load: connections that are still in the accept queue, and
// connections whose first request is read after the stop began.
func TestStopServesEveryConnection(t *testing.T) {
	for round := range 10 {
		l, s, ended := start(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, "ok") }))
		var dropped, served atomic.Int64
		stopped := make(chan struct{})
		var callers sync.WaitGroup
		for range 16 {
			callers.Go(func() {
				for {
					select {
					case <-stopped:
						return
					default:
					}
					c, err := net.DialTimeout("tcp4", l.Addr().String(), 50*time.Millisecond)
					if err != nil {
						continue // refused: no request was sent
					}
					fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
					b, err := io.ReadAll(c)
					c.Close()
					if err != nil || !strings.HasPrefix(string(b), "HTTP/1.1 200") {
						dropped.Add(1)
					} else {
						served.Add(1)
					}
				}
			})
		}
		for served.Load() < 50 {
			time.Sleep(time.Millisecond)
		}
		stop(t, l, s, ended)
		close(stopped)
		callers.Wait()
		if n := dropped.Load(); n > 0 {
			t.Errorf("round %d: %d connections closed without a response, %d served", round, n, served.Load())
		}
	}
}

// Guards against a stop that aborts a request in flight, that waits for
// connections without a complete request, or that keeps connections open for
// further requests.
func TestStopWaitsForRequestsOnly(t *testing.T) {
	began, finish := make(chan struct{}), make(chan struct{})
	l, s, ended := start(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			close(began)
			<-finish
		}
		io.WriteString(w, "ok")
	}))
	dial := func(text string) net.Conn {
		c, err := net.Dial("tcp4", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		io.WriteString(c, text)
		return c
	}
	idle := dial("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	if _, err := idle.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	dial("")                // sends nothing
	dial("GET / HTTP/1.1 ") // sends an incomplete request header
	slow := dial("GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
	<-began
	done := make(chan struct{})
	go func() {
		stop(t, l, s, ended)
		close(done)
	}()
	if b, err := io.ReadAll(idle); err != nil {
		t.Errorf("idle connection: %q, %v", b, err)
	}
	select {
	case <-done:
		t.Error("Stop returned before the request in flight completed")
	default:
	}
	close(finish)
	b, err := io.ReadAll(slow)
	if err != nil || !strings.Contains(string(b), "Connection: close") || !strings.HasSuffix(string(b), "ok") {
		t.Errorf("slow request: %q, %v", b, err)
	}
	<-done
}

// Guards against a stop that ignores the end of its context.
func TestStopEndsWithContext(t *testing.T) {
	began, finish := make(chan struct{}), make(chan struct{})
	l, s, ended := start(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(began)
		<-finish
	}))
	defer close(finish)
	c, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	<-began
	if err := l.Drain(); err != nil {
		t.Error(err)
	}
	<-ended
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := s.Stop(ctx); err != context.Canceled {
		t.Errorf("error %v, want %v", err, context.Canceled)
	}
}
