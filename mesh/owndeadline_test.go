package mesh

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"hyssopbridge/admission"
	"hyssopbridge/placement"
	"hyssopbridge/resultcode"
	"hyssopbridge/upstream"
)

// Guards against a target or host node that counts as absent or failed because a
// request's own deadline passed, or its caller left, between the connect and the
// first write.
func TestEndedRequestIsNoEvidence(t *testing.T) {
	for _, path := range orderPaths {
		for _, callerLeaves := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, caller leaves %v", path, callerLeaves), func(t *testing.T) {
				g := startTarget(t, "t")
				entry, host := startPath(t, path, g.addr)
				connected := make(chan struct{})
				outcomes := make(chan error, 1)
				host.hostNode.client = upstream.NewClient(upstream.Config{Dial: func(ctx context.Context, addr string) (net.Conn, error) {
					c, err := dialTarget(ctx, addr)
					close(connected)
					<-ctx.Done() // the process is descheduled between the connect and the write
					outcomes <- context.Cause(ctx)
					return c, err
				}})
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				req := newCallerRequest(t, entry, "/read/1", "x", nil).WithContext(ctx)
				if !callerLeaves {
					req.Header.Set("X-Left", fmt.Sprint(silentDeadline.Milliseconds()))
				}
				ended := make(chan int, 1)
				go func() {
					resp, err := http.DefaultClient.Do(req)
					if err != nil {
						ended <- 0
						return
					}
					resp.Body.Close()
					ended <- resp.StatusCode
				}()
				<-connected
				if callerLeaves {
					cancel()
				}
				// The host node's answer may come after the deadline of the entry node.
				status := <-ended
				inTime := status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout && path != orderPaths[0]
				if !callerLeaves && !inTime {
					t.Errorf("status %d of a request that was not sent, want 503", status)
				}
				<-outcomes
				if g.runCount("x") > 0 {
					t.Error("the request ran")
				}
				// The failure is recorded a little later than the dial ends.
				for end := time.Now().Add(100 * time.Millisecond); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
					ranked := entry.view.Rank(placement.Request{Service: testService})
					if len(ranked) != 1 || ranked[0].InBackoff {
						t.Fatalf("hosts of the service: %+v, want the one whose target serves", ranked)
					}
				}
			})
		}
	}
}

// Guards against an error of an exchange that counts against the target or host
// node although the request itself had ended, and against a refused connection
// that does not count.
func TestResultOfUnsentRequest(t *testing.T) {
	refused := errors.New("connection refused")
	for _, test := range []struct {
		cause error // of the end of the request's context; nil if it has not ended
		err   error
		want  resultcode.Code
		hop   resultcode.Code
		count admission.Outcome
	}{
		{nil, refused, resultcode.NoTarget, resultcode.PeerUnreachable, admission.TransportError},
		{context.DeadlineExceeded, context.DeadlineExceeded, resultcode.DeadlineTooShort, resultcode.DeadlineTooShort, admission.Neutral},
		{context.Canceled, context.Canceled, resultcode.CallerGone, resultcode.CallerGone, admission.Neutral},
	} {
		ctx, cancel := context.WithCancelCause(t.Context())
		if test.cause != nil {
			cancel(test.cause)
		}
		unsent := &upstream.Error{Stage: upstream.NotSent, Addr: "target", Err: test.err}
		result, hop, count := resultOfError(ctx, unsent), hopError(ctx, unsent), outcomeOfError(ctx, unsent)
		if result.Code != test.want || hop.Code != test.hop || result.Ran != resultcode.RanNo || hop.Ran != resultcode.RanNo || count != test.count {
			t.Errorf("%v: result %v, of a hop %v, evidence %v; want %v, %v, %v, not run", test.cause, result, hop, count, test.want, test.hop, test.count)
		}
		cancel(nil)
	}
}
