package registry

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"
)

// errorResponse is the body of an error response.
type errorResponse struct {
	Error string `json:"error"`
}

// Accepted is the body of the response to an announcement.
type Accepted struct {
	ID      string `json:"id"`
	State   string `json:"state"` // as reported to the fleet
	Drained bool   `json:"drained"`
}

// Handler returns the HTTP handler for the targets on this host:
//
//	POST   /v1/announce       processes one announcement as JSON
//	DELETE /v1/announce/{id}  marks a target Down
//
// The listener must be on loopback; see ListenLoopback.
func (r *Registry) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/announce", r.serveAnnounce)
	mux.HandleFunc("DELETE /v1/announce/{id}", r.serveRemove)
	return mux
}

// ErrNotLoopback is returned for a listener that other hosts could reach.
var ErrNotLoopback = errors.New("announcements are accepted on loopback addresses only")

// ListenLoopback opens the listener for announcements.
func ListenLoopback(addr string) (net.Listener, error) {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, fmt.Errorf("announcement address: %w", err)
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return nil, fmt.Errorf("%w: %s", ErrNotLoopback, addr)
	}
	return net.Listen("tcp", addr)
}

func (r *Registry) serveAnnounce(w http.ResponseWriter, req *http.Request) {
	a, err := ParseAnnouncement(http.MaxBytesReader(w, req.Body, maxBodyBytes))
	if err != nil {
		writeError(w, parseErrorStatus(err), err)
		return
	}
	var out Accepted
	r.withCore(func(c *Core, now time.Time) {
		if err = c.Announce(now, a); err == nil {
			t := c.targets[a.ID].target
			out = Accepted{ID: t.ID, State: t.State.String(), Drained: t.Drained}
		}
	})
	if err != nil {
		writeError(w, announceErrorStatus(err), err)
		return
	}
	writeJSON(w, http.StatusOK, out)
}

func (r *Registry) serveRemove(w http.ResponseWriter, req *http.Request) {
	if id := req.PathValue("id"); !r.Remove(id) {
		writeError(w, http.StatusNotFound, fmt.Errorf("no target %q", id))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func parseErrorStatus(err error) int {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusBadRequest
}

func announceErrorStatus(err error) int {
	switch {
	case errors.Is(err, ErrFull):
		return http.StatusServiceUnavailable
	case errors.Is(err, ErrServiceChange), errors.Is(err, ErrAddressInUse):
		return http.StatusConflict
	default:
		return http.StatusBadRequest
	}
}

func writeError(w http.ResponseWriter, status int, err error) {
	writeJSON(w, status, errorResponse{Error: err.Error()})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write error means that the client is gone; there is nothing to do.
	_ = json.NewEncoder(w).Encode(body)
}
