package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	requestDeadline = 3 * time.Second
	numClients      = 8 // of each node
	requestPause    = 40 * time.Millisecond
)

// sendRequests lets the clients of all nodes send requests for a time. Each client
// keeps its connection and sends one request at a time.
func (f *fleet) sendRequests(method, path string, length time.Duration) {
	end := time.Now().Add(length)
	var wg sync.WaitGroup
	for _, n := range f.nodes {
		for c := range numClients {
			wg.Go(func() {
				client := &http.Client{Transport: &http.Transport{DisableCompression: true}, Timeout: 2 * requestDeadline}
				for k := 0; time.Now().Before(end); k++ {
					id := fmt.Sprintf("%s-%d-%d", strings.TrimPrefix(n.name, "sidecar-"), c, k)
					f.send(client, n, method, path, id)
					time.Sleep(requestPause)
				}
				client.CloseIdleConnections()
			})
		}
	}
	wg.Wait()
}

// send sends one request and records its answer.
func (f *fleet) send(client *http.Client, n *node, method, path, id string) {
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("order " + id)
	}
	req, err := http.NewRequest(method, "http://"+n.addr(portOutbound)+path, body)
	if err != nil {
		f.rec.note("cannot build %s: %v", id, err)
		return
	}
	req.Host = testHost
	req.Header.Set(names["request"], id)
	req.Header.Set(names["deadline"], fmt.Sprint(requestDeadline.Milliseconds()))
	f.rec.note("send %s: %s %s to %s", id, method, path, n.name)
	resp, err := client.Do(req)
	if err != nil {
		f.rec.answered(id, answer{body: err.Error()})
		return
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		f.rec.answered(id, answer{body: err.Error()})
		return
	}
	f.rec.answered(id, answer{status: resp.StatusCode, signature: resp.Header.Get(names["signature"]), body: string(b)})
}
