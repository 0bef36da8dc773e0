package operator

// Metric kinds.
const (
	kindCounter   = "counter"
	kindGauge     = "gauge"
	kindHistogram = "histogram"
)

// Definition describes a metric. In a name, CLASS stands for a request class or
// "none" for requests without a route, CODE for a result code, METHOD for an
// RPC method between nodes or "other", and KIND for an event kind.
type Definition struct {
	Name    string
	Kind    string
	Unit    string
	Meaning string
}

// Definitions returns every metric of a node.
func Definitions() []Definition { return append([]Definition(nil), definitions...) }

var definitions = []Definition{
	{"requests_total.CLASS.CODE", kindCounter, "requests", "Requests of callers by result; codes are in RESULT_CODES.md."},
	{"refusals_total.CLASS", kindCounter, "requests", "Requests that ended with proof that they were not run."},
	{"retries_total.CLASS", kindCounter, "attempts", "Attempts after the first."},
	{"request_latency_us.CLASS", kindHistogram, "µs", "Time from the arrival of a request to the end of its answer; recent requests weigh more."},
	{"queue_wait_us", kindHistogram, "µs", "Wait for a slot of a target beside this node."},
	{"peer_calls_total.METHOD", kindCounter, "calls", "Calls between nodes, sent and served. Gossip is the method membership."},
	{"peer_received_bytes_total.METHOD", kindCounter, "bytes", "Bodies received in calls between nodes."},
	{"peer_sent_bytes_total.METHOD", kindCounter, "bytes", "Bodies sent in calls between nodes."},

	{"uptime_ms", kindGauge, "ms", "Time since the process started."},
	{"in_flight_requests", kindGauge, "requests", "Requests of callers that this node is handling."},
	{"caller_connections", kindGauge, "connections", "Open connections of callers."},
	{"caller_connections_refused_total", kindGauge, "connections", "Connections of callers closed because of a bound."},
	{"peer_connections", kindGauge, "connections", "Control connections to other nodes."},
	{"slots_running_requests", kindGauge, "requests", "Requests at the targets beside this node."},
	{"slots_waiting_requests", kindGauge, "requests", "Requests that wait for a slot beside this node."},
	{"config_version_offset", kindGauge, "log offset", "Configuration in force here; 0 for none."},
	{"config_lag_offsets", kindGauge, "log offsets", "Distance to the newest configuration that a peer stated."},
	{"log_age_ms", kindGauge, "ms", "Time since the head of the log was last confirmed; -1 for never."},
	{"log_reader_nodes", kindGauge, "nodes", "1 if this node reads the log for its region, else 0."},
	{"peer_heard_age_ms", kindGauge, "ms", "Time since the last message of another node; -1 for never."},
	{"live_nodes", kindGauge, "nodes", "Nodes that are neither dead nor left, with this one."},
	{"behind_nodes", kindGauge, "nodes", "Live nodes whose stated configuration is older than the newest known."},
	{"unsound_nodes", kindGauge, "nodes", "Nodes that are suspect, dead, leaving, or behind a link fault."},
	{"link_fault_nodes", kindGauge, "nodes", "Nodes that only this node cannot reach."},
	{"membership_dropped_messages_total", kindGauge, "messages", "Gossip messages not sent because too many were in progress."},
	{"announced_targets", kindGauge, "targets", "Targets known in the fleet."},
	{"ejected_targets", kindGauge, "targets", "Targets that this node withholds by the ejection lists."},
	{"gray_targets", kindGauge, "targets", "Ejected targets that the floor keeps in service."},
	{"draining_targets", kindGauge, "targets", "Targets that take no new work."},
	{"down_targets", kindGauge, "targets", "Targets that are no longer announced."},
	{"services", kindGauge, "services", "Services of live mandates or with targets."},
	{"at_floor_services", kindGauge, "services", "Services whose targets in service are at or below the floor."},
	{"withdrawn_mandates", kindGauge, "mandates", "Mandates that are withdrawn."},
	{"held_leases", kindGauge, "services", "Services whose lease this node holds as a member of the home group."},
	{"order_records", kindGauge, "records", "Records of keyed orders held as home."},
	{"order_records_bytes", kindGauge, "bytes", "Memory of the answers in these records."},
	{"events_total.KIND", kindGauge, "events", "Events noted."},
	{"events_omitted_total.KIND", kindGauge, "events", "Events left out by the rate bound."},
	{"evidence_dropped_total", kindGauge, "events", "Observations of targets dropped under overload."},
	{"burn_own_bytes", kindGauge, "bytes", "Memory of this node's own slots of the burn report."},
	{"burn_held_bytes", kindGauge, "bytes", "Memory of other nodes' slots."},
	{"log_lines_suppressed_total", kindGauge, "lines", "Log lines of this process suppressed by the rate bound."},
	{"goroutines", kindGauge, "goroutines", "Goroutines of the process."},
	{"heap_bytes", kindGauge, "bytes", "Heap in use by the process."},
}
