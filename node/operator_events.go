package node

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"hyssopbridge/control"
	"hyssopbridge/events"
	"hyssopbridge/fleet"
	"hyssopbridge/health"
	"hyssopbridge/membership"
	"hyssopbridge/proxy"
	"hyssopbridge/resultcode"
)

// recordResult records the result of every request at this node as entry or home
// node.
func (o *operatorSource) recordResult(r *proxy.Result) {
	o.burnTracker.recordResult(r)
	if r.Hop == proxy.HopEntry {
		o.metrics.RecordRequest(r.Class, r.Service != "", r.Code, r.Ran, r.Attempts, r.Took)
	}
	if r.Code == resultcode.Answered && r.Attempts <= 1 && r.Status < http.StatusInternalServerError {
		return
	}
	kind := resultKind(r)
	if !o.events.Allow(kind) {
		return
	}
	o.events.Append(events.Event{
		Kind: kind, Service: r.Service, Target: r.Target, Request: r.ID, Hop: hopName(r.Hop),
		Reason:   resultReason(r),
		Evidence: fmt.Sprintf("route=%s class=%s attempts=%d status=%d bytes=%d took=%s", r.Route, r.Class, r.Attempts, r.Status, r.Bytes, r.Took.Round(time.Microsecond)),
	})
}

// resultKind classifies a result other than a response to the first attempt. A
// response with a 5xx status counts as a failure of the target.
func resultKind(r *proxy.Result) events.Kind {
	switch {
	case r.Code == resultcode.Answered && r.Status >= http.StatusInternalServerError:
		return events.Failure
	case r.Code == resultcode.Answered:
		return events.Retry
	case r.Ran == resultcode.RanNo:
		return events.Refusal
	}
	return events.Failure
}

func resultReason(r *proxy.Result) string {
	if r.Code == resultcode.Answered && r.Status >= http.StatusInternalServerError {
		return fmt.Sprintf("target answered with status %d", r.Status)
	}
	return r.Code.String()
}

func hopName(h proxy.Hop) string {
	if h == proxy.HopHome {
		return "home"
	}
	return "entry"
}

// recordHostResult records an event if this node, as host node, refused a request
// or did not complete its response. It reads the result from the headers of the
// response. It must be deferred, because an aborted response panics.
func (o *operatorSource) recordHostResult(id, target string, w http.ResponseWriter) {
	result := w.Header().Get(proxy.HeaderResult)
	aborted := recover()
	if aborted == nil && (result == "" || strings.HasPrefix(result, "1000 ")) {
		return
	}
	e := events.Event{Kind: events.Refusal, Request: id, Hop: "host", Reason: result}
	e.Target, _, _ = strings.Cut(target, ";")
	if t, ok := o.n.localTargets.Lookup(e.Target); ok {
		e.Service = t.Service
	}
	if aborted != nil {
		e.Kind, e.Reason = events.Failure, "answer aborted"
	} else if w.Header().Get(proxy.HeaderRan) != resultcode.RanNo.String() {
		e.Kind = events.Failure
	}
	o.events.Add(e)
	if aborted != nil {
		panic(aborted)
	}
}

// recordDecision records a decision of an arbiter on this node.
func (o *operatorSource) recordDecision(service string, d *health.Decision) {
	e := &d.Evidence
	o.events.Add(events.Event{
		Kind: decisionKind(d.Kind), Service: service, Target: d.Target, Reason: decisionReason(d),
		Evidence: fmt.Sprintf("score=%.1f/%.1f bad=%d pending=%d failures=%d nodes=%d zones=%d slowness=%.1f failed_probes=%d",
			e.Score, e.Threshold, e.Bad, e.Pending, e.Failures, e.Nodes, e.Zones, e.Slowness, e.FailedProbes),
	})
}

func decisionKind(k health.Kind) events.Kind {
	switch k {
	case health.Eject:
		return events.Ejection
	case health.Return:
		return events.Recovery
	}
	return events.Health
}

func decisionReason(d *health.Decision) string {
	text := d.Kind.String()
	for _, part := range []string{d.Node, d.Zone, d.Reason} {
		if part != "" {
			text += " " + part
		}
	}
	return text
}

// recordListChanges records the differences of two ejection lists. It leaves out
// lists of an arbiter on this node, whose decisions are recorded in more detail.
func (o *operatorSource) recordListChanges(old, list *fleet.EjectionList) {
	o.mu.Lock()
	o.listedAt[list.Service] = time.Now()
	o.mu.Unlock()
	if l, held := o.n.home.peekLease(list.Service); held && l.Epoch == list.Epoch {
		return
	}
	number := fmt.Sprintf("list %d.%d", list.Epoch, list.Seq)
	for i := range list.Entries {
		if e := &list.Entries[i]; findEjection(old, e.Target) == nil {
			o.events.Add(events.Event{Kind: events.Ejection, Service: list.Service, Target: e.Target, Reason: e.Reason, Evidence: number})
		}
	}
	if old == nil {
		return
	}
	for i := range old.Entries {
		if e := &old.Entries[i]; findEjection(list, e.Target) == nil {
			o.events.Add(events.Event{Kind: events.Recovery, Service: list.Service, Target: e.Target, Reason: "no longer on the list", Evidence: number})
		}
	}
}

// recordConfigChanges records the mandates that changed. It runs in the watcher's
// goroutine.
func (o *operatorSource) recordConfigChanges(s *control.Snapshot) {
	before := int64(0)
	if o.lastSnapshot != nil {
		before = o.lastSnapshot.Version
	}
	for m := range s.Changed(before) {
		reason := fmt.Sprintf("published, term %d, holder %s", m.Term, m.Holder)
		if m.Withdrawn {
			reason = "withdrawn: " + m.Reason
		}
		o.events.Add(events.Event{Kind: events.Manifest, Target: m.Name, Reason: reason, Evidence: fmt.Sprintf("revision=%d", m.Revision)})
	}
	o.lastSnapshot = s
}

// recordViewChanges records nodes that joined or left, and link faults. It runs in
// the reconciler's goroutine.
func (o *operatorSource) recordViewChanges(v *membership.View) {
	nodes := make(map[string]int64, v.Len())
	for _, n := range v.Nodes() {
		nodes[n.ID] = n.Incarnation
		if old, known := o.knownNodes[n.ID]; !known || old != n.Incarnation {
			o.events.Add(events.Event{Kind: events.Join, Target: n.ID, Reason: "node is alive", Evidence: fmt.Sprintf("zone=%s incarnation=%d", n.Zone, n.Incarnation)})
		}
	}
	for id := range o.knownNodes {
		if _, live := nodes[id]; !live {
			o.events.Add(events.Event{Kind: events.Leave, Target: id, Reason: "node is " + statusOf(v.Node(id))})
		}
	}
	o.knownNodes = nodes
	o.recordLinkFaults(v.LinkFaults())
}

func statusOf(n *membership.NodeView) string {
	if n == nil {
		return membership.Left.String()
	}
	return n.Status.String()
}

func (o *operatorSource) recordLinkFaults(list []string) {
	faults := make(map[string]bool, len(list))
	for _, id := range list {
		faults[id] = true
		if !o.linkFaults[id] {
			o.events.Add(events.Event{Kind: events.Link, Target: id, Reason: "this node cannot reach it, others can"})
		}
	}
	for id := range o.linkFaults {
		if !faults[id] {
			o.events.Add(events.Event{Kind: events.Link, Target: id, Reason: "the link fault ended"})
		}
	}
	o.linkFaults = faults
}
