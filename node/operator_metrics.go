package node

import (
	"runtime"
	"runtime/metrics"

	"hyssopbridge/events"
	"hyssopbridge/operator"
)

// Metrics implements operator.Source.
func (o *operatorSource) Metrics() *operator.Metrics {
	o.setTraffic()
	o.setFleet()
	o.setProcess()
	return o.metrics
}

// setTraffic sets the metrics of requests and connections at this node.
func (o *operatorSource) setTraffic() {
	n, m := o.n, o.metrics
	m.SetGauge("in_flight_requests", int64(n.classLimiter.InFlight()))
	for _, l := range n.listeners {
		if l.limiter != nil {
			m.SetGauge("caller_connections", int64(l.limiter.Open()))
			m.SetGauge("caller_connections_refused_total", l.limiter.Refused())
		}
	}
	running, waiting := n.localTargets.load()
	m.SetGauge("slots_running_requests", int64(running))
	m.SetGauge("slots_waiting_requests", int64(waiting))
	m.SetGauge("peer_connections", int64(n.client.Connections()))
	m.SetGauge("evidence_dropped_total", n.observer.dropped.Load())
}

// setFleet sets the metrics of the fleet, most of which are totals of the status.
func (o *operatorSource) setFleet() {
	m := o.metrics
	s := o.Status(operator.StatusQuery{Limit: 1})
	t := &s.Totals
	for name, value := range map[string]int{
		"live_nodes": t.Nodes, "behind_nodes": t.NodesBehind, "unsound_nodes": t.NodesUnhealthy,
		"announced_targets": t.Targets, "ejected_targets": t.Ejected, "gray_targets": t.Clamped,
		"draining_targets": t.Draining, "down_targets": t.Down, "services": t.Services,
		"at_floor_services": t.AtFloor, "withdrawn_mandates": t.Withdrawn, "held_leases": t.LeasesHeld,
	} {
		m.SetGauge(name, int64(value))
	}
	m.SetGauge("uptime_ms", s.UptimeMS)
	m.SetGauge("config_version_offset", s.ConfigVersion)
	m.SetGauge("config_lag_offsets", max(0, o.n.peerVersions.highest()-s.ConfigVersion))
	m.SetGauge("log_age_ms", s.LogAgeMS)
	m.SetGauge("peer_heard_age_ms", s.HeardAgeMS)
	reader := int64(0)
	if s.LogReader {
		reader = 1
	}
	m.SetGauge("log_reader_nodes", reader)
	m.SetGauge("link_fault_nodes", int64(len(o.n.members.View().LinkFaults())))
	m.SetGauge("membership_dropped_messages_total", o.n.members.Dropped())
}

// setProcess sets the metrics of the process and of the records that it holds.
func (o *operatorSource) setProcess() {
	m := o.metrics
	for k := range events.NumKinds {
		added, omitted := o.events.Counts(k)
		m.SetGauge("events_total."+k.String(), added)
		m.SetGauge("events_omitted_total."+k.String(), omitted)
	}
	o.n.home.mu.Lock()
	records, bytes := o.n.home.store.Size()
	o.n.home.mu.Unlock()
	m.SetGauge("order_records", int64(records))
	m.SetGauge("order_records_bytes", int64(bytes))
	m.SetGauge("burn_own_bytes", int64(o.burnTracker.own.Bytes()))
	m.SetGauge("burn_held_bytes", int64(o.burnTracker.held.Bytes()))
	m.SetGauge("log_lines_suppressed_total", operator.SuppressedLines())
	m.SetGauge("goroutines", int64(runtime.NumGoroutine()))
	m.SetGauge("heap_bytes", heapBytes())
}

// heapBytes returns the size of the heap's objects. Unlike runtime.ReadMemStats it
// does not stop the process.
func heapBytes() int64 {
	sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(sample)
	return int64(sample[0].Value.Uint64())
}
