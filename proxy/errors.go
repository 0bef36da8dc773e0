package proxy

import (
	"errors"
	"fmt"
	"net/http"

	"hyssopbridge/resultcode"
)

// retryAfterSeconds is the Retry-After value of refusals with status 503 or 429.
const retryAfterSeconds = "1"

// writeError writes an error response with the result code of err.
func writeError(w http.ResponseWriter, id string, err error) {
	re := asResultError(err)
	h := w.Header()
	connection := h.Get("Connection")
	clear(h)
	if connection != "" {
		h.Set("Connection", connection)
	}
	h.Set(HeaderRequestID, id)
	h.Set(RequestIDHeader, id)
	h.Set(HeaderResult, re.Code.String())
	h.Set(HeaderRan, re.Ran.String())
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Cache-Control", "no-store")
	status := re.Code.Status()
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		h.Set("Retry-After", retryAfterSeconds)
	}
	w.WriteHeader(status)
	fmt.Fprintf(w, "%s; run: %s\n", re.Code, re.Ran)
}

// asResultError returns the resultcode.Error in err's chain. An error without a
// result code becomes an unknown outcome.
func asResultError(err error) *resultcode.Error {
	var re *resultcode.Error
	if errors.As(err, &re) {
		return re
	}
	return resultcode.New(resultcode.UnknownOutcome, "%w", err)
}
