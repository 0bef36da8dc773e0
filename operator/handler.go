package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

const (
	// maxTarget bounds the name of a target, in bytes.
	maxTarget = maxName
	// drainTimeout bounds a drain, which may go to another node.
	drainTimeout = 3 * time.Second
	// maxConcurrent bounds the requests that are handled at once. Answers for
	// the whole fleet take processor time from traffic.
	maxConcurrent = 4
	// answerTimeout bounds the time to write an answer, so that a slow reader
	// does not hold one of the places.
	answerTimeout = 30 * time.Second
	// maxBody bounds request bodies, which no request needs.
	maxBody = 1 << 10
)

// Handler serves the API.
type Handler struct {
	source    Source
	authority *Authorizer
	mux       *http.ServeMux
	running   chan struct{}
}

// NewHandler returns the API of a node.
func NewHandler(s Source, a *Authorizer) *Handler {
	h := &Handler{source: s, authority: a, mux: http.NewServeMux(), running: make(chan struct{}, maxConcurrent)}
	h.get("/v1/status", h.status)
	h.get("/v1/events", h.events)
	h.get("/v1/burn", h.burn)
	h.mux.HandleFunc("GET /v1/metrics", h.metrics)
	h.mux.HandleFunc("POST /v1/drain/{target}", h.change(h.source.Drain))
	h.mux.HandleFunc("DELETE /v1/drain/{target}", h.change(h.source.Undrain))
	h.mux.HandleFunc("GET /healthz", h.healthz)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	r.Body = http.MaxBytesReader(w, r.Body, maxBody)
	if r.URL.Path == "/healthz" {
		h.mux.ServeHTTP(w, r)
		return
	}
	select {
	case h.running <- struct{}{}:
		defer func() { <-h.running }()
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(answerTimeout))
		h.mux.ServeHTTP(w, r)
	case <-r.Context().Done():
	}
}

// get adds a request that answers with JSON.
func (h *Handler) get(path string, answer func(*http.Request) (any, error)) {
	h.mux.HandleFunc("GET "+path, func(w http.ResponseWriter, r *http.Request) {
		v, err := answer(r)
		write(w, v, err)
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

// metrics answers with JSON, or with lines of text for ?format=text.
func (h *Handler) metrics(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	err := checkQuery(q, "format")
	if f := q.Get("format"); err == nil && f != "" && f != "json" && f != "text" {
		err = problem(http.StatusBadRequest, fmt.Sprintf("format is %.40q, want json or text", f))
	}
	switch {
	case err != nil:
		write(w, nil, err)
	case q.Get("format") == "text":
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		h.source.Metrics().WriteText(w)
	default:
		write(w, h.source.Metrics().Registry(), nil)
	}
}

// DrainResult is the answer to a drain or the end of one.
type DrainResult struct {
	Target string `json:"target"`
	Host   string `json:"host"` // node beside the target
}

func (h *Handler) change(do func(context.Context, string) (string, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if err := h.authority.Check(r); err != nil {
			write(w, nil, err)
			return
		}
		target := r.PathValue("target")
		if len(target) > maxTarget {
			write(w, nil, problem(http.StatusBadRequest, fmt.Sprintf("the target's name is longer than %d bytes", maxTarget)))
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), drainTimeout)
		defer cancel()
		host, err := do(ctx, target)
		write(w, DrainResult{Target: target, Host: host}, err)
	}
}

func (h *Handler) healthz(w http.ResponseWriter, _ *http.Request) {
	if reason := h.source.Unhealthy(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ok")
}

func write(w http.ResponseWriter, v any, err error) {
	status := http.StatusOK
	if err != nil {
		p := asProblem(err)
		v, status = p, p.Status
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
