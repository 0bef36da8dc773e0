package mesh

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"hyssopbridge/internal/testutil"
)

const longBody = 3*maxBuffered + 17

// longResponse writes a long response completely, or only its first part.
func longResponse(complete bool, chunked bool) func(w io.Writer, r *http.Request) bool {
	return func(w io.Writer, r *http.Request) bool {
		fmt.Fprintf(w, "HTTP/1.1 200 X\r\nX-Id: %s\r\nX-Sig: s\r\n", r.Header.Get("X-Id"))
		n := longBody
		if !complete {
			n = 2 * maxBuffered
		}
		body := strings.Repeat("b", n)
		if chunked {
			fmt.Fprintf(w, "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", n, body)
			if complete {
				_, _ = io.WriteString(w, "0\r\n\r\n")
			}
			return complete
		}
		fmt.Fprintf(w, "Content-Length: %d\r\n\r\n%s", longBody, body)
		return complete
	}
}

// Guards against long bodies that are lost or changed, against truncated ones
// that look complete, and against slots that are never released.
func TestLongBodies(t *testing.T) {
	g := startTarget(t, "t")
	host, entry := startPair(t, "1", g, nil)
	markTested(t, host, "first")
	for _, n := range []*Node{host, entry} {
		for _, chunked := range []bool{false, true} {
			g.setHandler(longResponse(true, chunked))
			got := send(t, n, "/file/1", "x")
			if got.status != 200 || got.err != nil || len(got.body) != longBody || strings.Trim(got.body, "b") != "" {
				t.Errorf("complete response, chunked %v: status %d, %d bytes, %v", chunked, got.status, len(got.body), got.err)
			}
			g.setHandler(longResponse(false, chunked))
			if got := send(t, n, "/file/1", "x"); got.err == nil && got.status == 200 {
				t.Errorf("truncated response, chunked %v: looks complete with %d bytes", chunked, len(got.body))
			}
			g.setHandler(respondOK)
			testutil.Eventually(t, "all slots are free and the target is no longer ejected", func() bool {
				_ = send(t, host, "/read/1", "r")
				s := host.gate.Status()
				return s.Running == 0 && !s.Ejected
			})
		}
	}
	sent := make(chan int, 1)
	g.setHandler(respondOK)
	g.setHandler(func(w io.Writer, r *http.Request) bool {
		sent <- int(r.ContentLength)
		return respondOK(w, r)
	})
	got := sendOrder(t, entry, "long", longBody)
	if got.err != nil {
		t.Fatal(got.err)
	}
	if n := <-sent; got.status != 200 || n != longBody {
		t.Errorf("long request: status %d, %d bytes", got.status, n)
	}
}
