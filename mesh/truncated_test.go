package mesh

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// cutHeads are the beginnings of responses whose target stops in the head.
var cutHeads = map[string]string{
	"status line":            "HTTP/1.1 20",
	"header name":            "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Si",
	"signature":              "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Sig: si",
	"length":                 "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Sig: sig\r\nContent-Length: 1",
	"before the blank line":  "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Sig: sig\r\n",
	"within the blank line":  "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Sig: sig\r\n\r",
	"after a 1xx response":   "HTTP/1.1 103 Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Sig: sig\r\n",
	"body without any bytes": "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Sig: sig\r\nContent-Length: 10\r\n\r\n",
}

// Guards against a target that stops in the head of its response and closes the
// connection in good order: the caller must not get a success with an empty or
// short body that looks whole, through either hop.
func TestResponseCutInHead(t *testing.T) {
	g := startTarget(t, "t")
	host, entry := startPair(t, "1 1000", g, nil)
	for name, head := range cutHeads {
		for hop, n := range []*Node{host, entry} {
			id := fmt.Sprint(name, hop)
			// The target counts as just started, without the failures before.
			host.SetTarget(servingTarget(g.id), g.addr, true)
			g.setHandler(func(w io.Writer, r *http.Request) bool {
				if r.Header.Get("X-Id") != id {
					return respondOK(w, r)
				}
				_, _ = io.WriteString(w, strings.Replace(head, "%s", id, 1))
				_ = w.(*net.TCPConn).CloseWrite() // a FIN, as from a process that ends
				_, _ = io.Copy(io.Discard, w.(*net.TCPConn))
				return false
			})
			if got := send(t, n, "/order/1", id); got.err == nil && got.status < 300 {
				t.Errorf("%s, %d nodes: status %d with body %q", name, hop+1, got.status, got.body)
			}
			if g.runCount(id) == 0 {
				t.Errorf("%s, %d nodes: the order did not reach the target, so nothing was tested", name, hop+1)
			}
		}
	}
}
