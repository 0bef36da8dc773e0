package node

import (
	"runtime"
	"runtime/metrics"

	"hyssopbridge/events"
	"hyssopbridge/operator"
)

// Metrics implements operator.Source.
func (o *operators) Metrics() *operator.Metrics {
	o.setTraffic()
	o.setFleet()
	o.setProcess()
	return o.metrics
}

func (o *operators) setTraffic() {
	n, m := o.n, o.metrics
	m.SetGauge("in_flight_requests", int64(n.gate.InFlight()))
	for _, l := range n.listeners {
		if l.bound != nil {
			m.SetGauge("caller_connections", int64(l.bound.Open()))
			m.SetGauge("caller_connections_refused_total", l.bound.Refused())
		}
	}
	running, waiting := n.local.load()
	m.SetGauge("slots_running_requests", int64(running))
	m.SetGauge("slots_waiting_requests", int64(waiting))
	m.SetGauge("peer_connections", int64(n.client.Connections()))
	m.SetGauge("evidence_dropped_total", n.observer.dropped.Load())
}

// setFleet sets the gauges that come from the status.
func (o *operators) setFleet() {
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
	m.SetGauge("config_lag_offsets", max(0, o.n.versions.highest()-s.ConfigVersion))
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

func (o *operators) setProcess() {
	m := o.metrics
	for k := range events.NumKinds {
		added, omitted := o.events.Counts(k)
		m.SetGauge("events_total."+k.String(), added)
		m.SetGauge("events_omitted_total."+k.String(), omitted)
	}
	o.n.orders.mu.Lock()
	records, bytes := o.n.orders.store.Size()
	o.n.orders.mu.Unlock()
	m.SetGauge("order_records", int64(records))
	m.SetGauge("order_records_bytes", int64(bytes))
	m.SetGauge("burn_own_bytes", int64(o.burner.own.Bytes()))
	m.SetGauge("burn_held_bytes", int64(o.burner.held.Bytes()))
	m.SetGauge("log_lines_suppressed_total", operator.SuppressedLines())
	m.SetGauge("goroutines", int64(runtime.NumGoroutine()))
	m.SetGauge("heap_bytes", heapBytes())
}

// heapBytes does not stop the process, unlike runtime.ReadMemStats.
func heapBytes() int64 {
	sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(sample)
	return int64(sample[0].Value.Uint64())
}
