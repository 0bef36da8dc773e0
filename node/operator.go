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

// operators holds what this node shows to operators. It implements
// operator.Source.
type operators struct {
	n       *Node
	events  *events.Log
	burner  *burner
	metrics *operator.Metrics

	mu       sync.Mutex
	listedAt map[string]time.Time // when the list of a service was received
	nodes    map[string]int64     // live nodes of the last view, with their incarnations
	faults   map[string]bool      // link faults of the last view
	snapshot *control.Snapshot    // last seen
}

func newOperators(n *Node) *operators {
	o := &operators{n: n, listedAt: map[string]time.Time{}}
	o.events = events.NewLog(events.Config{Node: n.self.ID, Version: n.routes.Version})
	o.burner = newBurner(n)
	o.metrics = operator.NewMetrics()
	n.observer.operate = o.finished
	n.local.waited = o.metrics.RecordQueueWait
	return o
}

// operatorHandler serves the operators' HTTP API.
func (n *Node) operatorHandler() http.Handler {
	for _, l := range n.listeners {
		if l.name == "operators" {
			return operator.NewHandler(n.operators, operator.NewAuthorizer(n.settings.OperatorTokenFile, l.l.Addr()))
		}
	}
	return http.NotFoundHandler()
}

// Events implements operator.Source.
func (o *operators) Events(f events.Filter) events.Page { return o.events.Find(f) }

// Unhealthy implements operator.Source.
func (o *operators) Unhealthy() string {
	switch {
	case o.n.leaving.Load():
		return "the node is leaving"
	case o.n.routes.Version() == 0:
		return "no configuration is known yet"
	case o.n.members.View().Superseded() != 0:
		return "another process uses this node's ID"
	}
	return ""
}

// listAge returns the time since the list of a service was received, in ms.
func (o *operators) listAge(service string) int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	at, ok := o.listedAt[service]
	if !ok {
		return -1
	}
	return time.Since(at).Milliseconds()
}

func entryOf(list *fleet.EjectionList, target string) *fleet.Ejection {
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
