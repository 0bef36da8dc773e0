package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"hyssopbridge/internal/loop"
)

const (
	announceInterval = 500 * time.Millisecond
	targetSlots      = 5
	targetConns      = 300
	workTime         = 20 * time.Millisecond // mean service time of a small request
	graySlowdown     = 8                     // factor on workTime during the gray failure
	bundleBytes      = 1 << 20
	bundlePieces     = 64
	bundlePause      = 30 * time.Millisecond // between pieces of a bundle
)

// target is a simulated target.
type target struct {
	id, service    string
	announceURL    string
	server         *http.Server
	listener       net.Listener
	draining       atomic.Bool
	gray           atomic.Bool
	cancel         context.CancelFunc
	arrivals       arrivals
	lateRequests   atomic.Int64 // requests that arrived more than drainGrace after the drain started
	drainStartedAt atomic.Int64 // Unix ns; 0 if not draining
	mu             sync.Mutex
	runs           map[string]int // executions by order number
}

func startTarget(id, service, announceAddr string) (*target, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	t := &target{id: id, service: service, listener: l, runs: map[string]int{},
		announceURL: "http://" + announceAddr + "/v1/announce"}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status/{nonce}", t.status)
	mux.HandleFunc("POST /orders/{number}", t.order)
	mux.HandleFunc("GET /check", t.check)
	mux.HandleFunc("GET /bundles/{name}", t.bundle) // also HEAD
	t.server = &http.Server{Handler: t.countArrivals(mux)}
	go func() { _ = t.server.Serve(l) }()
	ctx, cancel := context.WithCancel(context.Background())
	t.cancel = cancel
	if err := t.announce(); err != nil {
		t.stop()
		return nil, err
	}
	go t.keepAnnouncing(ctx)
	return t, nil
}

func (t *target) stop() {
	t.cancel()
	_ = t.server.Close()
}

func (t *target) keepAnnouncing(ctx context.Context) {
	// A failed announcement needs no handling, because the next one follows soon.
	loop.Every(ctx, announceInterval, func() { _ = t.announce() })
}

// announcement is the body of an announcement to the target's host node.
type announcement struct {
	ID          string `json:"id"`
	Service     string `json:"service"`
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	State       string `json:"state"`
}

func (t *target) announce() error {
	a := announcement{ID: t.id, Service: t.service, Address: t.listener.Addr().String(),
		Slots: targetSlots, Connections: targetConns, State: "ready"}
	if t.draining.Load() {
		a.State = "leaving"
	}
	body, err := json.Marshal(a)
	if err != nil {
		return err
	}
	resp, err := http.Post(t.announceURL, "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= 300 {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<10))
		return fmt.Errorf("announce %s: status %d: %s", t.id, resp.StatusCode, text)
	}
	return nil
}

// startDrain announces a planned stop of the target.
func (t *target) startDrain() error {
	t.drainStartedAt.Store(time.Now().UnixNano())
	t.draining.Store(true)
	return t.announce()
}

// drainGrace is the time after which no new request may reach a draining target.
const drainGrace = 2 * time.Second

func (t *target) countArrivals(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		now := time.Now()
		t.arrivals.add(now)
		if startedAt := t.drainStartedAt.Load(); startedAt != 0 && now.UnixNano()-startedAt > int64(drainGrace) {
			t.lateRequests.Add(1)
		}
		next.ServeHTTP(w, r)
	})
}

func (t *target) simulateWork() {
	d := time.Duration(float64(workTime) * (0.5 + rand.ExpFloat64()/2))
	if t.gray.Load() {
		d *= graySlowdown
	}
	time.Sleep(d)
}

func (t *target) status(w http.ResponseWriter, r *http.Request) {
	t.simulateWork()
	echoID(w, r)
	fmt.Fprintf(w, "status of %s\n", r.PathValue("nonce"))
}

func (t *target) check(w http.ResponseWriter, r *http.Request) {
	t.simulateWork()
	echoID(w, r)
	_, _ = io.WriteString(w, "calibrated\n")
}

func (t *target) order(w http.ResponseWriter, r *http.Request) {
	number := r.PathValue("number")
	t.mu.Lock()
	t.runs[number]++
	t.mu.Unlock()
	t.simulateWork()
	echoID(w, r)
	fmt.Fprintf(w, "confirmed %s\n", number)
}

func echoID(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
}

// bundleByte returns the byte at offset i of every bundle.
func bundleByte(i int) byte { return byte(i*7 + i>>8) }

var bundleContent = func() []byte {
	b := make([]byte, bundleBytes)
	for i := range b {
		b[i] = bundleByte(i)
	}
	return b
}()

func (t *target) bundle(w http.ResponseWriter, r *http.Request) {
	echoID(w, r)
	w.Header().Set("Etag", `"v1-`+r.PathValue("name")+`"`)
	http.ServeContent(&pacedWriter{ResponseWriter: w, gray: &t.gray}, r, "", time.Time{}, bytes.NewReader(bundleContent))
}

// pacedWriter writes a body in pieces with pauses, so that the download of a bundle
// takes some seconds.
type pacedWriter struct {
	http.ResponseWriter
	gray *atomic.Bool
}

func (p *pacedWriter) Write(b []byte) (int, error) {
	total := 0
	for len(b) > 0 {
		n := min(len(b), bundleBytes/bundlePieces)
		m, err := p.ResponseWriter.Write(b[:n])
		total += m
		if err != nil {
			return total, err
		}
		b = b[n:]
		pause := bundlePause
		if p.gray.Load() {
			pause *= 3
		}
		time.Sleep(pause)
	}
	return total, nil
}

// orderCounts adds the target's executions by order number to all.
func (t *target) orderCounts(all map[string]int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for number, n := range t.runs {
		all[number] += n
	}
}

func orderNumber(caller, i int) string { return strconv.Itoa(caller) + "-" + strconv.Itoa(i) }
