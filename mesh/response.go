package mesh

import (
	"io"
	"net/http"
	"strconv"

	"hyssopbridge/limits"
)

// writeResponse writes a response to the caller or entry node. An error means
// that the response is incomplete, so the connection must be aborted. A reader
// that does not keep up may lose the response when memory is short.
func writeResponse(w http.ResponseWriter, r *http.Request, resp *response) error {
	method := r.Method
	if c := limits.ConnOf(r.Context()); c != nil {
		resp.account.SetTransfer(c.WriteLag(), c.Cut)
	}
	h := w.Header()
	addFields(h, resp.header)
	hasBody := method != http.MethodHead && resp.status != http.StatusNoContent && resp.status != http.StatusNotModified
	if hasBody && (resp.rest == nil || resp.restLen >= 0) {
		h["Content-Length"] = []string{strconv.FormatInt(int64(len(resp.body))+max(0, resp.restLen), 10)}
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // keeps net/http from guessing one
	}
	w.WriteHeader(resp.status)
	if !hasBody {
		return nil
	}
	if _, err := w.Write(resp.body); err != nil {
		return err
	}
	if resp.rest == nil {
		return nil
	}
	resp.body = nil
	resp.account.Shrink(streamBytes)
	_, err := io.Copy(w, resp.rest)
	return err
}

// addFields copies the end-to-end fields of a response.
func addFields(dst, src http.Header) {
	for name, values := range src {
		dst[name] = values
	}
}
