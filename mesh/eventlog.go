package mesh

import (
	"time"

	"github.com/apex/log"

	"hyssopbridge/admission"
	"hyssopbridge/config/dynamic"
	"hyssopbridge/resultcode"
	"hyssopbridge/upstream"
)

// eventLog writes a log line for each decision that affects a request or
// changes the node's view of the fleet. Requests that succeed at the first
// attempt are not logged; the metrics count them.
type eventLog struct{ log log.Interface }

func (l *eventLog) requestFailed(id string, route *dynamic.Route, err error, took time.Duration) {
	f := log.Fields{"request": id, "took_ms": took.Milliseconds(), "error": err.Error()}
	if route != nil {
		f["route"], f["priority"], f["objective_ms"] = route.Name, route.Priority, route.Objective.Milliseconds()
	}
	if resultErr, ok := err.(*resultcode.Error); ok {
		f["code"], f["ran"] = int(resultErr.Code), resultErr.Ran.String()
	}
	l.log.WithFields(f).Warn("request failed")
}

// sending identifies one sending of a request on both sides of a connection.
type sending struct {
	reservation string // ID of the reservation between two nodes; empty on one node
	upstream.Trace
}

func (s sending) addTo(f log.Fields) log.Fields {
	f["reservation"], f["reused"], f["sent_bytes"], f["conn"] = s.reservation, s.Reused, s.Written, ""
	if s.LocalAddr != nil {
		f["conn"] = s.LocalAddr.String()
	}
	return f
}

func (l *eventLog) attemptFailed(id string, t reservedTarget, resultErr *resultcode.Error, tried int, left time.Duration) {
	f := log.Fields{
		"request": id, "host": t.addr, "target": t.target, "code": int(resultErr.Code), "ran": resultErr.Ran.String(),
		"targets_tried": tried, "left_ms": left.Milliseconds(), "error": resultErr.Error(),
	}
	if r, ok := t.reservation.(*remoteReservation); ok {
		f = sending{r.reservationID, r.trace}.addTo(f)
	}
	l.log.WithFields(f).Info("attempt failed")
}

// notRetried logs why a request that failed at a target was not retried at
// another.
func (l *eventLog) notRetried(id, service string, reason *resultcode.Error, tried int, left time.Duration) {
	l.log.WithFields(log.Fields{
		"request": id, "service": service, "code": int(reason.Code), "targets_tried": tried,
		"left_ms": left.Milliseconds(), "error": reason.Error(),
	}).Info("request not sent again")
}

// waitedForBudget logs how a wait for retry budget ended.
func (l *eventLog) waitedForBudget(id, service, end string, waited time.Duration, ahead int, left time.Duration) {
	l.log.WithFields(log.Fields{
		"request": id, "service": service, "budget_wait": end, "waited_ms": waited.Milliseconds(), "ahead": ahead, "left_ms": left.Milliseconds(),
	}).Info("request waited for retry budget")
}

// hedged logs that a request was sent to a second target because its first
// attempt is overdue.
func (l *eventLog) hedged(id, addr, target string, elapsed, left time.Duration) {
	l.log.WithFields(log.Fields{
		"request": id, "host": addr, "target": target, "open_ms": elapsed.Milliseconds(), "left_ms": left.Milliseconds(),
	}).Info("request is overdue, sent to another target")
}

// leftQueue logs that a request left the queue of a host that is not heard of.
func (l *eventLog) leftQueue(id, addr string, left time.Duration) {
	l.log.WithFields(log.Fields{"request": id, "host": addr, "left_ms": left.Milliseconds()}).Info("host is silent, request leaves its queue")
}

func (l *eventLog) hostNotReached(id, addr string, err error) {
	l.log.WithFields(log.Fields{"request": id, "host": addr, "error": err.Error()}).Info("host node not reached")
}

// targetFailure describes an exchange without a response for the caller.
type targetFailure struct {
	outcome admission.Outcome
	err     error
	took    time.Duration
	trial   bool
	resent  bool // the target had refused the same request before
	sending sending
}

func (l *eventLog) targetFailed(id string, r admission.Request, f targetFailure) {
	l.log.WithFields(f.sending.addTo(log.Fields{
		"request": id, "target": r.Target, "entry_zone": r.Zone, "trial": f.trial, "resent": f.resent,
		"evidence": f.outcome.String(), "took_ms": f.took.Milliseconds(), "error": f.err.Error(),
	})).Info("target failed a request")
}

func (l *eventLog) memoryRevoked(held int64, behind time.Duration) {
	l.log.WithFields(log.Fields{"held_bytes": held, "behind_ms": behind.Milliseconds()}).Warn("memory limit: slow transfer ended")
}

// connectionLimit logs that a connection was closed for others or refused.
func (l *eventLog) connectionLimit(listener, action, ip string) {
	l.log.WithFields(log.Fields{"connections": listener, "action": action, "ip": ip}).Warn("connection limit")
}

func (l *eventLog) targetStatus(s admission.Status) {
	l.log.WithFields(log.Fields{
		"target": s.Target, "service": s.Service, "phase": s.Phase.String(), "gray": s.Ejected, "returning": s.Recovering,
		"stopping": s.Stopping, "running": s.Running, "waiting": s.Waiting,
	}).Info("target status changed")
}

// configInForce logs a configuration of size bytes that took decoding to decode.
func (l *eventLog) configInForce(version, before int64, routes, size int, decoding time.Duration, source string) {
	l.log.WithFields(log.Fields{
		"version": version, "before": before, "routes": routes, "bytes": size, "decode_ms": decoding.Milliseconds(), "source": source,
	}).Info("configuration in force")
}

func (l *eventLog) storeEra(era, before int64) {
	l.log.WithFields(log.Fields{"era": era, "before": before}).Info("era of the store")
}

// configRefused logs a configuration that was not accepted; version inForce stays
// in force.
func (l *eventLog) configRefused(inForce int64, source string, err error) {
	l.log.WithFields(log.Fields{"in_force": inForce, "source": source, "error": err.Error()}).Error("configuration refused")
}

// configNotFetched logs a transfer that failed after received bytes.
func (l *eventLog) configNotFetched(inForce int64, source string, received int, took time.Duration, err error) {
	l.log.WithFields(log.Fields{
		"in_force": inForce, "source": source, "received_bytes": received, "took_ms": took.Milliseconds(), "error": err.Error(),
	}).Warn("configuration not fetched")
}

func (l *eventLog) suspended(gap time.Duration) {
	l.log.WithField("gap_ms", gap.Milliseconds()).Warn("process was suspended, version is unconfirmed")
}

func (l *eventLog) peerChanged(addr, zone, event string, silent time.Duration) {
	l.log.WithFields(log.Fields{"host": addr, "zone": zone, "silent_ms": silent.Milliseconds()}).Info(event)
}
