package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	heartbeatInterval = time.Second
	instanceCapacity  = 5
	runTime           = 15 * time.Millisecond
)

// instanceFaults says how the faulty instance behaves. Each function may be nil.
type instanceFaults struct {
	// status is that of the answer to the nth request of the instance: 200 or 500
	// after a run, 503 for a request that is refused without a run.
	status func(n int64) int
	// extra are the bytes that the instance sends on a connection between two
	// answers, right in front of the next one. Only while it is garbling.
	extra func(previous, next string) string
}

// maxExtraShare bounds the answers in front of which the faulty instance sends
// extra bytes.
const maxExtraShare = 0.03

// instance stands for the application instance beside a node. It speaks HTTP on
// plain connections, so that it can send bytes that belong to no request.
type instance struct {
	id       string
	node     *node
	rec      *recorder
	faults   instanceFaults
	faulty   bool
	listener net.Listener
	requests atomic.Int64
	// garbling is set while the instance sends extra bytes. answered and extras
	// count its answers meanwhile, and those with extra bytes in front.
	garbling         atomic.Bool
	answered, extras atomic.Int64
	born             int64
	stopped          chan struct{}
	stopOnce         sync.Once
}

// startInstance starts the instance of a node. Only that of the first one is faulty.
func startInstance(n *node, rec *recorder, faults instanceFaults) (*instance, error) {
	l, err := net.Listen("tcp4", n.addr(portInstance))
	if err != nil {
		return nil, err
	}
	i := &instance{
		id: fmt.Sprintf("i-%08x", rand.Uint32()), node: n, rec: rec, faults: faults,
		faulty: strings.HasSuffix(n.name, "-1"), listener: l, born: time.Now().UnixMilli(), stopped: make(chan struct{}),
	}
	rec.note("instance %s is beside node %s, faulty: %v", i.id, n.name, i.faulty)
	go i.accept()
	go i.sendHeartbeats()
	return i, nil
}

func (i *instance) stop() {
	i.stopOnce.Do(func() {
		close(i.stopped)
		i.listener.Close()
	})
}

// sendHeartbeats sends heartbeats until the instance is stopped.
func (i *instance) sendHeartbeats() {
	client := http.Client{Timeout: time.Second}
	for sequence := 1; ; sequence++ {
		body := fill(heartbeatText, "SERVICE", serviceName, "ADDRESS", i.node.addr(portInstance),
			"CAPACITY", fmt.Sprint(instanceCapacity), "SEQUENCE", fmt.Sprint(sequence), "BORN", fmt.Sprint(i.born))
		req, err := http.NewRequest(http.MethodPut, "http://"+i.node.addr(portControl)+names["instances"]+i.id, strings.NewReader(body))
		if err == nil {
			if resp, err := client.Do(req); err == nil { // the next one follows if it fails
				resp.Body.Close()
			}
		}
		select {
		case <-time.After(heartbeatInterval):
		case <-i.stopped:
			return
		}
	}
}

func (i *instance) accept() {
	for {
		c, err := i.listener.Accept()
		if err != nil {
			return
		}
		go i.serve(c)
	}
}

// serve answers the requests of one connection, one at a time.
func (i *instance) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	previous := ""
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		text := i.answer(req)
		head := i.extraBytes(previous, text)
		if head != "" {
			i.rec.note("extra bytes of %s on %s in front of its answer to %s: %q", i.id, c.RemoteAddr(), req.Header.Get(names["request"]), head)
		}
		if _, err := io.WriteString(c, head+text); err != nil {
			return
		}
		previous = text
	}
}

// extraBytes returns the bytes that the instance sends in front of its next answer
// on a connection, after the previous one there.
func (i *instance) extraBytes(previous, next string) string {
	if !i.garbling.Load() {
		return ""
	}
	answered := i.answered.Add(1)
	if previous == "" {
		return ""
	}
	head := i.faults.extra(previous, next)
	if head != "" && float64(i.extras.Add(1)) > maxExtraShare*float64(answered) {
		i.extras.Add(-1)
		return ""
	}
	return head
}

// answer runs or refuses a request and returns the text of the answer.
func (i *instance) answer(req *http.Request) string {
	id := req.Header.Get(names["request"])
	switch {
	case req.URL.Path == "/healthz":
		return "HTTP/1.1 200 OK\r\n" + names["instance"] + ": " + i.id + "\r\nContent-Length: 0\r\n\r\n"
	case req.Header.Get(names["expected"]) != i.id:
		return "HTTP/1.1 421 Misdirected Request\r\n" + names["instance"] + ": " + i.id + "\r\nContent-Length: 0\r\n\r\n"
	}
	status := http.StatusOK
	if i.faulty && i.faults.status != nil {
		status = i.faults.status(i.requests.Add(1))
	}
	if status == http.StatusServiceUnavailable {
		i.rec.note("refused %s at %s", id, i.id)
		return "HTTP/1.1 503 Service Unavailable\r\n" + names["notrun"] + ": 1\r\n" + names["request"] + ": " + id + "\r\nContent-Length: 0\r\n\r\n"
	}
	time.Sleep(runTime)
	i.rec.ran(id, i.id, status)
	body := fmt.Sprintf("%s answered %s with %d", i.id, id, status)
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), names["request"], id, names["signature"], signature(i.id, id, status), len(body), body)
}

// signature is that of an instance's answer.
func signature(instance, id string, status int) string {
	return fmt.Sprintf("%s.%s.%d", instance, id, status)
}
