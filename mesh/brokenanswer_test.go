package mesh

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"hyssopbridge/upstream"
)

// uploads are bodies that a node reads to their end before it sends them, or sends
// while it receives them.
var uploads = map[string]struct {
	length  int
	chunked bool
}{
	"small body": {2 << 10, false}, "sent at once": {900 << 10, false}, "streamed": {3 << 20, false}, "streamed in chunks": {3 << 20, true},
}

// sendUpload sends an order with a body and returns the response with its whole
// body. The error is that of reading it.
func sendUpload(t *testing.T, entry *Node, length int, chunked bool) (status int, body string, err error) {
	t.Helper()
	c := dialCaller(t, entry)
	defer c.Close()
	text := strings.Repeat("b", length)
	head := orderHead("upload", fmt.Sprint("Content-Length: ", length))
	if chunked {
		head, text = orderHead("upload", "Transfer-Encoding: chunked"), fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", length, text)
	}
	go func() { _, _ = io.WriteString(c, head+"\r\n"+text) }()
	_ = c.SetReadDeadline(time.Now().Add(waitLimit))
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, "", err
	}
	b, err := io.ReadAll(r.Body)
	return r.StatusCode, string(b), err
}

// dialWithSmallBuffer opens a connection on which writes wait for the reader: on
// loopback the kernel takes megabytes otherwise.
func dialWithSmallBuffer(ctx context.Context, addr string) (net.Conn, error) {
	c, err := dialTarget(ctx, addr)
	if err == nil {
		err = c.(*net.TCPConn).SetWriteBuffer(16 << 10)
	}
	return c, err
}

// Guards against a part of a response that counts as the whole one: a target
// answered an upload at once, without a length, and reset the connection while it
// was still being written. The failed write took the error of the reset, so that
// the next read met what looked like an orderly end.
func TestResetDuringUpload(t *testing.T) {
	for _, path := range orderPaths {
		for name, upload := range uploads {
			t.Run(path+", "+name, func(t *testing.T) {
				t.Parallel()
				addr := listen(t, "127.0.0.1:0", func(c net.Conn) {
					_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
					go serveRequests(c, func(_ *bufio.Reader, r *http.Request) bool {
						if r.Method == http.MethodGet {
							return respondOK(c, r)
						}
						fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Sig: s\r\n\r\npart", r.Header.Get("X-Id"))
						time.Sleep(20 * time.Millisecond) // until the node waits for more of the response and for room to write
						_ = c.(*net.TCPConn).SetLinger(0)
						return false
					})
				}).Addr().String()
				entry, host := startPath(t, path, addr)
				host.hostNode.client = upstream.NewClient(upstream.Config{Dial: dialWithSmallBuffer})
				for range 3 { // either goroutine of the node may meet the reset first
					status, body, err := sendUpload(t, entry, upload.length, upload.chunked)
					if status == http.StatusOK && err == nil {
						t.Fatalf("the caller got status 200 and %q as the whole response", body)
					}
				}
			})
		}
	}
}

// Guards against the loss of a whole response without a length that a target begins
// before it has read the upload.
func TestUnframedAnswerToUpload(t *testing.T) {
	for _, path := range orderPaths {
		for name, upload := range uploads {
			t.Run(path+", "+name, func(t *testing.T) {
				t.Parallel()
				orders := startHeadTarget(t, func(c *net.TCPConn, _ *bufio.Reader, r *http.Request) {
					fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Sig: s\r\n\r\nwho", r.Header.Get("X-Id"))
					_, _ = io.Copy(io.Discard, r.Body)
					_, _ = io.WriteString(c, "le")
					c.Close()
				})
				entry, _ := startPath(t, path, orders.addr)
				if status, body, err := sendUpload(t, entry, upload.length, upload.chunked); status != http.StatusOK || body != "whole" || err != nil {
					t.Errorf("status %d, body %q, error %v", status, body, err)
				}
			})
		}
	}
}

// Guards against an invalid response of a target that reaches the caller, with a
// status or field that HTTP/1 does not allow or with another body than the target's.
// The tests of package upstream cover more of them.
func TestInvalidAnswers(t *testing.T) {
	const valid = "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Sig: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"
	invalid := func(old, text string) string { return strings.Replace(valid, old, text, 1) + "\r\n" }
	for name, test := range map[string]struct {
		text   string
		status int
	}{
		"valid":              {valid + "X-Other: o\r\n\r\n", http.StatusOK},
		"status 000":         {invalid("200", "000"), http.StatusBadGateway},
		"status 600":         {invalid("200", "600"), http.StatusBadGateway},
		"blank before colon": {invalid("X-Sig: s", "X-Sig: s\r\nX-Other : o"), http.StatusBadGateway},
		"blank before name":  {invalid("X-Sig: s", "X-Sig: s\r\n X-Other: o"), http.StatusBadGateway},
		"blank after coding": {invalid("Encoding:", "Encoding :"), http.StatusBadGateway},
		"control byte":       {invalid("X-Sig: s", "X-Sig: s\r\nX\x01Other: o"), http.StatusBadGateway},
		"blank in trailer":   {valid + "X-Other : o\r\n\r\n", http.StatusBadGateway},
	} {
		for _, path := range orderPaths {
			for _, upload := range []string{"small body", "streamed"} {
				t.Run(strings.Join([]string{name, path, upload}, ", "), func(t *testing.T) {
					t.Parallel()
					orders := startHeadTarget(t, func(c *net.TCPConn, _ *bufio.Reader, r *http.Request) {
						_, _ = io.Copy(io.Discard, r.Body)
						fmt.Fprintf(c, test.text, r.Header.Get("X-Id"))
						c.Close()
					})
					entry, _ := startPath(t, path, orders.addr)
					status, body, err := sendUpload(t, entry, uploads[upload].length, false)
					if status != test.status || err != nil || status == http.StatusOK && body != "body" {
						t.Errorf("the caller got status %d, body %q, error %v; want status %d", status, body, err, test.status)
					}
				})
			}
		}
	}
}

// Guards against a response that ends early and looks complete to a caller of
// HTTP/1.0, for which only the end of the connection ends a body without a length.
func TestResponseCutForHTTP10(t *testing.T) {
	for _, path := range orderPaths {
		t.Run(path, func(t *testing.T) {
			for _, whole := range []bool{true, false} {
				orders := startHeadTarget(t, func(c *net.TCPConn, _ *bufio.Reader, r *http.Request) {
					fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Sig: s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", r.Header.Get("X-Id"), 2*maxBuffered, make([]byte, 2*maxBuffered))
					if whole {
						_, _ = io.WriteString(c, "0\r\n\r\n")
					}
					c.Close()
				})
				entry, _ := startPath(t, path, orders.addr)
				c := dialCaller(t, entry)
				_ = c.SetReadDeadline(time.Now().Add(waitLimit))
				fmt.Fprint(c, "POST /order/1 HTTP/1.0\r\nHost: h.example\r\nX-Id: x\r\nContent-Length: 0\r\n\r\n")
				r, err := http.ReadResponse(bufio.NewReader(c), nil)
				if err != nil {
					t.Fatal(err)
				}
				n, err := io.Copy(io.Discard, r.Body)
				if (err == nil) != whole || r.StatusCode != http.StatusOK || whole && n != 2*maxBuffered {
					t.Errorf("status %d, %d bytes, error %v; the response is whole: %v", r.StatusCode, n, err, whole)
				}
			}
		})
	}
}
