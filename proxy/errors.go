package proxy

import (
	"errors"
	"fmt"
	"net/http"

	"hyssopbridge/resultcode"
)

// retryAfterSeconds is the Retry-After value of refusals that load causes.
const retryAfterSeconds = "1"

// writeError answers with the result code of err. An error without a code is
// reported as an unknown outcome.
func writeError(w http.ResponseWriter, id string, err error) {
	re := asResult(err)
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

func asResult(err error) *resultcode.Error {
	var re *resultcode.Error
	if errors.As(err, &re) {
		return re
	}
	return resultcode.New(resultcode.UnknownOutcome, "%w", err)
}
