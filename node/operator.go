package node

import (
	"net/http"
	"sync"
	"time"

	"hyssopbridge/control"
	"hyssopbridge/events"
	"hyssopbridge/fleet"
	"hyssopbridge/operator"
)

// operatorSource holds the events, metrics and error budgets that this node shows
// to operators. It implements operator.Source.
type operatorSource struct {
	n           *Node
	events      *events.Log
	burnTracker *burnTracker
	metrics     *operator.Metrics

	mu           sync.Mutex
	listedAt     map[string]time.Time // time at which the ejection list of a service was received
	knownNodes   map[string]int64     // live nodes of the last view, with their incarnations
	linkFaults   map[string]bool      // link faults of the last view
	lastSnapshot *control.Snapshot    // last seen
}

func newOperatorSource(n *Node) *operatorSource {
	o := &operatorSource{n: n, listedAt: map[string]time.Time{}}
	o.events = events.NewLog(events.Config{Node: n.self.ID, Version: n.routes.Version})
	o.burnTracker = newBurnTracker(n)
	o.metrics = operator.NewMetrics()
	n.observer.resultRecorder = o.recordResult
	n.localTargets.onWait = o.metrics.RecordQueueWait
	return o
}

// operatorHandler returns the handler of the operators' HTTP API.
func (n *Node) operatorHandler() http.Handler {
	for _, l := range n.listeners {
		if l.name == "operators" {
			return operator.NewHandler(n.operator, operator.NewAuthorizer(n.settings.OperatorTokenFile, l.l.Addr()))
		}
	}
	return http.NotFoundHandler()
}

// Events implements operator.Source.
func (o *operatorSource) Events(f events.Filter) events.Page { return o.events.Find(f) }

// Unhealthy implements operator.Source.
func (o *operatorSource) Unhealthy() string {
	switch {
	case o.n.draining.Load():
		return "the node is leaving"
	case o.n.routes.Version() == 0:
		return "no configuration is known yet"
	case o.n.members.View().Superseded() != 0:
		return "another process uses this node's ID"
	}
	return ""
}

// listAgeMS returns the time since the ejection list of a service was received, in
// ms, or -1 if none was.
func (o *operatorSource) listAgeMS(service string) int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	at, ok := o.listedAt[service]
	if !ok {
		return -1
	}
	return time.Since(at).Milliseconds()
}

func findEjection(list *fleet.EjectionList, target string) *fleet.Ejection {
	if list == nil {
		return nil
	}
	for i := range list.Entries {
		if list.Entries[i].Target == target {
			return &list.Entries[i]
		}
	}
	return nil
}
