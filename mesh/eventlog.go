package mesh

import (
	"time"

	"github.com/apex/log"

	"hyssopbridge/admission"
	"hyssopbridge/config/dynamic"
	"hyssopbridge/resultcode"
)

// journal writes a log line for each decision that touches a request or changes
// what the node believes. Requests that were answered at the first attempt have
// no line; they are found by the counters.
type journal struct{ log log.Interface }

func (j *journal) requestFailed(id string, route *dynamic.Route, err error, took time.Duration) {
	f := log.Fields{"request": id, "took_ms": took.Milliseconds(), "error": err.Error()}
	if route != nil {
		f["route"], f["priority"], f["objective_ms"] = route.Name, route.Priority, route.Objective.Milliseconds()
	}
	if res, ok := err.(*resultcode.Error); ok {
		f["code"], f["ran"] = int(res.Code), res.Ran.String()
	}
	j.log.WithFields(f).Warn("request failed")
}

func (j *journal) attemptFailed(id, addr, target string, res *resultcode.Error, tried int, left time.Duration) {
	j.log.WithFields(log.Fields{
		"request": id, "host": addr, "target": target, "code": int(res.Code), "ran": res.Ran.String(),
		"targets_tried": tried, "left_ms": left.Milliseconds(), "error": res.Error(),
	}).Info("attempt failed")
}

// notSentAgain tells why a request that failed at a target got no other one.
func (j *journal) notSentAgain(id, service string, why *resultcode.Error, tried int, left time.Duration) {
	j.log.WithFields(log.Fields{
		"request": id, "service": service, "code": int(why.Code), "targets_tried": tried,
		"left_ms": left.Milliseconds(), "error": why.Error(),
	}).Info("request not sent again")
}

// hedged tells that a request was sent to a second target, since the first one
// is overdue.
func (j *journal) hedged(id, addr, target string, open, left time.Duration) {
	j.log.WithFields(log.Fields{
		"request": id, "host": addr, "target": target, "open_ms": open.Milliseconds(), "left_ms": left.Milliseconds(),
	}).Info("request is overdue, sent to another target")
}

func (j *journal) pathFailed(id, addr string, err error) {
	j.log.WithFields(log.Fields{"request": id, "host": addr, "error": err.Error()}).Info("host node not reached")
}

func (j *journal) targetFailed(id string, r admission.Request, trial bool, e admission.Outcome, err error, took time.Duration) {
	j.log.WithFields(log.Fields{
		"request": id, "target": r.Target, "entry_zone": r.Zone, "trial": trial,
		"evidence": e.String(), "took_ms": took.Milliseconds(), "error": err.Error(),
	}).Info("target failed a request")
}

func (j *journal) targetStatus(s admission.Status) {
	j.log.WithFields(log.Fields{
		"target": s.Target, "service": s.Service, "phase": s.Phase.String(), "gray": s.Ejected, "returning": s.Recovering,
		"stopping": s.Stopping, "running": s.Running, "waiting": s.Waiting,
	}).Info("target status changed")
}

func (j *journal) configInForce(version, before int64, routes int, source string) {
	j.log.WithFields(log.Fields{"version": version, "before": before, "routes": routes, "source": source}).Info("configuration in force")
}

func (j *journal) configRefused(version int64, source string, err error) {
	j.log.WithFields(log.Fields{"version": version, "source": source, "error": err.Error()}).Warn("configuration refused")
}

func (j *journal) peer(addr, zone, event string, silent time.Duration) {
	j.log.WithFields(log.Fields{"host": addr, "zone": zone, "silent_ms": silent.Milliseconds()}).Info(event)
}
