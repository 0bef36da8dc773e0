package drain

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"time"

	"golang.org/x/net/bpf"
	"golang.org/x/sys/unix"
)

const (
	// idlePeriod without a new connection indicates that the accept queue is
	// empty.
	idlePeriod = 10 * time.Millisecond
	// idlePeriods is the number of consecutive idle periods required before the
	// listener closes, since the process may have been paused during one.
	idlePeriods = 2
	// drainTimeout bounds the time until the listener closes if connections keep
	// arriving.
	drainTimeout = 250 * time.Millisecond
)

// Listener is a TCP listener that can be closed without resetting the
// connections in its accept queue.
type Listener struct {
	*net.TCPListener
	drainUntil atomic.Pointer[time.Time]
}

// Listen opens a listener on an IPv4 address.
func Listen(addr string) (*Listener, error) {
	var c net.ListenConfig
	c.SetMultipathTCP(false) // MPTCP sockets do not support socket filters
	l, err := c.Listen(context.Background(), "tcp4", addr)
	if err != nil {
		return nil, err
	}
	return &Listener{TCPListener: l.(*net.TCPListener)}, nil
}

// Accept implements net.Listener. After Drain it returns the queued connections
// and then an error that wraps net.ErrClosed.
func (l *Listener) Accept() (net.Conn, error) {
	for idle := 0; ; {
		c, err := l.TCPListener.Accept()
		until := l.drainUntil.Load()
		switch {
		case err == nil:
			return c, nil
		case until == nil || !errors.Is(err, os.ErrDeadlineExceeded):
			return nil, err
		case idle >= idlePeriods || time.Now().After(*until):
			return nil, fmt.Errorf("listener on %s has drained: %w", l.Addr(), errors.Join(net.ErrClosed, l.Close()))
		}
		idle++
		if err := l.SetDeadline(time.Now().Add(idlePeriod)); err != nil {
			return nil, err
		}
	}
}

// Drain makes Accept end once the accept queue is empty. Clients that try to
// connect in the meantime are refused when the listener closes. An error means
// that the kernel cannot drop new handshakes, so a connection established while
// the listener closes may be reset.
func (l *Listener) Drain() error {
	err := l.dropNewHandshakes()
	until := time.Now().Add(drainTimeout)
	l.drainUntil.Store(&until)
	return errors.Join(err, l.SetDeadline(time.Now()))
}

// Offset and bits of the flags in a TCP header.
const (
	flagsOffset = 13
	flagSyn     = 0x02
	flagAck     = 0x10
)

// dropNewHandshakes attaches a socket filter that drops SYN packets. Handshakes
// in progress continue.
func (l *Listener) dropNewHandshakes() error {
	program, err := bpf.Assemble([]bpf.Instruction{
		bpf.LoadAbsolute{Off: flagsOffset, Size: 1},
		bpf.ALUOpConstant{Op: bpf.ALUOpAnd, Val: flagSyn | flagAck},
		bpf.JumpIf{Cond: bpf.JumpEqual, Val: flagSyn, SkipFalse: 1},
		bpf.RetConstant{Val: 0},
		bpf.RetConstant{Val: ^uint32(0)},
	})
	if err != nil {
		return err
	}
	filter := make([]unix.SockFilter, len(program))
	for i, op := range program {
		filter[i] = unix.SockFilter{Code: op.Op, Jt: op.Jt, Jf: op.Jf, K: op.K}
	}
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	var attachErr error
	err = raw.Control(func(fd uintptr) {
		attachErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER,
			&unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]})
	})
	return errors.Join(err, attachErr)
}
