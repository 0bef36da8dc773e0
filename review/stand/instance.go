package main

import (
	"bufio"
	"bytes"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	instanceSlots     = 5
	instanceQueue     = 48
	heartbeatInterval = 1500 * time.Millisecond
	ackTimeout        = time.Second // an acknowledgement must arrive within it
	idleTimeout       = 10 * time.Second
)

// instance stands for the application beside a node. It serves one request at a
// time on a connection, runs a number of requests at once and queues some more.
type instance struct {
	n       *node
	rec     *record
	runTime time.Duration
	// fault is asked for each request that the instance could run.
	fault func(id string) faultKind

	mu       sync.Mutex
	id       string
	born     int64
	sequence int
	leaving  bool // it has announced that it leaves, or is about to
	silent   bool // it sends no heartbeats
	busy     int
	runs     map[string][]run // by request ID
	arrivals map[string][]time.Time
	slots    chan struct{}
	listener net.Listener
	conns    map[net.Conn]bool
}

// faultKind is what an instance does to one request.
type faultKind struct {
	shed bool // it rejects the request as not executed
	copy bool // it sends a second copy of its answer, late
}

// run is one execution of a request.
type run struct {
	at       time.Time
	instance string
	service  string
}

// newInstance returns an instance that has not started.
func newInstance(n *node, id string, born int64, runTime time.Duration) *instance {
	return &instance{
		n: n, rec: n.fleet.rec, runTime: runTime, id: id, born: born, runs: map[string][]run{}, arrivals: map[string][]time.Time{},
		slots: make(chan struct{}, instanceSlots), conns: map[net.Conn]bool{},
		fault: func(string) faultKind { return faultKind{} },
	}
}

// listen starts to serve requests.
func (i *instance) listen() error {
	l, err := net.Listen("tcp4", i.n.addr(portInstance))
	if err != nil {
		return err
	}
	i.mu.Lock()
	i.listener = l
	i.mu.Unlock()
	i.rec.add("instance %s of %s starts at node %d, born %d", i.id, i.n.service, i.n.index, i.born)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			i.mu.Lock()
			i.conns[c] = true
			i.mu.Unlock()
			go i.serve(c)
		}
	}()
	return nil
}

// crash closes the listener and all connections at once.
func (i *instance) crash() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.silent = true
	if i.listener == nil {
		return
	}
	i.rec.add("instance %s at node %d crashes", i.id, i.n.index)
	i.listener.Close()
	for c := range i.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // a reset
		}
		c.Close()
	}
}

// beat sends heartbeats until the instance is silent.
func (i *instance) beat() {
	for {
		i.mu.Lock()
		silent := i.silent
		i.mu.Unlock()
		if silent {
			return
		}
		i.heartbeat()
		time.Sleep(heartbeatInterval)
	}
}

// heartbeat sends one heartbeat and reports whether it was acknowledged.
func (i *instance) heartbeat() bool {
	body := i.heartbeatBody()
	return i.call(http.MethodPut, body)
}

// heartbeatBody returns the body of the next heartbeat.
func (i *instance) heartbeatBody() string {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.sequence++
	state := "ready"
	if i.leaving {
		state = "draining"
	}
	return render("heartbeat.json", map[string]any{
		"Service": i.n.service, "Address": i.n.addr(portInstance), "Zone": i.n.zone, "Slots": instanceSlots,
		"State": state, "Sequence": i.sequence, "Born": i.born,
	})
}

// call sends a call to the control address of the instance's node and reports
// whether it was acknowledged in time.
func (i *instance) call(method, body string) bool {
	req, err := http.NewRequest(method, "http://"+i.n.addr(portControl)+name("instances-path")+i.id, strings.NewReader(body))
	if err != nil {
		return false
	}
	if body != "" {
		req.Header.Set("Content-Type", "application/json")
	}
	client := http.Client{Timeout: ackTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode/100 == 2
}

// setLeaving makes the instance say that it leaves.
func (i *instance) setLeaving() {
	i.mu.Lock()
	i.leaving = true
	i.mu.Unlock()
}

// serve serves the requests of one connection.
func (i *instance) serve(c net.Conn) {
	defer func() {
		i.mu.Lock()
		delete(i.conns, c)
		i.mu.Unlock()
		c.Close()
	}()
	br := bufio.NewReader(c)
	var late []byte // copy of an earlier answer that is still to be sent
	for {
		_ = c.SetReadDeadline(time.Now().Add(idleTimeout)) // fails with the connection
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if late != nil {
			i.rec.add("instance %s sends a late copy of an earlier answer: %q", i.id, firstLines(late))
			if _, err := c.Write(late); err != nil {
				return
			}
			late = nil
		}
		answer, again := i.handle(req)
		if answer == nil {
			return
		}
		if _, err := c.Write(answer); err != nil {
			return
		}
		if again {
			late = answer
		}
	}
}

func firstLines(b []byte) string {
	head, _, _ := bytes.Cut(b, []byte("\r\n\r\n"))
	return strings.ReplaceAll(string(head), "\r\n", "; ")
}

// handle returns the answer to a request and whether a copy of it follows late.
func (i *instance) handle(req *http.Request) (answer []byte, again bool) {
	i.mu.Lock()
	id, leaving := i.id, i.leaving
	i.mu.Unlock()
	if req.URL.Path == "/healthz" {
		status := http.StatusOK
		if leaving {
			status = http.StatusServiceUnavailable
		}
		return response(status, "", name("instance-id"), id), false
	}
	rid := req.Header.Get(name("request-id"))
	if want := req.Header.Get(name("expected-instance")); want != "" && want != id {
		return response(http.StatusMisdirectedRequest, "", name("instance-id"), id, name("request-id"), rid), false
	}
	i.mu.Lock()
	i.arrivals[rid] = append(i.arrivals[rid], time.Now())
	full := i.busy >= instanceSlots+instanceQueue
	i.mu.Unlock()
	f := i.fault(rid)
	if f.shed || full {
		i.rec.add("instance %s rejects %s as not executed", id, rid)
		return response(http.StatusServiceUnavailable, "", name("request-id"), rid, name("not-run"), "1"), f.copy
	}
	i.run(rid, id)
	body := rid + " " + req.URL.Path + "\n"
	return response(http.StatusOK, body, name("request-id"), rid, name("signature"), signature(id, rid, body)), f.copy
}

// run runs a request in a slot.
func (i *instance) run(rid, id string) {
	i.mu.Lock()
	i.busy++
	i.mu.Unlock()
	i.slots <- struct{}{}
	i.mu.Lock()
	i.runs[rid] = append(i.runs[rid], run{time.Now(), id, i.n.service})
	i.mu.Unlock()
	i.rec.add("instance %s of %s at node %d runs %s", id, i.n.service, i.n.index, rid)
	time.Sleep(i.runTime)
	<-i.slots
	i.mu.Lock()
	i.busy--
	i.mu.Unlock()
}

// response returns the bytes of an answer. pairs holds names and values of
// header fields.
func response(status int, body string, pairs ...string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for k := 0; k < len(pairs); k += 2 {
		fmt.Fprintf(&b, "%s: %s\r\n", pairs[k], pairs[k+1])
	}
	fmt.Fprintf(&b, "Keep-Alive: timeout=%d\r\n", int(idleTimeout.Seconds()))
	b.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body)
	return b.Bytes()
}

func signature(instance, rid, body string) string {
	h := fnv.New64a()
	_, _ = io.WriteString(h, instance+rid+body) // a hash does not fail
	return fmt.Sprintf("%016x", h.Sum64())
}
