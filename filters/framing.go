package filters

import (
	"net/http"
	"strings"
)

// maxLengthDigits bounds the digits of a Content-Length, so that the value fits
// in a 64-bit integer in every implementation that parses it.
const maxLengthDigits = 18

// checkFraming refuses requests whose end two HTTP implementations could place
// differently (request smuggling). net/http refuses some of these itself; the
// checks here do not rely on that.
func checkFraming(r *http.Request) error {
	lengths := r.Header["Content-Length"]
	encodings := r.Header["Transfer-Encoding"]
	if len(r.TransferEncoding) > 0 {
		encodings = r.TransferEncoding
	}
	if len(lengths) > 1 {
		return badRequest("more than one Content-Length")
	}
	if len(lengths) == 1 && !validLength(lengths[0]) {
		return badRequest("invalid Content-Length")
	}
	if len(encodings) == 0 {
		return nil
	}
	switch {
	case len(lengths) > 0:
		return badRequest("Content-Length together with Transfer-Encoding")
	case len(encodings) > 1 || !strings.EqualFold(encodings[0], "chunked"):
		return badRequest("Transfer-Encoding other than chunked")
	case !r.ProtoAtLeast(1, 1):
		return badRequest("Transfer-Encoding before HTTP/1.1")
	}
	return nil
}

// framingAlias reports whether name is a non-canonical spelling of a header that
// determines the length of the body. net/http canonicalizes names it parses, so
// such a name was set by code or is invalid.
func framingAlias(name string) bool {
	switch len(name) {
	case len("Content-Length"):
		return name != "Content-Length" && strings.EqualFold(name, "Content-Length")
	case len("Transfer-Encoding"):
		return name != "Transfer-Encoding" && strings.EqualFold(name, "Transfer-Encoding")
	}
	return false
}

func validLength(v string) bool {
	if v == "" || len(v) > maxLengthDigits {
		return false
	}
	for i := 0; i < len(v); i++ {
		if v[i] < '0' || v[i] > '9' {
			return false
		}
	}
	return true
}
