package node

import (
	"os"
	"sync"
	"time"

	"hyssopbridge/fleet"
	"hyssopbridge/health"
	"hyssopbridge/replay"
)

// traceRecorder records the traffic of one service at this node as a trace for
// hyssopctl replay. The trace begins with the first request after a target of the
// service is known. Package replay bounds its length and size.
type traceRecorder struct {
	n         *Node
	file      string
	service   string
	mu        sync.Mutex
	rec       *replay.Recorder
	startedAt time.Duration
	failed    bool
}

func (t *traceRecorder) start(service string, s health.RequestStart) {
	s.Node, s.Zone = t.n.self.ID, t.n.self.Zone
	t.record(service, func(now time.Duration) { t.rec.RecordStart(now, s) })
}

func (t *traceRecorder) end(service string, e health.RequestEnd) {
	t.record(service, func(now time.Duration) { t.rec.RecordEnd(now, e) })
}

func (t *traceRecorder) record(service string, write func(now time.Duration)) {
	if service != t.service {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.rec == nil && !t.open() {
		return
	}
	write(t.n.clock() - t.startedAt)
}

// open creates the trace file. It returns false if recording is not possible, or
// not yet.
func (t *traceRecorder) open() bool {
	cfg := replay.RecorderConfig{Service: t.service, Floor: 1, Nodes: []replay.NodeInfo{{ID: t.n.self.ID, Zone: t.n.self.Zone}}}
	if svc, ok := t.n.routes.service(t.service); ok {
		cfg.Floor = svc.Floor
	}
	for _, e := range t.n.members.View().Endpoints(t.service) {
		if e.State != fleet.Down {
			cfg.Targets = append(cfg.Targets, replay.TargetInfo{ID: e.ID, Zone: e.Node.Zone, Slots: e.Slots})
		}
	}
	if t.failed || len(cfg.Targets) == 0 {
		return false
	}
	f, err := os.Create(t.file)
	if err == nil {
		t.rec, err = replay.NewRecorder(f, cfg)
	}
	if err != nil {
		t.failed = true
		t.n.logger.WithError(err).Error("traffic is not recorded: cannot create the trace file")
		return false
	}
	t.startedAt = t.n.clock()
	return true
}
