package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

const (
	// maxTargetBytes bounds the name of a target.
	maxTargetBytes = maxNameBytes
	// drainTimeout bounds a drain request, which may be forwarded to another
	// node.
	drainTimeout = 3 * time.Second
	// maxConcurrentRequests bounds the requests handled at once, because
	// building a response for the whole fleet takes CPU time from traffic.
	maxConcurrentRequests = 4
	// writeTimeout bounds the time to write a response, so that a slow client
	// does not occupy one of the maxConcurrentRequests.
	writeTimeout = 30 * time.Second
	// maxBodyBytes bounds request bodies. No request of the API needs a body.
	maxBodyBytes = 1 << 10
)

// Handler serves the operators' API of a node.
type Handler struct {
	source     Source
	authorizer *Authorizer
	mux        *http.ServeMux
	sem        chan struct{}
}

// NewHandler returns a Handler that reads from s and authorizes changes with a.
func NewHandler(s Source, a *Authorizer) *Handler {
	h := &Handler{source: s, authorizer: a, mux: http.NewServeMux(), sem: make(chan struct{}, maxConcurrentRequests)}
	h.handleGet("/v1/status", h.status)
	h.handleGet("/v1/events", h.events)
	h.handleGet("/v1/burn", h.burn)
	h.mux.HandleFunc("GET /v1/metrics", h.metrics)
	h.mux.HandleFunc("POST /v1/drain/{target}", h.drainHandler(h.source.Drain))
	h.mux.HandleFunc("DELETE /v1/drain/{target}", h.drainHandler(h.source.Undrain))
	h.mux.HandleFunc("GET /healthz", h.healthz)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
	if r.URL.Path == "/healthz" {
		h.mux.ServeHTTP(w, r)
		return
	}
	select {
	case h.sem <- struct{}{}:
		defer func() { <-h.sem }()
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
		h.mux.ServeHTTP(w, r)
	case <-r.Context().Done():
	}
}

// handleGet registers a GET endpoint with a JSON response.
func (h *Handler) handleGet(path string, handle func(*http.Request) (any, error)) {
	h.mux.HandleFunc("GET "+path, func(w http.ResponseWriter, r *http.Request) {
		v, err := handle(r)
		writeResponse(w, v, err)
	})
}

func (h *Handler) status(r *http.Request) (any, error) {
	q, err := parseStatusQuery(r.URL.Query())
	if err != nil {
		return nil, err
	}
	return h.source.Status(q), nil
}

func (h *Handler) events(r *http.Request) (any, error) {
	f, err := parseFilter(r.URL.Query(), time.Now())
	if err != nil {
		return nil, err
	}
	return h.source.Events(f), nil
}

func (h *Handler) burn(r *http.Request) (any, error) {
	if err := checkQuery(r.URL.Query()); err != nil {
		return nil, err
	}
	return h.source.Burn(), nil
}

// metrics responds with JSON, or with one line per value for ?format=text.
func (h *Handler) metrics(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	err := checkQuery(q, "format")
	if f := q.Get("format"); err == nil && f != "" && f != "json" && f != "text" {
		err = newProblem(http.StatusBadRequest, fmt.Sprintf("format is %.40q, want json or text", f))
	}
	switch {
	case err != nil:
		writeResponse(w, nil, err)
	case q.Get("format") == "text":
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		h.source.Metrics().WriteText(w)
	default:
		writeResponse(w, h.source.Metrics().Registry(), nil)
	}
}

// DrainResult is the response to a request that starts or ends a drain.
type DrainResult struct {
	Target string `json:"target"`
	Host   string `json:"host"` // host node of the target
}

func (h *Handler) drainHandler(do func(context.Context, string) (string, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if err := h.authorizer.Check(r); err != nil {
			writeResponse(w, nil, err)
			return
		}
		target := r.PathValue("target")
		if len(target) > maxTargetBytes {
			writeResponse(w, nil, newProblem(http.StatusBadRequest, fmt.Sprintf("the target's name is longer than %d bytes", maxTargetBytes)))
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), drainTimeout)
		defer cancel()
		host, err := do(ctx, target)
		writeResponse(w, DrainResult{Target: target, Host: host}, err)
	}
}

func (h *Handler) healthz(w http.ResponseWriter, _ *http.Request) {
	if reason := h.source.Unhealthy(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ok")
}

func writeResponse(w http.ResponseWriter, v any, err error) {
	status := http.StatusOK
	if err != nil {
		p := asProblem(err)
		v, status = p, p.Status
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
