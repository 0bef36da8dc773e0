package peer

import (
	"context"
	"errors"
	"net"
	"testing"
)

type echoReq struct{ Text string }

type echoResp struct{ Text, From string }

func startServer(t *testing.T, s Settings, node string) (*Server, string) {
	t.Helper()
	srv, err := NewServer(s, Local{Node: node, Incarnation: 7})
	if err != nil {
		t.Fatal(err)
	}
	Handle(srv, "echo", func(_ context.Context, from Identity, r *echoReq) (*echoResp, error) {
		if r.Text == "fail" {
			return nil, &RemoteError{Code: "busy", Message: "later"}
		}
		return &echoResp{Text: r.Text, From: from.Node}, nil
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go srv.Serve(l)
	t.Cleanup(srv.Stop)
	return srv, l.Addr().String()
}

func newTestClient(t *testing.T, s Settings, local Local) *Client {
	t.Helper()
	c, err := NewClient(s, local)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

func echo(c *Client, addr, text string) (*echoResp, error) {
	return Call[echoReq, echoResp](context.Background(), c, addr, "echo", &echoReq{Text: text})
}

// Guards against lost headers, a wrong sender and untyped handler errors.
func TestCallCarriesHeadersAndErrors(t *testing.T) {
	_, addr := startServer(t, Settings{}, "b")
	var got []Header
	c := newTestClient(t, Settings{}, Local{Node: "a", OnHeader: func(_ Identity, h Header) { got = append(got, h) }})
	r, err := echo(c, addr, "x")
	if err != nil || r.Text != "x" || r.From != "a" {
		t.Fatalf("echo = %+v, %v", r, err)
	}
	if len(got) != 1 || got[0].Node != "b" || got[0].Incarnation != 7 {
		t.Fatalf("headers = %+v", got)
	}
	var remote *RemoteError
	if _, err = echo(c, addr, "fail"); !errors.As(err, &remote) || remote.Code != "busy" {
		t.Fatalf("handler error = %v", err)
	}
	if _, err = Call[echoReq, echoResp](context.Background(), c, addr, "none", &echoReq{}); !errors.Is(err, ErrUnknownMethod) {
		t.Fatalf("unknown method = %v", err)
	}
	_, err = Call[echoReq, echoResp](WithExpectedNode(context.Background(), "z"), c, addr, "echo", &echoReq{})
	if !errors.Is(err, ErrIdentity) {
		t.Fatalf("other node than expected = %v", err)
	}
}
