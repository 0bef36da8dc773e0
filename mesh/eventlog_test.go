package mesh

import (
	"net/http"
	"testing"

	"github.com/apex/log/handlers/memory"

	"hyssopbridge/resultcode"
)

// Guards against a failed read whose log does not say why it was not retried.
func TestLogStatesWhyNotRetried(t *testing.T) {
	h := memory.New()
	bad, good := startTarget(t, "bad"), startTarget(t, "good")
	nb := startNodeLogging(t, "z", bad, h)
	ng := startNode(t, good)
	connectNodes(t, nb, ng)
	for _, n := range []*Node{nb, ng} {
		setConfig(t, "1", n)
		n.SetRetryPolicy(RetryPolicy{})
	}
	bad.setHandler(resetConnection)
	good.setHandler(resetConnection)
	wantResponse(t, send(t, nb, "/read/1", "r"), http.StatusBadGateway, "")
	for _, e := range h.Entries {
		if e.Message == "request not sent again" && e.Fields["request"] == "r" {
			if e.Fields["code"] != int(resultcode.RetryBudgetSpent) {
				t.Errorf("log fields %v", e.Fields)
			}
			return
		}
	}
	t.Error("no log line states why the request was not retried")
}
