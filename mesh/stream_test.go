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

// longAnswer writes a long answer whole, or only its first part.
func longAnswer(whole bool, chunked bool) func(w io.Writer, r *http.Request) bool {
	return func(w io.Writer, r *http.Request) bool {
		fmt.Fprintf(w, "HTTP/1.1 200 X\r\nX-Id: %s\r\nX-Sig: s\r\n", r.Header.Get("X-Id"))
		n := longBody
		if !whole {
			n = 2 * maxBuffered
		}
		body := strings.Repeat("b", n)
		if chunked {
			fmt.Fprintf(w, "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", n, body)
			if whole {
				_, _ = io.WriteString(w, "0\r\n\r\n")
			}
			return whole
		}
		fmt.Fprintf(w, "Content-Length: %d\r\n\r\n%s", longBody, body)
		return whole
	}
}

// Guards against bodies too long to be held that are lost, changed or look
// complete although they broke off, and against slots that they keep.
func TestLongBodies(t *testing.T) {
	g := startTarget(t, "t")
	host, entry := startNode(t, g), startNode(t, nil)
	connect(t, host, entry)
	for _, n := range []*Node{host, entry} {
		_ = n.SetConfig([]byte("1"), "test")
	}
	prove(t, host, "prove")
	for _, n := range []*Node{host, entry} {
		for _, chunked := range []bool{false, true} {
			g.set(longAnswer(true, chunked))
			got := send(t, n, "/file/1", "x")
			if got.status != 200 || got.err != nil || len(got.body) != longBody || strings.Trim(got.body, "b") != "" {
				t.Errorf("whole answer, chunked %v: status %d, %d bytes, %v", chunked, got.status, len(got.body), got.err)
			}
			g.set(longAnswer(false, chunked))
			if got := send(t, n, "/file/1", "x"); got.err == nil && got.status == 200 {
				t.Errorf("answer that broke off, chunked %v: looks complete with %d bytes", chunked, len(got.body))
			}
			g.set(answerOK)
			testutil.Eventually(t, "all slots are free and the target is back", func() bool {
				_ = send(t, host, "/read/1", "r")
				s := host.gate.Status()
				return s.Running == 0 && !s.Ejected
			})
		}
	}
	sent := make(chan int, 1)
	g.set(answerOK)
	req, err := http.NewRequest(http.MethodPost, "http://"+entry.cfg.CallerAddr+"/order/1", strings.NewReader(strings.Repeat("q", longBody)))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set("X-Id", "long")
	g.set(func(w io.Writer, r *http.Request) bool {
		sent <- int(r.ContentLength)
		return answerOK(w, r)
	})
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if n := <-sent; resp.StatusCode != 200 || n != longBody {
		t.Errorf("long request: status %d, %d bytes", resp.StatusCode, n)
	}
}
