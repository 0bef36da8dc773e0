package proxy

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"hyssopbridge/resultcode"
)

// Headers between nodes. They are removed from callers' requests and from
// targets' responses.
const (
	HeaderPrefix    = "Hb-"
	HeaderRequestID = "Hb-Request-Id"
	HeaderRoute     = "Hb-Route"
	HeaderService   = "Hb-Service"
	HeaderVersion   = "Hb-Config-Version"
	HeaderTarget    = "Hb-Target"
	HeaderDeadline  = "Hb-Deadline-Ms"
	HeaderClass     = "Hb-Class"
	HeaderAttempt   = "Hb-Attempt-Id" // present on routes that are not idempotent
	HeaderStall     = "Hb-Stall-Ms"
	HeaderEpoch     = "Hb-Epoch"
	HeaderLease     = "Hb-Lease-Ms"
	HeaderKey       = "Hb-Key"
	HeaderCustomer  = "Hb-Customer"
	HeaderRole      = "Hb-Role"
	HeaderResult    = "Hb-Result"
	HeaderRan       = "Hb-Ran"
)

// Headers to targets and callers.
const (
	// RequestIDHeader carries the request ID to the target and to the caller. If
	// the target echoes it, the host node detects a response that belongs to
	// another request.
	RequestIDHeader = "Request-Id"
	// TimeoutHeader carries the time left for the response, in ms.
	TimeoutHeader = "Request-Timeout-Ms"
	// HeaderReplayed marks the stored response to an earlier request with the
	// same idempotency key.
	HeaderReplayed = "Hb-Replayed"
)

// copyHeader copies the fields of src into dst. The slices of values are shared;
// neither side may change them in place.
func copyHeader(dst, src http.Header) {
	for name, values := range src {
		dst[name] = values
	}
}

// setMillis sets a header to d in whole milliseconds, at least 1.
func setMillis(h http.Header, name string, d time.Duration) {
	h[name] = []string{strconv.FormatInt(max(1, d.Milliseconds()), 10)}
}

// millis returns the value of a header in whole milliseconds, or 0 if it is
// absent or malformed.
func millis(h http.Header, name string) time.Duration {
	n, err := strconv.ParseInt(h.Get(name), 10, 64)
	if err != nil || n < 0 {
		return 0
	}
	return time.Duration(n) * time.Millisecond
}

// peerResult returns the result code in a response of another node. ok is false
// if the response is the target's own.
func peerResult(h http.Header) (code resultcode.Code, ok bool) {
	number, _, _ := strings.Cut(h.Get(HeaderResult), " ")
	n, err := strconv.Atoi(number)
	if err != nil {
		return 0, false
	}
	return resultcode.Code(n), resultcode.Code(n) != resultcode.Answered
}

func parseRan(s string) resultcode.Ran {
	switch s {
	case "no":
		return resultcode.RanNo
	case "yes":
		return resultcode.RanYes
	default:
		return resultcode.RanUnknown
	}
}
