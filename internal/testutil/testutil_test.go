package testutil

import (
	"net"
	"sync"
	"testing"
)

// Guards against an address that is taken when a test opens its listener: a
// probe of another call of FreeAddr, or a listener with port 0, held the port.
func TestFreeAddrStaysFree(t *testing.T) {
	const routines, addrs = 16, 100
	var wg sync.WaitGroup
	for range routines {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for range addrs {
				addr := FreeAddr(t)
				other, err := net.Listen("tcp4", net.JoinHostPort(loopback, "0"))
				if err != nil {
					t.Error(err)
					return
				}
				l, err := net.Listen("tcp4", addr)
				other.Close()
				if err != nil {
					t.Error(err)
					return
				}
				defer l.Close()
			}
		}()
	}
	wg.Wait()
}
