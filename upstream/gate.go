package upstream

import (
	"io"
	"sync"
)

// gate is a request body whose reads block until the server asks for the body.
type gate struct {
	rc        io.ReadCloser
	openOnce  sync.Once
	opened    chan struct{}
	aborted   chan struct{}
	abortOnce sync.Once
}

func newGate(rc io.ReadCloser) *gate {
	return &gate{rc: rc, opened: make(chan struct{}), aborted: make(chan struct{})}
}

func (g *gate) open()  { g.openOnce.Do(func() { close(g.opened) }) }
func (g *gate) abort() { g.abortOnce.Do(func() { close(g.aborted) }) }

// Read implements io.Reader.
func (g *gate) Read(p []byte) (int, error) {
	select {
	case <-g.opened:
	default:
		select {
		case <-g.opened:
		case <-g.aborted:
			return 0, errAborted
		}
	}
	return g.rc.Read(p)
}

// Close implements io.Closer.
func (g *gate) Close() error { return nil }
