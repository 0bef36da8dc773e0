package peer

import (
	"bytes"
	"context"
	"errors"
	"net"
	"strings"
	"testing"
	"time"

	"google.golang.org/grpc"
)

// Guards against a client that sends messages over the size limit, and against
// a server that accepts them from a client without that check.
func TestOversizedMessage(t *testing.T) {
	srv, addr := startServer(t, Settings{}, "b")
	c := newTestClient(t, Settings{}, Local{Node: "a"})
	if _, err := echo(c, addr, strings.Repeat("x", MaxMessageBytes)); !errors.Is(err, ErrTooLarge) {
		t.Fatalf("send: %v", err)
	}
	if _, err := echo(c, addr, "x"); err != nil {
		t.Fatal(err)
	}
	body, err := Marshal(bytes.Repeat([]byte{1}, MaxMessageBytes))
	if err != nil {
		t.Fatal(err)
	}
	cc, err := c.acquire(addr)
	if err != nil {
		t.Fatal(err)
	}
	in := &envelope{Header: Header{Node: "a", Method: "echo"}, Body: body}
	err = cc.conn.Invoke(t.Context(), fullMethod, in, new(envelope), grpc.MaxCallSendMsgSize(4*MaxMessageBytes))
	if err := callError(addr, "echo", err); !errors.Is(err, ErrTooLarge) {
		t.Fatalf("receive: %v", err)
	}
	waitFor(t, "disconnection", func() bool { return srv.Connections() == 0 })
	if _, err := echo(c, addr, "x"); !errors.Is(err, ErrRateLimit) && !errors.Is(err, ErrUnreachable) {
		t.Fatalf("call during the penalty: %v", err)
	}
}

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not seen", what)
		}
	}
}

// Guards against a sender that exceeds the rate limit, and against one that is
// still refused after its penalty.
func TestRateLimit(t *testing.T) {
	srv, addr := startServer(t, Settings{MessagesPerSecond: 20}, "b")
	c := newTestClient(t, Settings{}, Local{Node: "a"})
	good := newTestClient(t, Settings{}, Local{Node: "c"})
	var err error
	calls := 0
	for ; err == nil && calls < 10_000; calls++ {
		_, err = echo(c, addr, "x")
	}
	if !errors.Is(err, ErrRateLimit) || calls < 20 {
		t.Fatalf("after %d calls: %v", calls, err)
	}
	waitFor(t, "disconnection", func() bool { return srv.Connections() == 0 })
	if _, err := echo(good, addr, "x"); err != nil {
		t.Fatalf("other sender: %v", err)
	}
	waitFor(t, "end of the penalty", func() bool {
		_, err := echo(c, addr, "x")
		return err == nil
	})
}

// Guards against a penalty that is too short, a penalty that refused messages
// extend, and senders that share a rate limit.
func TestSenderLimits(t *testing.T) {
	s := newSenderLimits(2)
	now := time.Unix(1000, 0)
	steps := []struct {
		key   string
		after time.Duration
		want  limitResult
	}{
		{"a", 0, allowed}, {"a", 0, allowed}, {"a", 0, exceeded}, {"b", 0, allowed},
		{"a", PenaltyDuration / 2, refused}, {"a", PenaltyDuration - 1, refused}, {"a", PenaltyDuration, allowed},
		{"b", 2 * senderRetention, allowed},
	}
	for i, step := range steps {
		if got := s.countMessage(step.key, now.Add(step.after)); got != step.want {
			t.Fatalf("step %d: %v, want %v", i, got, step.want)
		}
	}
	if len(s.byKey) != 1 {
		t.Fatalf("%d senders kept, want 1", len(s.byKey))
	}
}

// Guards against more open connections than MaxConnections.
func TestConnectionLimit(t *testing.T) {
	srv, addr := startServer(t, Settings{MaxConnections: 2}, "b")
	for range 6 {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
	}
	waitFor(t, "connections", func() bool { return srv.Connections() == 2 })
	if _, err := echo(newTestClient(t, Settings{}, Local{Node: "a"}), addr, "x"); !errors.Is(err, ErrUnreachable) {
		t.Fatalf("above the limit: %v", err)
	}
}

// Guards against a dial failure that takes until the deadline of the call, and
// against a cached connection that is not renewed after a node was replaced.
func TestReplacedNode(t *testing.T) {
	srv, addr := startServer(t, Settings{}, "b")
	c := newTestClient(t, Settings{}, Local{Node: "a"})
	if _, err := echo(c, addr, "x"); err != nil {
		t.Fatal(err)
	}
	srv.Stop()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	_, err := Call[echoReq, echoResp](ctx, c, addr, "echo", &echoReq{})
	if !errors.Is(err, ErrUnreachable) || ctx.Err() != nil {
		t.Fatalf("stopped node: %v", err)
	}
	next, err := NewServer(Settings{}, Local{Node: "b2"})
	if err != nil {
		t.Fatal(err)
	}
	Handle(next, "echo", func(_ context.Context, _ Identity, r *echoReq) (*echoResp, error) { return &echoResp{}, nil })
	l, err := net.Listen("tcp", addr)
	if err != nil {
		t.Skipf("address was taken by another process: %v", err)
	}
	go next.Serve(l)
	t.Cleanup(next.Stop)
	waitFor(t, "new node", func() bool {
		_, err := echo(c, addr, "x")
		return err == nil
	})
	c.sweep(time.Now().Add(time.Hour))
	if n := c.Connections(); n != 0 {
		t.Fatalf("%d idle connections kept", n)
	}
}

// Guards against messages that exceed a limit of the decoder but are accepted.
func TestDecoderLimits(t *testing.T) {
	nested := append(bytes.Repeat([]byte{0x81}, 40), 0x01)
	many, err := Marshal(make([]int, maxElements+1))
	if err != nil {
		t.Fatal(err)
	}
	wide, err := Marshal([][]int{make([]int, maxElements), make([]int, maxElements), make([]int, maxElements), make([]int, maxElements)})
	if err != nil {
		t.Fatal(err)
	}
	text, err := Marshal(strings.Repeat("x", maxTextBytes+1))
	if err != nil {
		t.Fatal(err)
	}
	cases := map[string][]byte{
		"nesting": nested, "elements": many, "items": wide, "text": text,
		"indefinite length": {0x9f, 0x01, 0xff}, "tag": {0xc1, 0x01}, "truncated": {0x5b, 0xff},
		"string beyond the message": {0x7a, 0xff, 0xff, 0xff, 0xff},
	}
	for name, data := range cases {
		var v any
		if err := Unmarshal(data, &v); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}

// Guards against input that makes the decoder panic, and against envelopes that
// change when they are encoded and decoded again.
func FuzzDecode(f *testing.F) {
	seed, err := Marshal(&envelope{Header: Header{Node: "a", Method: "m"}, Body: []byte{0x61, 0x78}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Add([]byte{0x83, 0x80, 0xf6, 0xf6})
	f.Add([]byte{0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		var e envelope
		if Unmarshal(data, &e) != nil {
			return
		}
		reencoded, err := Marshal(&e)
		if err != nil {
			t.Fatal(err)
		}
		var second envelope
		if err := Unmarshal(reencoded, &second); err != nil {
			t.Fatalf("decode the encoded envelope: %v", err)
		}
		if second.Header != e.Header {
			t.Fatalf("header %+v became %+v", e.Header, second.Header)
		}
	})
}
