package mesh

import (
	"context"
	"net/http"
	"testing"

	"hyssopbridge/admission"
)

// Guards against reads that are refused for want of room while a gray target,
// which might have recovered, has free slots; and against an order that is sent
// there, where it would probably end with an unknown outcome.
func TestGrayTargetIsLastResort(t *testing.T) {
	gray, full := startTarget(t, "gray"), startTarget(t, "full")
	ng, nf := startNode(t, gray), startNode(t, full)
	connect(t, ng, nf)
	for _, n := range []*Node{ng, nf} {
		_ = n.SetConfig([]byte("1 1000"), "test")
		n.SetRetryPolicy(RetryPolicy{}) // no read may be a trial
	}
	reserve := func(n *Node) *admission.Reservation {
		ticket, why := n.gate.Reserve(context.Background(), admission.Request{Service: testService, AllowUntested: true})
		if ticket == nil {
			t.Fatalf("not reserved: %s", why)
		}
		ticket.Claim()
		return ticket
	}
	reserve(ng).Release(admission.TransportError)
	for range 4 {
		reserve(nf)
	}
	wantReply(t, send(t, ng, "/read/1", "r"), http.StatusOK, "body of r")
	if gray.runs("r") != 1 {
		t.Errorf("the gray target got the read %d times", gray.runs("r"))
	}
	got := send(t, ng, "/order/1", "o")
	wantReply(t, got, http.StatusServiceUnavailable, "")
	if gray.runs("o") != 0 || got.header.Get(headerRan) != "no" {
		t.Errorf("the gray target got the order %d times, the answer says ran %q", gray.runs("o"), got.header.Get(headerRan))
	}
}
