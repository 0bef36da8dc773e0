package proxy

import (
	"bufio"
	"bytes"
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"hyssopbridge/fleet"
	"hyssopbridge/resultcode"
)

// Guards against a response that ended early but looks complete to the caller.
func TestTruncatedResponseIsAborted(t *testing.T) {
	tests := map[string]http.HandlerFunc{
		"length": func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Length", "1000")
			_, _ = io.WriteString(w, "short")
		},
		"chunked": func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.WriteString(w, "short")
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		},
	}
	for name, target := range tests {
		for _, path := range []string{"/read/1", "/order/1", "/load/1"} {
			t.Run(name+path, func(t *testing.T) {
				f := newFixture(t, target)
				resp, body, err := f.do(http.MethodPost, path, nil)
				if err == nil {
					t.Errorf("status %d, body %q: response is complete, want an aborted one", resp.StatusCode, body)
				}
				if r := <-f.results; r.Code != resultcode.Truncated {
					t.Errorf("result %v, want truncated", r.Code)
				}
			})
		}
	}
}

// Guards against a response whose end cannot be distinguished from a broken
// connection.
func TestResponseWithoutLengthIsRefused(t *testing.T) {
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		conn, buf, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = buf.WriteString("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nsome bytes")
		_ = buf.Flush()
		conn.Close()
	})
	resp, _, err := f.do(http.MethodPost, "/order/1", nil)
	if err != nil || resp.Header.Get(HeaderResult) != resultcode.Truncated.String() {
		t.Errorf("response %v, error %v, want code truncated", resp, err)
	}
}

// Guards against a non-idempotent request whose response is lost and that is
// then resent, or reported as not run.
func TestLostResponseRunsOnce(t *testing.T) {
	var runs atomic.Int64
	target := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		runs.Add(1)
		closeConnection(w)
	}
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		runs.Store(0)
		f := newFixture(t, target, target, target)
		resp, _, err := f.do(method, "/order/1", strings.NewReader("x"))
		if err != nil {
			t.Fatal(err)
		}
		if n := runs.Load(); n != 1 {
			t.Errorf("%s: ran %d times, want once", method, n)
		}
		if ran := resp.Header.Get(HeaderRan); ran != "unknown" {
			t.Errorf("%s: Hb-Ran %q, want unknown", method, ran)
		}
	}
}

// loseHostNode replaces the host node of s-0 by one that accepts a request and
// closes the connection without a response.
func (f *fixture) loseHostNode(others ...string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Read(make([]byte, 1))
			conn.Close()
		}
	}()
	snapshot := f.balancer.Snapshot("s")
	lost, _ := snapshot.Endpoint("s-0")
	lost.Node.PeerAddr = l.Addr().String()
	endpoints := []fleet.Endpoint{lost}
	for _, id := range others {
		e, _ := snapshot.Endpoint(id)
		endpoints = append(endpoints, e)
	}
	f.balancer.Update(f.clock(), "s", 1, endpoints, nil)
}

// Guards against a request reported as not run although its host node is lost
// and cannot prove that it never sent the request to the target.
func TestLostHostNodeIsUnknown(t *testing.T) {
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {})
	f.loseHostNode()
	f.admissions.unreachable = true
	resp, _, err := f.do(http.MethodPost, "/order/1", strings.NewReader("x"))
	if err != nil {
		t.Fatal(err)
	}
	if ran := resp.Header.Get(HeaderRan); ran != "unknown" {
		t.Errorf("Hb-Ran %q, want unknown", ran)
	}
}

// Guards against a non-idempotent request that fails although its host node
// proves that it never sent the request, so that a retry elsewhere is safe.
func TestSettledRequestIsRetriedElsewhere(t *testing.T) {
	var runs atomic.Int64
	target := func(w http.ResponseWriter, r *http.Request) { runs.Add(1) }
	f := newFixture(t, target, target)
	f.loseHostNode("s-1")
	for range 10 {
		resp, _, err := f.do(http.MethodPost, "/order/1", strings.NewReader("x"))
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("response %v, error %v", resp, err)
		}
	}
	if n := runs.Load(); n != 10 {
		t.Errorf("10 requests ran %d times", n)
	}
}

// Guards against a request that the HTTP library resends by itself when the
// target closes a kept-alive connection, in particular with an Idempotency-Key.
func TestReusedConnectionDoesNotResend(t *testing.T) {
	var runs atomic.Int64
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if strings.HasPrefix(r.URL.Path, "/order/") {
			runs.Add(1)
			closeConnection(w)
		}
	})
	if _, _, err := f.do(http.MethodGet, "/read/1", nil); err != nil {
		t.Fatal(err)
	}
	req, _ := http.NewRequest(http.MethodPost, f.entry.URL+"/order/1", strings.NewReader("x"))
	req.Header.Set("Idempotency-Key", "k1")
	req.GetBody = nil
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if n := runs.Load(); n != 1 {
		t.Errorf("ran %d times, want once", n)
	}
}

// Guards against a failure of one target that is passed to the caller of an
// idempotent request although another target could serve it.
func TestIdempotentIsRetriedElsewhere(t *testing.T) {
	bad := map[string]http.HandlerFunc{
		"killed": func(w http.ResponseWriter, r *http.Request) { closeConnection(w) },
		"500":    func(w http.ResponseWriter, r *http.Request) { w.WriteHeader(http.StatusInternalServerError) },
		"shed": func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		},
	}
	good := func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		fmt.Fprintf(w, "good %s", b)
	}
	for name, h := range bad {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, h, good)
			for i := range 10 {
				_, body, err := f.do(http.MethodPost, "/read/1", strings.NewReader("payload"))
				if err != nil || body != "good payload" {
					t.Fatalf("request %d: %q, %v", i, body, err)
				}
			}
		})
	}
}

// Guards against retries after the retry budget is used up.
func TestRetryBudget(t *testing.T) {
	var served atomic.Int64
	bad := func(w http.ResponseWriter, r *http.Request) { served.Add(1); closeConnection(w) }
	f := newFixture(t, bad, bad, bad)
	f.budget.retries = 1
	for range 2 {
		_, _, _ = f.do(http.MethodGet, "/read/1", nil)
	}
	if n := served.Load(); n != 3 {
		t.Errorf("targets got %d requests, want 2 requests and 1 retry", n)
	}
}

// Guards against the response to another request reaching the caller.
func TestMismatchedResponseIsDropped(t *testing.T) {
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(RequestIDHeader, "someone-else")
		_, _ = io.WriteString(w, "secret of someone else")
	})
	resp, body, err := f.do(http.MethodPost, "/order/1", nil)
	if err != nil {
		t.Fatal(err)
	}
	if strings.Contains(body, "secret") || resp.Header.Get(HeaderResult) != resultcode.AnswerMismatch.String() {
		t.Errorf("result %q, body %q", resp.Header.Get(HeaderResult), body)
	}
}

// Guards against a late response on a kept-alive connection that is taken for
// the response to the next request.
func TestLateResponseIsDropped(t *testing.T) {
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		conn, buf, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		one := "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n"
		fmt.Fprintf(buf, "%sown%sbad", one, one)
		_ = buf.Flush()
		time.Sleep(100 * time.Millisecond)
		conn.Close()
	})
	for i := range 5 {
		_, body, err := f.do(http.MethodGet, "/read/1", nil)
		if err != nil || body != "own" {
			t.Fatalf("request %d: %q, %v", i, body, err)
		}
	}
}

func randomContent(n int) []byte {
	b := make([]byte, n)
	_, _ = rand.Read(b)
	return b
}

// Guards against an interrupted download that fails although another target has
// the rest, and against wrong bytes where the two parts meet.
func TestDownloadResumes(t *testing.T) {
	content := randomContent(300 << 10)
	serve := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Etag", `"v1"`)
		http.ServeContent(w, r, "", time.Time{}, bytes.NewReader(content))
	}
	breaks := map[string]func(w http.ResponseWriter, r *http.Request){
		"cut": func(w http.ResponseWriter, r *http.Request) { panic(http.ErrAbortHandler) },
		"stalled": func(w http.ResponseWriter, r *http.Request) {
			select {
			case <-r.Context().Done():
			case <-time.After(5 * time.Second):
			}
		},
	}
	for name, breakOff := range breaks {
		for _, requested := range []string{"", "bytes=100-250000"} {
			t.Run(name+requested, func(t *testing.T) {
				var interrupted atomic.Bool
				firstPart := func(w http.ResponseWriter, r *http.Request) {
					if interrupted.Swap(true) {
						serve(w, r)
						return
					}
					w.Header().Set("Etag", `"v1"`)
					first, last := 0, len(content)-1
					if requested != "" {
						_, _ = fmt.Sscanf(r.Header.Get("Range"), "bytes=%d-%d", &first, &last)
						w.Header().Set("Content-Range", fmt.Sprintf("bytes %d-%d/%d", first, last, len(content)))
					}
					w.Header().Set("Content-Length", fmt.Sprint(last-first+1))
					if requested != "" {
						w.WriteHeader(http.StatusPartialContent)
					}
					_, _ = w.Write(content[first : first+100<<10])
					w.(http.Flusher).Flush()
					breakOff(w, r)
				}
				f := newFixture(t, firstPart, firstPart)
				req, _ := http.NewRequest(http.MethodGet, f.entry.URL+"/load/1", nil)
				want := content
				if requested != "" {
					req.Header.Set("Range", requested)
					want = content[100:250001]
				}
				resp, err := http.DefaultTransport.RoundTrip(req)
				if err != nil {
					t.Fatal(err)
				}
				defer resp.Body.Close()
				got, err := io.ReadAll(resp.Body)
				if err != nil || !bytes.Equal(got, want) {
					t.Errorf("%d bytes, want %d; error %v", len(got), len(want), err)
				}
			})
		}
	}
}

// Guards against a download that combines two versions of the content.
func TestDownloadDoesNotMixVersions(t *testing.T) {
	var n atomic.Int64
	content := randomContent(200 << 10)
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		v := n.Add(1)
		w.Header().Set("Etag", fmt.Sprintf(`"v%d"`, v))
		if v == 1 {
			w.Header().Set("Content-Length", fmt.Sprint(len(content)))
			_, _ = w.Write(content[:100<<10])
			panic(http.ErrAbortHandler)
		}
		http.ServeContent(w, r, "", time.Time{}, bytes.NewReader(content))
	}, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Etag", `"other"`)
		http.ServeContent(w, r, "", time.Time{}, bytes.NewReader(randomContent(200<<10)))
	})
	for range 6 {
		n.Store(0)
		_, got, err := f.do(http.MethodGet, "/load/1", nil)
		if err == nil && len(got) != len(content) {
			t.Errorf("download ended without an error after %d of %d bytes", len(got), len(content))
		}
		if err == nil && n.Load() > 0 {
			t.Errorf("download ended without an error although no target has the rest of its version")
		}
	}
}

// Guards against a response that is held back until the request body has ended,
// and against lost chunks and trailers.
func TestStreamingBothWays(t *testing.T) {
	for _, proto := range []string{"HTTP/1.1", "HTTP/2"} {
		t.Run(proto, func(t *testing.T) { streamBothWays(t, proto == "HTTP/2") })
	}
}

func streamBothWays(t *testing.T, h2 bool) {
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).EnableFullDuplex()
		w.Header().Set("Trailer", "Checksum")
		w.WriteHeader(http.StatusOK)
		w.(http.Flusher).Flush()
		scan := bufio.NewScanner(r.Body)
		for scan.Scan() {
			fmt.Fprintf(w, "echo %s\n", scan.Text())
			w.(http.Flusher).Flush()
		}
		w.Header().Set("Checksum", "c1")
	})
	pr, pw := io.Pipe()
	defer pw.Close()
	req, _ := http.NewRequest(http.MethodPost, f.entry.URL+"/order/1", pr)
	tr := &http.Transport{Protocols: new(http.Protocols)}
	tr.Protocols.SetUnencryptedHTTP2(h2)
	tr.Protocols.SetHTTP1(!h2)
	defer tr.CloseIdleConnections()
	resp, err := tr.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	lines := bufio.NewReader(resp.Body)
	for i := range 3 {
		fmt.Fprintf(pw, "line %d\n", i)
		got, err := lines.ReadString('\n')
		if want := fmt.Sprintf("echo line %d\n", i); got != want || err != nil {
			t.Fatalf("got %q, %v, want %q; result %+v", got, err, want, <-f.results)
		}
	}
	pw.Close()
	if _, err := io.ReadAll(lines); err != nil {
		t.Fatal(err)
	}
	if got := resp.Trailer.Get("Checksum"); got != "c1" {
		t.Errorf("trailer %q", got)
	}
}

// Guards against a large request body that does not reach the target because a
// 100-continue is lost. Entry sends a streamed body only after the host node's
// 100-continue: a body that was read cannot be sent to another target.
func TestLargeBodyWithContinue(t *testing.T) {
	content := randomContent(900 << 10)
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		b, err := io.ReadAll(r.Body)
		if err != nil || !bytes.Equal(b, content) {
			w.WriteHeader(http.StatusTeapot)
		}
	})
	req, _ := http.NewRequest(http.MethodPost, f.entry.URL+"/order/1", bytes.NewReader(content))
	req.Header.Set("Expect", "100-continue")
	tr := &http.Transport{ExpectContinueTimeout: 10 * time.Second}
	defer tr.CloseIdleConnections()
	resp, err := tr.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Errorf("status %d, want 200", resp.StatusCode)
	}
}

// Guards against internal or hop-by-hop headers of a caller that reach a target,
// and those of a target that reach a caller.
func TestHeadersAreStripped(t *testing.T) {
	seen := make(chan http.Header, 1)
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		seen <- r.Header.Clone()
		w.Header().Set("Connection", "X-Private")
		w.Header().Set("X-Private", "1")
		w.Header().Set("Hb-Ran", "no")
	})
	req, _ := http.NewRequest(http.MethodGet, f.entry.URL+"/read/1", nil)
	req.Header.Set("Hb-Target", "s-9;1")
	req.Header.Set("Connection", "X-Hop, close")
	req.Header.Set("X-Hop", "1")
	req.Header.Set("X-Kept", "1")
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	got := <-seen
	for name := range got {
		if strings.HasPrefix(name, HeaderPrefix) || name == "X-Hop" {
			t.Errorf("target got header %s", name)
		}
	}
	if got.Get("X-Kept") != "1" || got.Get(TimeoutHeader) == "" || got.Get(RequestIDHeader) == "" {
		t.Errorf("target got %v", got)
	}
	if resp.Header.Get("X-Private") != "" || resp.Header.Get(HeaderRan) != "" || resp.Header.Get(HeaderTarget) != "" {
		t.Errorf("caller got %v", resp.Header)
	}
}

// Guards against a target that keeps working after the caller disconnected or
// the deadline passed.
func TestCancellationReachesTarget(t *testing.T) {
	for _, name := range []string{"caller", "deadline"} {
		t.Run(name, func(t *testing.T) {
			begun, ended := make(chan struct{}), make(chan struct{})
			f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
				// net/http detects a closed connection only after the body was read.
				_, _ = io.Copy(io.Discard, r.Body)
				close(begun)
				<-r.Context().Done()
				close(ended)
			})
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			req, _ := http.NewRequestWithContext(ctx, http.MethodPost, f.entry.URL+"/order/1", strings.NewReader("body"))
			if name == "deadline" {
				req.Header.Set(TimeoutHeader, "100")
			}
			go func() {
				<-begun
				if name == "caller" {
					cancel()
				}
			}()
			resp, err := http.DefaultTransport.RoundTrip(req)
			if err == nil {
				if resp.Header.Get(HeaderResult) != resultcode.Timeout.String() {
					t.Errorf("result %q", resp.Header.Get(HeaderResult))
				}
				resp.Body.Close()
			}
			select {
			case <-ended:
			case <-time.After(10 * time.Second):
				t.Error("the target's request was not cancelled")
			}
		})
	}
}

// Guards against an unknown outcome when the connection to the host node could
// not be made, which proves that the request did not run.
func TestUnreachableHostIsNotRun(t *testing.T) {
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	ep, _ := f.balancer.Snapshot("s").Endpoint("s-0")
	ep.Node.PeerAddr = l.Addr().String()
	f.balancer.Update(f.clock(), "s", 1, []fleet.Endpoint{ep}, nil)
	resp, _, err := f.do(http.MethodPost, "/order/1", nil)
	if err != nil || resp.Header.Get(HeaderRan) != "no" {
		t.Errorf("response %v, error %v", resp, err)
	}
}
