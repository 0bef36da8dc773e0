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

	"hyssopbridge/config/dynamic"
	"hyssopbridge/internal/testutil"
	"hyssopbridge/placement"
)

// brokenHeaderTimeout is the header timeout of nodes in tests of heads that
// trickle.
const brokenHeaderTimeout = 300 * time.Millisecond

// withLimits makes a node use decodeTest with changed limits.
func withLimits(change func(*dynamic.Limits)) func(*Config) {
	return func(c *Config) {
		c.Decode = func(raw []byte) (*dynamic.Config, error) {
			cfg, err := decodeTest(raw)
			if err == nil {
				change(&cfg.Limits)
			}
			return cfg, err
		}
	}
}

// orderHead returns the head of an order without its blank line.
func orderHead(id string, fields ...string) string {
	head := "POST /order/1 HTTP/1.1\r\nHost: h.example\r\nX-Id: " + id + "\r\n"
	for _, f := range fields {
		head += f + "\r\n"
	}
	return head
}

// startOfBody returns the header field of a body of the given length, and the
// text of its first sent bytes.
func startOfBody(chunked bool, length, sent int) (field, text string) {
	text = strings.Repeat("b", sent)
	if chunked {
		return "Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n%s", length, text)
	}
	return fmt.Sprint("Content-Length: ", length), text
}

// restOfBody returns what follows the first sent bytes of a body.
func restOfBody(chunked bool, length, sent int) string {
	rest := strings.Repeat("b", length-sent)
	if chunked {
		rest += "\r\n0\r\n\r\n"
	}
	return rest
}

// readStatuses reads the responses on a connection to its end or to the
// deadline of the test, and returns their statuses.
func readStatuses(c net.Conn) (statuses []int) {
	_ = c.SetReadDeadline(time.Now().Add(waitLimit))
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadResponse(br, nil)
		if err != nil {
			return statuses
		}
		if r.StatusCode == http.StatusContinue {
			continue
		}
		statuses = append(statuses, r.StatusCode)
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return statuses
		}
	}
}

// readWholeOrder responds once the body of the order has arrived.
func readWholeOrder(c *net.TCPConn, br *bufio.Reader, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		c.Close()
		return
	}
	respondOK(c, r)
}

// checkPromises checks that no order began, now or a little later, whose
// response promises that it is not run.
func (g *headTarget) checkPromises(t *testing.T, statuses []int) {
	t.Helper()
	time.Sleep(50 * time.Millisecond) // for an order that is on its way
	for _, s := range statuses {
		if isPromise(s) && len(g.began) > 0 {
			t.Errorf("status %d although order %q began", s, <-g.began)
		}
	}
	if len(g.began) > 1 {
		t.Errorf("the order began %d times", len(g.began))
	}
}

// Guards against an order that begins although net/http or the node refused its
// request, or that begins from bytes which belong to a refused request.
func TestBrokenHeadsAreNotRun(t *testing.T) {
	hidden := orderHead("y", "Content-Length: 0") + "\r\n"
	for name, test := range map[string]struct {
		first, later string // what is sent at once and after brokenHeaderTimeout
		status       int    // of the first response; 0 for none
	}{
		"trickling head":               {orderHead("x"), "Content-Length: 0\r\n\r\n", 0},
		"trickling request line":       {"POST /ord", "er/1 HTTP/1.1\r\nHost: h.example\r\nX-Id: x\r\nContent-Length: 0\r\n\r\n", 400},
		"trickling field":              {orderHead("x") + "Content-Len", "gth: 0\r\n\r\n", 400},
		"head too large":               {orderHead("x", "X-Long: "+strings.Repeat("x", 64<<10)) + "\r\n" + hidden, "", 431},
		"no host":                      {"POST /order/1 HTTP/1.1\r\nX-Id: x\r\nContent-Length: 0\r\n\r\n" + hidden, "", 400},
		"two lengths":                  {orderHead("x", "Content-Length: 3", "Content-Length: 4") + "\r\nabc" + hidden, "", 400},
		"length is no number":          {orderHead("x", "Content-Length: +3") + "\r\nabc" + hidden, "", 400},
		"space before colon":           {orderHead("x", "Content-Length : 3") + "\r\nabc" + hidden, "", 400},
		"unknown transfer encoding":    {orderHead("x", "Transfer-Encoding: odd") + "\r\n" + hidden, "", 501},
		"unknown expectation":          {orderHead("x", "Expect: odd", "Content-Length: 0") + "\r\n", "", 417},
		"no request ID, body hides":    {fmt.Sprintf("POST /order/1 HTTP/1.1\r\nHost: h.example\r\nContent-Length: %d\r\n\r\n%s", len(hidden)+10, hidden), "", 400},
		"bad chunk, order behind":      {orderHead("x", "Transfer-Encoding: chunked") + "\r\n5\r\nabcde\r\nzz\r\n" + hidden, "", 408},
		"chunk without end, order":     {orderHead("x", "Transfer-Encoding: chunked") + "\r\n5\r\nabcdeXX" + hidden, "", 408},
		"body awaits 100, none sent":   {orderHead("x", "Expect: 100-continue", "Content-Length: 50", "X-Left: 300") + "\r\n", hidden, 408},
		"length above limit, is order": {orderHead("x", fmt.Sprint("Content-Length: ", defaultLimits.BodyBytes+1)) + "\r\n" + hidden, "", 413},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := startHeadTarget(t, readWholeOrder)
			entry := startNodeWith(t, &stubTarget{id: "t", addr: g.addr}, withLimits(func(l *dynamic.Limits) { l.HeaderTimeout = brokenHeaderTimeout }))
			setConfig(t, "1", entry)
			markTested(t, entry, "first")
			c := dialCaller(t, entry)
			_, _ = io.WriteString(c, test.first)
			if test.later != "" {
				time.Sleep(2 * brokenHeaderTimeout)
				_, _ = io.WriteString(c, test.later) // the connection may be closed
			}
			_ = c.CloseWrite()
			got := readStatuses(c)
			if test.status != 0 && (len(got) == 0 || got[0] != test.status) || test.status == 0 && len(got) > 0 {
				t.Errorf("statuses %d, want %d first", got, test.status)
			}
			time.Sleep(50 * time.Millisecond) // for an order that is on its way
			for len(g.began) > 0 {
				t.Errorf("order %q began", <-g.began)
			}
		})
	}
}

// Lengths of bodies below and above what is buffered, with the bytes that are
// sent before the body stops.
var stoppedBodies = []struct{ length, sent int }{{100, 0}, {100, 4}, {500 << 10, 400 << 10}, {3 * maxBuffered, maxBuffered + 100<<10}}

// leftForBody returns the header field with the time that an order has left. One
// that is streamed has at least 4 s, since it must begin before its deadline also
// if the machine takes long to write the first megabyte.
func leftForBody(streamed bool, millis int) string {
	if streamed {
		millis = max(millis, 4000)
	}
	return fmt.Sprint("X-Left: ", millis)
}

// Guards against a promise for an order whose body stops and that began, and
// against an order that begins after the promise, when the rest of its body
// arrives late.
func TestStoppedBodies(t *testing.T) {
	for _, path := range orderPaths {
		for _, body := range stoppedBodies {
			for _, chunked := range []bool{false, true} {
				for _, end := range []string{"rest arrives late", "caller closes its sending side", "caller resets"} {
					t.Run(fmt.Sprintf("%s, %d of %d bytes, chunked %v, %s", path, body.sent, body.length, chunked, end), func(t *testing.T) {
						t.Parallel()
						g := startHeadTarget(t, readWholeOrder)
						entry, _ := startPath(t, path, g.addr)
						c := dialCaller(t, entry)
						field, text := startOfBody(chunked, body.length, body.sent)
						streamed := body.length > maxBuffered
						fmt.Fprint(c, orderHead("x", field, leftForBody(streamed, 400))+"\r\n"+text)
						if streamed {
							testutil.Eventually(t, "the order begins", func() bool { return len(g.began) > 0 })
						}
						switch end {
						case "caller closes its sending side":
							_ = c.CloseWrite()
						case "caller resets":
							_ = c.SetLinger(0)
							c.Close()
						}
						got := readStatuses(c)
						if end == "rest arrives late" {
							_, _ = io.WriteString(c, restOfBody(chunked, body.length, body.sent)) // the connection may be closed
						}
						if end != "caller resets" && !streamed && (len(got) != 1 || got[0] != http.StatusRequestTimeout) {
							t.Errorf("statuses %d, want 408", got)
						}
						if !streamed && len(g.began) > 0 {
							t.Errorf("the order began before its body had arrived")
						}
						g.checkPromises(t, got)
					})
				}
			}
		}
	}
}

// Guards against a promise for an order that runs, when its entry node or its
// host node stops while a part of its body has arrived.
func TestStopWhileBodyArrives(t *testing.T) {
	for _, path := range orderPaths {
		for _, stopHost := range []bool{false, true} {
			if stopHost && path == orderPaths[0] {
				continue
			}
			for _, body := range stoppedBodies[1:] {
				for _, chunked := range []bool{false, true} {
					for _, restArrives := range []bool{true, false} {
						t.Run(fmt.Sprintf("%s, host stops %v, %d of %d bytes, chunked %v, rest arrives %v", path, stopHost, body.sent, body.length, chunked, restArrives), func(t *testing.T) {
							t.Parallel()
							g := startHeadTarget(t, readWholeOrder)
							entry, host := startPath(t, path, g.addr)
							learnRunTime(entry, time.Millisecond)
							stopped := entry
							if stopHost {
								stopped = host
							}
							c := dialCaller(t, entry)
							field, text := startOfBody(chunked, body.length, body.sent)
							fmt.Fprint(c, orderHead("x", field, leftForBody(body.length > maxBuffered, 800), "Connection: close")+"\r\n"+text)
							if body.length > maxBuffered {
								testutil.Eventually(t, "the order begins", func() bool { return len(g.began) > 0 })
							}
							ended := make(chan struct{})
							go func() {
								defer close(ended)
								ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
								defer cancel()
								_ = stopped.Stop(ctx, 50*time.Millisecond) // ends what is in flight
							}()
							testutil.Eventually(t, "the node stops", stopped.stopping.Load)
							time.Sleep(150 * time.Millisecond) // until callers' requests may no longer wait
							if restArrives {
								_, _ = io.WriteString(c, restOfBody(chunked, body.length, body.sent)) // the connection may be closed
							}
							got := readStatuses(c)
							if restArrives && !stopHost && path == orderPaths[1] && (len(got) != 1 || got[0] != http.StatusOK) {
								t.Errorf("statuses %d of an order that was accepted before the stop, want 200", got)
							}
							g.checkPromises(t, got)
							<-ended
							g.checkPromises(t, got)
						})
					}
				}
			}
		}
	}
}

// Guards against a target that is held until the deadline by a streamed body
// which fails: one that passes the limit, is malformed, or whose caller leaves.
func TestFailedBodyFreesTarget(t *testing.T) {
	const limit = 2 * maxBuffered
	limited := withLimits(func(l *dynamic.Limits) { l.BodyBytes = limit })
	chunk := fmt.Sprintf("%x\r\n%s\r\n", 64<<10, strings.Repeat("b", 64<<10))
	for name, end := range map[string]func(c *net.TCPConn){
		"passes the limit": func(c *net.TCPConn) { _, _ = io.WriteString(c, strings.Repeat(chunk, limit/(64<<10))) },
		"bad chunk":        func(c *net.TCPConn) { _, _ = io.WriteString(c, "zz\r\n") },
		"caller closes its sending side": func(c *net.TCPConn) {
			_ = c.CloseWrite()
		},
		"caller resets": func(c *net.TCPConn) {
			_ = c.SetLinger(0)
			c.Close()
		},
	} {
		for _, path := range orderPaths {
			for _, early := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, target responds early %v", name, path, early), func(t *testing.T) {
					t.Parallel()
					g := startHeadTarget(t, func(c *net.TCPConn, br *bufio.Reader, r *http.Request) {
						if early {
							fmt.Fprintf(c, "HTTP/1.1 200 X\r\nX-Id: %s\r\nX-Sig: s\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("X-Id"), longBody, strings.Repeat("b", 2*maxBuffered))
						}
						readWholeOrder(c, br, r)
					})
					host := startNodeWith(t, &stubTarget{id: "t", addr: g.addr}, limited)
					entry := host
					if path != orderPaths[0] {
						entry = startNodeWith(t, nil, limited)
						connectNodes(t, entry, host)
					}
					setConfig(t, "1 60000", entry, host) // the deadline is later than the end of the test
					markTested(t, entry, "first")
					c := dialCaller(t, entry)
					_, _ = io.WriteString(c, orderHead("x", "Transfer-Encoding: chunked")+"\r\n"+strings.Repeat(chunk, maxBuffered/(64<<10)+1))
					testutil.Eventually(t, "the order begins", func() bool { return len(g.began) > 0 })
					end(c)
					got := readStatuses(c)
					g.checkPromises(t, got)
					if !early && name != "caller resets" && (len(got) != 1 || got[0] != http.StatusBadGateway) {
						t.Errorf("statuses %d, want 502", got)
					}
					testutil.Eventually(t, "the slot is free", func() bool { return host.gate.Status().Running == 0 })
					if status := host.gate.Status(); status.Ejected {
						t.Error("the target counts as failed")
					}
					for _, cand := range entry.view.Rank(placement.Request{Service: testService}) {
						if cand.InBackoff {
							t.Error("the path to the host node counts as failed")
						}
					}
				})
			}
		}
	}
}
