package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeatEvery = 1500 * time.Millisecond
	// unreadLimit is the time after which an instance cuts off a response that
	// remains unread.
	unreadLimit = 5 * time.Second
	queuePlaces = 4 // requests that wait at an instance beyond those it processes
	pieceBytes  = 256 << 10
)

// instance is a sound application instance.
type instance struct {
	machine  *machine
	id       string
	born     int64
	capacity int
	server   *http.Server
	slots    chan struct{}
	queue    chan struct{}
	// pace is the rate in bytes a second at which it produces long responses.
	pace int
	end  context.CancelFunc

	mu       sync.Mutex
	sequence int
	runs     map[string]int  // by request ID
	starts   []time.Duration // of the runs, since the start of the record
}

func startInstance(m *machine, capacity int) (*instance, error) {
	l, err := net.Listen("tcp4", m.addr(portInstance))
	if err != nil {
		return nil, err
	}
	ctx, end := context.WithCancel(context.Background())
	now := time.Now().UnixMilli()
	i := &instance{
		machine: m, id: fmt.Sprintf("i-%x-%s", now&0xffffff, m.name), born: now, capacity: capacity, pace: 6 << 20, end: end,
		slots: make(chan struct{}, capacity), queue: make(chan struct{}, capacity+queuePlaces), runs: map[string]int{},
	}
	i.server = &http.Server{Handler: i}
	go i.server.Serve(l)
	go i.sendHeartbeats(ctx)
	return i, nil
}

func (i *instance) close() {
	i.end()
	i.server.Close()
}

func (i *instance) sendHeartbeats(ctx context.Context) {
	tick := time.NewTicker(heartbeatEvery)
	defer tick.Stop()
	for {
		i.heartbeat(ctx)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// heartbeat sends the state once. It reports whether it was acknowledged.
func (i *instance) heartbeat(ctx context.Context) bool {
	i.mu.Lock()
	i.sequence++
	text := render("heartbeat.json", map[string]any{
		"Service": i.machine.service, "Address": i.machine.addr(portInstance), "Zone": i.machine.zone,
		"Capacity": i.capacity, "Sequence": i.sequence, "Born": i.born,
	})
	i.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+i.machine.addr(portControl)+name("instances-path")+i.id, strings.NewReader(text))
	req.Header.Set("Content-Type", "application/json")
	resp, err := plainClient.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode/100 == 2
}

// atWork returns the number of requests that the instance processes.
func (i *instance) atWork() int { return len(i.slots) }

// startedAny reports whether a run started at a time that within accepts.
func (i *instance) startedAny(within func(time.Duration) bool) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return slices.ContainsFunc(i.starts, within)
}

// ServeHTTP serves /PREFIX/SIZE/MILLISECONDS...: a response of SIZE bytes after
// that many milliseconds of work.
func (i *instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		w.Header().Set(name("instance-id"), i.id)
		return
	}
	id := r.Header.Get(name("request-id"))
	w.Header().Set(name("request-id"), id)
	expected := r.Header.Get(name("expected-instance"))
	switch {
	case expected != "" && expected != i.id:
		w.Header().Set(name("instance-id"), i.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case id == "":
		w.Header().Set(name("not-run"), "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	select {
	case i.queue <- struct{}{}:
		defer func() { <-i.queue }()
	default:
		i.refuse(w, id, "full")
		return
	}
	left := 10 * time.Second
	if n, err := strconv.Atoi(r.Header.Get(name("deadline"))); err == nil {
		left = time.Duration(n) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(r.Context(), left)
	defer cancel()
	select {
	case i.slots <- struct{}{}:
		defer func() { <-i.slots }()
	case <-ctx.Done():
		i.refuse(w, id, "its time passed in the queue")
		return
	}
	i.run(ctx, w, r, id)
}

func (i *instance) refuse(w http.ResponseWriter, id, why string) {
	i.machine.fleet.rec.line("instance %s refuses %s: %s", i.id, id, why)
	w.Header().Set(name("not-run"), "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (i *instance) run(ctx context.Context, w http.ResponseWriter, r *http.Request, id string) {
	rec := i.machine.fleet.rec
	i.mu.Lock()
	i.runs[id]++
	n := i.runs[id]
	i.starts = append(i.starts, rec.now())
	i.mu.Unlock()
	body, err := io.ReadAll(r.Body)
	rec.line("instance %s runs %s (run %d): %s %s, %d bytes, deadline %s ms", i.id, id, n, r.Method, r.URL.Path, len(body), r.Header.Get(name("deadline")))
	if err != nil {
		rec.line("instance %s drops %s: %v", i.id, id, err)
		panic(http.ErrAbortHandler)
	}
	size, work := parsePath(r.URL.Path)
	select {
	case <-time.After(work):
	case <-ctx.Done():
	}
	if ctx.Err() == context.DeadlineExceeded {
		w.Header().Set(name("signature"), "sig."+id)
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	if ctx.Err() != nil {
		rec.line("instance %s drops %s, its connection was closed", i.id, id)
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(name("signature"), "sig."+id)
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(size))
	control := http.NewResponseController(w)
	for sent := 0; sent < size; {
		piece := min(pieceBytes, size-sent)
		_ = control.SetWriteDeadline(time.Now().Add(unreadLimit))
		if _, err := w.Write(content(id, sent, piece)); err != nil || ctx.Err() != nil {
			rec.line("instance %s cuts off its response to %s after %d bytes: %v", i.id, id, sent, err)
			panic(http.ErrAbortHandler)
		}
		if sent += piece; sent < size {
			_ = control.Flush()
			time.Sleep(time.Duration(piece) * time.Second / time.Duration(i.pace))
		}
	}
	_ = control.SetWriteDeadline(time.Time{})
}

// parsePath returns the size and the work that a path asks for.
func parsePath(path string) (size int, work time.Duration) {
	parts := strings.Split(strings.Trim(path, "/"), "/")
	if len(parts) > 1 {
		size, _ = strconv.Atoi(parts[1])
	}
	if len(parts) > 2 {
		ms, _ := strconv.Atoi(parts[2])
		work = time.Duration(ms) * time.Millisecond
	}
	return size, work
}

// content returns a piece of the body of the response to a request.
func content(id string, from, n int) []byte {
	out := make([]byte, n)
	for k := range out {
		at := from + k
		out[k] = id[at%len(id)] + byte(at>>10%3)
	}
	return out
}
