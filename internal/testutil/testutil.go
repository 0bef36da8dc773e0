// Package testutil provides free network addresses and polling for tests.
package testutil

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"
)

// loopback is a loopback address derived from the process ID, so that test
// binaries of different packages that run in parallel do not compete for ports.
// It holds all 22 bits of a process ID: with fewer, binaries that run at the same
// time could share it.
var loopback = fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()>>16&0x3f, os.Getpid()>>8&0xff, os.Getpid()&0xff)

// Ports that FreeAddr returns. They are below the range from which systems
// choose ports themselves (from 32768 on Linux), so that no listener with port 0
// can take one before the test has opened its own.
const (
	firstPort = 10000
	lastPort  = 32767
)

var (
	mu       sync.Mutex
	nextPort = firstPort // guarded by mu
)

// FreeAddr returns an IP:port that is free for TCP and UDP. Within a process it
// returns and probes each address at most once: a second probe could take the
// port in the moment in which a test opens its listener there.
func FreeAddr(t testing.TB) string {
	t.Helper()
	mu.Lock()
	defer mu.Unlock()
	for ; nextPort <= lastPort; nextPort++ {
		addr := net.JoinHostPort(loopback, strconv.Itoa(nextPort))
		l, err := net.Listen("tcp4", addr)
		if err != nil {
			continue
		}
		c, err := net.ListenPacket("udp4", addr)
		l.Close()
		if err != nil {
			continue
		}
		c.Close()
		nextPort++
		return addr
	}
	t.Fatalf("all ports of %s have been returned", loopback)
	return ""
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
