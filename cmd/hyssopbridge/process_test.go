package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"sync/atomic"
	"testing"
	"time"
)

// A request must reach a target through an entry node and a host node that run in
// separate processes.
func TestTwoProcesses(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 2)
	var served atomic.Int64
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		served.Add(1)
		fmt.Fprintf(w, "answer to %s", r.URL.Path)
	}))
	defer target.Close()
	f.announce(f.nodes[1], "belt-desk-1", "belt-desk", target.Listener.Addr().String())
	f.publish(document)
	got := f.waitStatus("http://"+f.nodes[0].listen+"/status/7", http.StatusOK)
	if got != "answer to /status/7" {
		t.Errorf("response body %q", got)
	}
	if served.Load() == 0 {
		t.Error("the target received no request")
	}
	f.waitStatus("http://"+f.nodes[0].listen+"/other", http.StatusNotFound)
}

// A planned stop of the entry node or of the host node must not truncate a
// download in progress.
func TestTerminateDuringDownload(t *testing.T) {
	t.Parallel()
	for _, stopped := range []int{0, 1} {
		t.Run(fmt.Sprintf("node%d", stopped), func(t *testing.T) { terminateDuringDownload(t, stopped) })
	}
}

func terminateDuringDownload(t *testing.T, stopped int) {
	f := newFixture(t, 2)
	const pieces, piece = 20, 32 << 10
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", fmt.Sprint(pieces*piece))
		for range pieces {
			_, _ = w.Write(bytes.Repeat([]byte("x"), piece))
			w.(http.Flusher).Flush()
			time.Sleep(100 * time.Millisecond)
		}
	}))
	defer target.Close()
	f.announce(f.nodes[1], "belt-desk-1", "belt-desk", target.Listener.Addr().String())
	f.publish(document)
	f.waitStatus("http://"+f.nodes[0].listen+"/status/7", http.StatusOK)
	resp, err := http.Get("http://" + f.nodes[0].listen + "/bundles/b")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	first := make([]byte, piece)
	if _, err := io.ReadFull(resp.Body, first); err != nil {
		t.Fatal(err)
	}
	if err := f.nodes[stopped].cmd.Process.Signal(os.Interrupt); err != nil {
		t.Fatal(err)
	}
	n, err := io.Copy(io.Discard, resp.Body)
	if err != nil || n != (pieces-1)*piece {
		t.Errorf("download truncated: %d more bytes after the signal, error %v", n, err)
	}
	if err := f.nodes[stopped].cmd.Wait(); err != nil {
		t.Errorf("node exit: %v", err)
	}
}
