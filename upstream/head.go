package upstream

import (
	"errors"
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// maxStatus is the highest status code of the protocol.
const maxStatus = 599

// checkHead returns an error for a head that http.ReadResponse accepts although
// HTTP/1 does not allow it, with what lines shows of it. HTTP/1.0 has no transfer
// codings: the sizes of the chunks would be taken for a part of the body. A line that
// begins with a blank would be added to the value of the field before it.
func checkHead(r *http.Response, lines *headerLimiter) error {
	switch {
	case r.ProtoMajor != 1:
		return fmt.Errorf("response of protocol version %q, want HTTP/1", r.Proto)
	case lines.coded && r.ProtoMinor == 0:
		return fmt.Errorf("response of protocol version %q with a transfer coding", r.Proto)
	case lines.folded:
		return errors.New("header section has a line that begins with a blank")
	case r.StatusCode < http.StatusContinue || r.StatusCode > maxStatus:
		return fmt.Errorf("status code %d is not between %d and %d", r.StatusCode, http.StatusContinue, maxStatus)
	case !httpguts.ValidHeaderFieldValue(r.Status):
		return fmt.Errorf("status line %q has a control byte", r.Status)
	}
	return checkFieldNames(r.Header)
}

// checkFieldNames returns an error for a field whose name has a byte that no name
// may have. net/http accepts blanks there and then does not recognize the field, so
// the body of a response with "Content-Length : 2" would not end after 2 bytes.
func checkFieldNames(h http.Header) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("invalid field name %q", name)
		}
	}
	return nil
}
