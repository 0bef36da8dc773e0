package mesh

import (
	"io"
	"net/http"
	"strconv"
)

// writeAnswer passes an answer on. An error means that the answer is not
// complete, so the connection must be aborted.
func writeAnswer(w http.ResponseWriter, method string, a *answer) error {
	h := w.Header()
	addFields(h, a.header)
	hasBody := method != http.MethodHead && a.status != http.StatusNoContent && a.status != http.StatusNotModified
	if hasBody && (a.rest == nil || a.restLen >= 0) {
		h["Content-Length"] = []string{strconv.FormatInt(int64(len(a.body))+max(0, a.restLen), 10)}
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // keeps net/http from guessing one
	}
	w.WriteHeader(a.status)
	if !hasBody {
		return nil
	}
	if _, err := w.Write(a.body); err != nil {
		return err
	}
	if a.rest == nil {
		return nil
	}
	_, err := io.Copy(w, a.rest)
	return err
}

// addFields copies the end-to-end fields of an answer.
func addFields(dst, src http.Header) {
	for name, values := range src {
		dst[name] = values
	}
}
