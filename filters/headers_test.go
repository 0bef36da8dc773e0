package filters

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"net/textproto"
	"strings"
	"testing"

	"hyssopbridge/resultcode"
)

var defaultArgs = HeaderArgs{DefaultHeaderBytes, DefaultHeaderFields, DefaultHeaderValueBytes}

// notRunCode returns the result code of err if err states that the request was
// not run, and 0 otherwise.
func notRunCode(err error) resultcode.Code {
	var e *resultcode.Error
	if errors.As(err, &e) && e.Ran == resultcode.RanNo {
		return e.Code
	}
	return 0
}

func request(header http.Header) *http.Request {
	return &http.Request{Method: "GET", Host: "a.example", Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: header}
}

// Guards against accepting requests whose length, host or method two HTTP
// implementations could interpret differently, and against oversized headers.
func TestCheckRequestRefuses(t *testing.T) {
	change := func(f func(*http.Request)) *http.Request {
		r := request(http.Header{})
		f(r)
		return r
	}
	many := http.Header{}
	for i := range DefaultHeaderFields + 1 {
		many.Add("X-Many", string(rune('a'+i%26)))
	}
	large := http.Header{}
	for range 5 {
		large.Add("X-Large", strings.Repeat("a", DefaultHeaderValueBytes))
	}
	for name, c := range map[string]struct {
		r    *http.Request
		want resultcode.Code
	}{
		"two lengths":            {request(http.Header{"Content-Length": {"1", "2"}}), resultcode.BadRequest},
		"repeated length":        {request(http.Header{"Content-Length": {"1", "1"}}), resultcode.BadRequest},
		"length list":            {request(http.Header{"Content-Length": {"1, 1"}}), resultcode.BadRequest},
		"signed length":          {request(http.Header{"Content-Length": {"+1"}}), resultcode.BadRequest},
		"negative length":        {request(http.Header{"Content-Length": {"-1"}}), resultcode.BadRequest},
		"hex length":             {request(http.Header{"Content-Length": {"0x1"}}), resultcode.BadRequest},
		"empty length":           {request(http.Header{"Content-Length": {""}}), resultcode.BadRequest},
		"length overflow":        {request(http.Header{"Content-Length": {"99999999999999999999"}}), resultcode.BadRequest},
		"length in other case":   {request(http.Header{"Content-Length": {"1"}, "content-length": {"2"}}), resultcode.BadRequest},
		"length and chunked":     {request(http.Header{"Content-Length": {"1"}, "Transfer-Encoding": {"chunked"}}), resultcode.BadRequest},
		"gzip, chunked":          {request(http.Header{"Transfer-Encoding": {"gzip, chunked"}}), resultcode.BadRequest},
		"chunked twice":          {request(http.Header{"Transfer-Encoding": {"chunked", "chunked"}}), resultcode.BadRequest},
		"identity":               {request(http.Header{"Transfer-Encoding": {"identity"}}), resultcode.BadRequest},
		"chunked with tab":       {request(http.Header{"Transfer-Encoding": {"\tchunked"}}), resultcode.BadRequest},
		"parsed encoding":        {change(func(r *http.Request) { r.TransferEncoding = []string{"gzip"} }), resultcode.BadRequest},
		"parsed chunked, 1.0":    {change(func(r *http.Request) { r.TransferEncoding = []string{"chunked"}; r.ProtoMinor = 0 }), resultcode.BadRequest},
		"name with space":        {request(http.Header{"X Y": {"1"}}), resultcode.BadRequest},
		"empty name":             {request(http.Header{"": {"1"}}), resultcode.BadRequest},
		"line feed in value":     {request(http.Header{"X": {"a\nb"}}), resultcode.BadRequest},
		"carriage return":        {request(http.Header{"X": {"a\rb"}}), resultcode.BadRequest},
		"NUL in value":           {request(http.Header{"X": {"a\x00b"}}), resultcode.BadRequest},
		"host with path":         {change(func(r *http.Request) { r.Host = "a.example/x" }), resultcode.BadRequest},
		"host with user":         {change(func(r *http.Request) { r.Host = "u@a.example" }), resultcode.BadRequest},
		"host list":              {change(func(r *http.Request) { r.Host = "a.example,b.example" }), resultcode.BadRequest},
		"CONNECT":                {change(func(r *http.Request) { r.Method = "CONNECT" }), resultcode.BadRequest},
		"TRACE":                  {change(func(r *http.Request) { r.Method = "TRACE" }), resultcode.BadRequest},
		"method with space":      {change(func(r *http.Request) { r.Method = "G ET" }), resultcode.BadRequest},
		"too many fields":        {request(many), resultcode.HeaderTooLarge},
		"too many bytes":         {request(large), resultcode.HeaderTooLarge},
		"one value too long":     {request(http.Header{"X": {strings.Repeat("a", DefaultHeaderValueBytes+1)}}), resultcode.HeaderTooLarge},
		"good, with a length":    {request(http.Header{"Content-Length": {"12"}, "X": {"\u00e9"}}), 0},
		"good, chunked":          {request(http.Header{"Transfer-Encoding": {"Chunked"}}), 0},
		"good, parsed chunked":   {change(func(r *http.Request) { r.TransferEncoding = []string{"chunked"} }), 0},
		"good, host and port":    {change(func(r *http.Request) { r.Host = "[::1]:8080" }), 0},
		"good, unusual method":   {change(func(r *http.Request) { r.Method = "PROPFIND" }), 0},
		"good, empty host (1.0)": {change(func(r *http.Request) { r.Host = "" }), 0},
	} {
		err := CheckRequest(c.r, defaultArgs)
		if notRunCode(err) != c.want || (err == nil) != (c.want == 0) {
			t.Errorf("%s: error %v, want %v", name, err, c.want)
		}
	}
}

// Guards against forwarding internal and hop-by-hop fields, and against a
// Connection header that removes fields that determine the meaning of a request.
func TestStripHeader(t *testing.T) {
	h := http.Header{
		"Hb-Request-Id": {"1"}, "Hb-Deadline-Ms": {"1"}, "hb-key": {"1"}, "HB-CLASS": {"1"}, "Hb-": {"1"},
		"Connection":       {"close, X-One,x-two ,", "idempotency-key, Content-Length, \tX-Three"},
		"Proxy-Connection": {"1"}, "Keep-Alive": {"1"}, "Te": {"1"}, "Trailer": {"1"}, "Upgrade": {"1"},
		"Transfer-Encoding": {"1"}, "Proxy-Authenticate": {"1"}, "Proxy-Authorization": {"1"},
		"X-One": {"1"}, "X-Two": {"1"}, "X-Three": {"1"},
	}
	kept := http.Header{"Content-Length": {"1"}, "Idempotency-Key": {"1"}, "Hbx": {"1"}, "X-Four": {"1"}, "Customer-Id": {"1"}}
	for name, v := range kept {
		h[name] = v
	}
	StripHeader(h)
	for name := range h {
		if kept[name] == nil {
			t.Errorf("%s was not removed", name)
		}
	}
	for name := range kept {
		if h[name] == nil {
			t.Errorf("%s was removed", name)
		}
	}
}

// FuzzHeaders parses arbitrary bytes as a request. A request that the filter
// accepts must have an unambiguous length, no internal or hop-by-hop fields
// left, and the same number of fields after its header is written and parsed
// again.
func FuzzHeaders(f *testing.F) {
	for _, seed := range []string{
		"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nHb-Key: 1\r\n\r\nabc",
		"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
		"POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: a\r\nConnection: X-A, hb-key, keep-alive\r\nX-A: 1\r\nhb-key: 2\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: a\r\nX : 1\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	filter, err := HeaderSpec{}.New(nil)
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(string(data))))
		if err != nil {
			return
		}
		lengths := append([]string(nil), r.Header["Content-Length"]...)
		named := textproto.TrimString(r.Header.Get("Connection"))
		if filter.Request(&Context{Request: r}) != nil {
			return
		}
		if len(lengths) > 1 || len(lengths) == 1 && len(r.TransferEncoding) > 0 {
			t.Fatalf("accepted Content-Length %q with Transfer-Encoding %q", lengths, r.TransferEncoding)
		}
		for name, values := range r.Header {
			checkAccepted(t, name, values)
			if strings.EqualFold(name, named) && !protectedFields[name] {
				t.Fatalf("%s is listed in Connection but was kept", name)
			}
		}
		checkHeaderRoundTrip(t, r)
	})
}

// checkAccepted checks that an accepted header field is neither internal nor
// hop-by-hop and has no line breaks.
func checkAccepted(t *testing.T, name string, values []string) {
	if strings.HasPrefix(strings.ToLower(name), "hb-") {
		t.Fatalf("%s was kept", name)
	}
	for _, hop := range hopByHopFields {
		if strings.EqualFold(name, hop) {
			t.Fatalf("%s was kept", name)
		}
	}
	for _, v := range values {
		if strings.ContainsAny(v, "\r\n\x00") {
			t.Fatalf("%s has the invalid value %q", name, v)
		}
	}
}

// checkHeaderRoundTrip writes the header in the same way as the node does and
// parses it again.
func checkHeaderRoundTrip(t *testing.T, r *http.Request) {
	var b strings.Builder
	_, _ = io.WriteString(&b, "GET / HTTP/1.1\r\nHost: a\r\n")
	if err := r.Header.Write(&b); err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(&b, "\r\n")
	again, err := textproto.NewReader(bufio.NewReader(strings.NewReader(strings.SplitN(b.String(), "\r\n", 2)[1]))).ReadMIMEHeader()
	if err != nil {
		t.Fatalf("an accepted header cannot be parsed: %v", err)
	}
	if len(again)-1 != len(r.Header) {
		t.Fatalf("%d fields written, %d parsed", len(r.Header), len(again)-1)
	}
}
