package filters

import (
	"net/http"
	"strings"
)

// maxLengthDigits bounds the digits of a Content-Length, so that no reader's
// 64-bit integer can overflow.
const maxLengthDigits = 18

// checkFraming refuses requests whose end two readers could see at different
// places. net/http refuses some of these itself; the checks here do not depend
// on that.
func checkFraming(r *http.Request) error {
	lengths := r.Header["Content-Length"]
	encodings := r.Header["Transfer-Encoding"]
	if len(r.TransferEncoding) > 0 {
		encodings = r.TransferEncoding
	}
	if len(lengths) > 1 {
		return bad("more than one Content-Length")
	}
	if len(lengths) == 1 && !validLength(lengths[0]) {
		return bad("invalid Content-Length")
	}
	if len(encodings) == 0 {
		return nil
	}
	switch {
	case len(lengths) > 0:
		return bad("Content-Length together with Transfer-Encoding")
	case len(encodings) > 1 || !strings.EqualFold(encodings[0], "chunked"):
		return bad("Transfer-Encoding other than chunked")
	case !r.ProtoAtLeast(1, 1):
		return bad("Transfer-Encoding before HTTP/1.1")
	}
	return nil
}

// framingAlias reports whether name is another spelling of a field that states
// the length of the body. net/http leaves such names in a header only if they
// were set by hand or are invalid.
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
