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
	c := limits.ConnOf(r.Context())
	if c != nil {
		resp.account.SetTransfer(c.WriteLag(), c.Cut)
	}
	err := writeHeadAndBody(w, r.Method, resp)
	if err != nil && c != nil && !r.ProtoAtLeast(1, 1) {
		// A body without a length ends with the connection, since HTTP/1.0 has no
		// chunks. An orderly close would make the part that was sent a whole.
		c.ResetOnClose()
	}
	return err
}

func writeHeadAndBody(w http.ResponseWriter, method string, resp *response) error {
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
