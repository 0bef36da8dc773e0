package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// fetch returns the body of the response that a server sends as text.
func fetch(t *testing.T, text string) (string, error) {
	t.Helper()
	addr := serve(t, func(c net.Conn, br *bufio.Reader) {
		if _, err := http.ReadRequest(br); err == nil {
			_, _ = io.WriteString(c, text)
		}
	})
	resp, err := NewClient(Config{}).Do(t.Context(), addr, request(http.MethodGet, nil), Options{})
	if err != nil {
		return "", err
	}
	b, err := io.ReadAll(resp.Body)
	return string(b), err
}

// Guards against a status line of a faulty server that counts as one of a response.
func TestInvalidStatusLines(t *testing.T) {
	const rest = "\r\nContent-Length: 4\r\n\r\nbody"
	for _, line := range []string{"HTTP/1.1 200 OK", "HTTP/1.0 200 OK", "HTTP/1.1 599", "HTTP/1.1 404 Not\tFound"} {
		if b, err := fetch(t, line+rest); b != "body" || err != nil {
			t.Errorf("%q: body %q, error %v", line, b, err)
		}
	}
	for _, line := range []string{
		"HTTP/1.1 000 OK", "HTTP/1.1 099 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 -00 OK", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 2x0 OK",
		"HTTP/1.1 600 OK", "HTTP/1.1 999 OK", "HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "http/1.1 200 OK", "200 OK", "HTTP/1.1 200 O\x01K", "HTTP/1.1 200 O\x00K", "HTTP/1.1",
	} {
		if b, err := fetch(t, line+rest); err == nil {
			t.Errorf("%q: accepted with body %q", line, b)
		}
	}
	if b, err := fetch(t, "HTTP/1.1 099 Early\r\n\r\nHTTP/1.1 200 OK"+rest); err == nil || !strings.Contains(err.Error(), "99") {
		t.Errorf("body %q, error %v after a head with an invalid status", b, err)
	}
}

// Guards against a field whose name has a blank or another byte that no name may
// have, and that is passed on, or whose meaning for the body is ignored.
func TestInvalidFieldNames(t *testing.T) {
	const (
		head    = "HTTP/1.1 200 OK\r\n"
		length  = "Content-Length: 4\r\n\r\nbody"
		chunked = "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"
	)
	for _, text := range []string{head + "X-Other:o\r\n" + length, head + "X!#$%&'*+-.^_`|~0: o\r\n" + length, head + chunked + "X-Other: o\r\n\r\n"} {
		if b, err := fetch(t, text); b != "body" || err != nil {
			t.Errorf("%q: body %q, error %v", text, b, err)
		}
	}
	for _, name := range []string{"X-Other ", "X Other", " X-Other", "\tX-Other", "X\tOther", "X-Other\t", "X\x00", "X\x01Other", "X\x7f", "X\xe9", "X(Other)", "X\"", ""} {
		for place, text := range map[string]string{
			"first field":      head + name + ": o\r\n" + length,
			"after a field":    head + "X: o\r\n" + name + ": o\r\n" + length,
			"last field":       head + "Content-Length: 4\r\n" + name + ": o\r\n\r\nbody",
			"early hints":      "HTTP/1.1 103 Early\r\n" + name + ": o\r\n\r\n" + head + length,
			"trailer":          head + chunked + name + ": o\r\n\r\n",
			"announced, chunk": head + "Trailer: X-Other\r\n" + chunked + name + ": o\r\n\r\n",
		} {
			if b, err := fetch(t, text); err == nil {
				t.Errorf("%s %q: accepted with body %q", place, name, b)
			}
		}
	}
	for _, text := range []string{
		head + "Content-Length : 2\r\n\r\nbody", head + "Transfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		head + chunked + "X-Other: o\r\n", head + chunked + "X-Other: \x01\r\n\r\n", head + chunked,
	} {
		if b, err := fetch(t, text); err == nil {
			t.Errorf("%q: accepted with body %q", text, b)
		}
	}
}

func dialOneByte(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", addr)
	return &oneByteConn{Conn: c}, err
}

// Guards against the lengths of chunks in a body: HTTP/1.0 has no transfer codings,
// so net/http leaves the field out. The field may arrive in pieces.
func TestTransferCodingOfHTTP10(t *testing.T) {
	const body = "\r\n4\r\nbody\r\n0\r\n\r\n"
	for text, want := range map[string]string{
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + body:                       "body",
		"HTTP/1.0 200 OK\r\nTransfer-Encodings: chunked\r\n" + body:                      body[2:],
		"HTTP/1.0 200 OK\r\nX: Transfer-Encoding: chunked\r\n" + body:                    body[2:],
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n" + body:                       "",
		"HTTP/1.0 200 OK\r\nX: o\r\ntransfer-encoding:chunked\r\n" + body:                "",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: x\r\nContent-Length: 4\r\n\r\nbody":       "",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\nX: o\r\nX-Other: o\r\n" + body: "",
	} {
		addr := serve(t, func(c net.Conn, br *bufio.Reader) {
			if _, err := http.ReadRequest(br); err == nil {
				_, _ = io.WriteString(c, text)
			}
		})
		for name, cfg := range map[string]Config{"at once": {}, "in bytes": {Dial: dialOneByte}} {
			resp, err := NewClient(cfg).Do(t.Context(), addr, request(http.MethodGet, nil), Options{})
			var got []byte
			if err == nil {
				got, err = io.ReadAll(resp.Body)
			}
			if string(got) != want || (err == nil) != (want != "") {
				t.Errorf("%q %s: body %q, error %v, want %q", text, name, got, err, want)
			}
		}
	}
}
