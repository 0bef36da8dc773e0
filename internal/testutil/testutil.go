// Package testutil provides free network addresses and polling for tests.
package testutil

import (
	"fmt"
	"net"
	"os"
	"sync"
	"testing"
	"time"
)

// loopback is a loopback address derived from the process ID, so that test
// binaries of different packages that run in parallel do not compete for ports.
var loopback = fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()>>16&0x3f, os.Getpid()>>8&0xff, 1+os.Getpid()&0x7f)

// allocated holds the addresses that FreeAddr has returned. The system may
// choose the same port again until the test has opened its listener.
var allocated sync.Map

// FreeAddr returns an IP:port that is free for TCP and UDP. It returns each
// address at most once per process.
func FreeAddr(t testing.TB) string {
	t.Helper()
	for {
		l, err := net.Listen("tcp4", net.JoinHostPort(loopback, "0"))
		if err != nil {
			t.Fatal(err)
		}
		addr := l.Addr().String()
		c, err := net.ListenPacket("udp4", addr)
		l.Close()
		if err != nil {
			continue
		}
		c.Close()
		if _, taken := allocated.LoadOrStore(addr, true); !taken {
			return addr
		}
	}
}

const eventuallyTimeout = 15 * time.Second

// Eventually polls until ok returns true, and fails the test after
// eventuallyTimeout. what describes the expected condition.
func Eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(eventuallyTimeout); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("condition not met: %s", what)
}
