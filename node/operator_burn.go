package node

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hyssopbridge/burn"
	"hyssopbridge/config/manifest"
	"hyssopbridge/membership"
	"hyssopbridge/peer"
	"hyssopbridge/proxy"
	"hyssopbridge/resultcode"
	"hyssopbridge/routing"
)

const (
	// burnCopyInterval is short enough that the replacement of a node loses at
	// most 60 s of counts, even if one copy is lost.
	burnCopyInterval = 28 * time.Second
	// burnReplicaCount is the number of other nodes that keep copies.
	burnReplicaCount = 2
	// maxBurnMessageBytes is the maximum size of the intervals in one copy message.
	maxBurnMessageBytes = 256 << 10
	// Memory for the intervals of this node and for the copies of other nodes'
	// intervals.
	burnOwnBytes  = 8 << 20
	burnHeldBytes = 16 << 20
	// maxBurnReportBytes is the maximum size of the intervals in a report to operators.
	maxBurnReportBytes = 16 << 20
	// maxCopiedIntervals is the maximum number of intervals in one copy message.
	maxCopiedIntervals = 4096
)

// burnCopyRequest carries intervals of the sender to a node that keeps copies.
type burnCopyRequest struct {
	Intervals []burn.PackedInterval `cbor:"1,keyasint"`
}

type burnCopyResponse struct{}

// burnTracker counts this node's requests by interval (see package burn) and keeps
// copies of other nodes' intervals.
type burnTracker struct {
	n        *Node
	own      *burn.Store
	held     *burn.Store
	recorder *burn.Recorder
	// replicas holds what each node that keeps copies has confirmed. It is used
	// by the goroutine of run only.
	replicas map[string]*burnReplica
}

type burnReplica struct {
	incarnation int64
	confirmed   map[burn.Key]uint64
}

func newBurnTracker(n *Node) *burnTracker {
	b := &burnTracker{n: n, own: burn.NewStore(burnOwnBytes), held: burn.NewStore(burnHeldBytes), replicas: map[string]*burnReplica{}}
	b.recorder = burn.NewRecorder(n.self.ID, n.self.Incarnation, b.own, time.Now)
	return b
}

// recordResult counts the result of a request. The entry node counts it, because
// it knows what the caller received; the home node of a keyed request adds the
// target.
func (b *burnTracker) recordResult(r *proxy.Result) {
	if r.Service == "" {
		return
	}
	objective := defaultObjective
	if s, ok := b.n.routes.service(r.Service); ok {
		objective = &s.Objective
	}
	o := burn.Outcome{Code: r.Code, Ran: r.Ran, Status: r.Status, Class: r.Class, Took: r.Took}
	category := burn.Classify(&o, objective)
	if r.Hop != proxy.HopEntry {
		if category.Bad() {
			b.recorder.RecordBadTarget(r.Service, r.Target)
		}
		return
	}
	b.recorder.Record(&burn.Sample{
		Service: r.Service, Class: r.Class, Target: r.Target, Customer: r.Customer, Category: category,
		Answered: r.Code == resultcode.Answered, Took: r.Took,
	})
}

var defaultObjective = &manifest.Objective{
	Target: manifest.DefaultObjectiveTarget, LatencyMS: manifest.DefaultObjectiveLatencyMS, WindowHours: manifest.DefaultWindowHours}

// run copies the newest intervals to other nodes until ctx ends.
func (b *burnTracker) run(ctx context.Context) {
	for sleep(ctx, burnCopyInterval) {
		b.replicate(ctx)
	}
}

func (b *burnTracker) replicate(ctx context.Context) {
	b.recorder.Flush()
	b.own.Expire(time.Now())
	b.held.Expire(time.Now())
	chosen := chooseReplicas(b.n.self.ID, b.n.self.Zone, b.n.members.View().Nodes())
	for id := range b.replicas {
		if !slices.ContainsFunc(chosen, func(v *membership.NodeView) bool { return v.ID == id }) {
			delete(b.replicas, id)
		}
	}
	intervals := b.own.ToReplicate(time.Now())
	for _, v := range chosen {
		b.copyTo(ctx, v, intervals)
	}
}

// chooseReplicas returns the nodes that keep copies for a node: the first two in
// the order of rendezvous hashing, but if the first is in the node's own
// availability zone, the second is one in another zone.
func chooseReplicas(self, zone string, nodes []*membership.NodeView) []*membership.NodeView {
	var others []*membership.NodeView
	for _, v := range nodes {
		if v.ID != self && !v.Leaving && v.Status == membership.Alive {
			others = append(others, v)
		}
	}
	slices.SortFunc(others, func(a, b *membership.NodeView) int {
		if xxhash.Sum64String(self+"\x00"+a.ID) > xxhash.Sum64String(self+"\x00"+b.ID) {
			return -1
		}
		return 1
	})
	if len(others) <= burnReplicaCount {
		return others
	}
	if others[0].Zone == zone {
		if i := slices.IndexFunc(others, func(v *membership.NodeView) bool { return v.Zone != zone }); i > 0 {
			others[1] = others[i]
		}
	}
	return others[:burnReplicaCount]
}

// copyTo sends a node the intervals that it has not confirmed.
func (b *burnTracker) copyTo(ctx context.Context, v *membership.NodeView, intervals []burn.PackedInterval) {
	replica := b.replicas[v.ID]
	if replica == nil || replica.incarnation != v.Incarnation {
		replica = &burnReplica{incarnation: v.Incarnation, confirmed: map[burn.Key]uint64{}}
		b.replicas[v.ID] = replica
	}
	replica.forgetRemoved(intervals)
	for len(intervals) > 0 {
		var batch []burn.PackedInterval
		batch, intervals = replica.nextBatch(intervals)
		if len(batch) == 0 || !b.sendCopy(ctx, v.ID, batch) {
			return
		}
		for i := range batch {
			replica.confirmed[batch[i].Key] = batch[i].Version
		}
	}
}

// forgetRemoved drops the confirmations of intervals that this node no longer has.
func (r *burnReplica) forgetRemoved(intervals []burn.PackedInterval) {
	kept := make(map[burn.Key]uint64, len(r.confirmed))
	for i := range intervals {
		if version, ok := r.confirmed[intervals[i].Key]; ok {
			kept[intervals[i].Key] = version
		}
	}
	r.confirmed = kept
}

func (r *burnReplica) nextBatch(intervals []burn.PackedInterval) (batch, rest []burn.PackedInterval) {
	bytes := 0
	for i := range intervals {
		if r.confirmed[intervals[i].Key] >= intervals[i].Version {
			continue
		}
		if len(batch) > 0 && (bytes+len(intervals[i].Data) > maxBurnMessageBytes || len(batch) == maxCopiedIntervals) {
			return batch, intervals[i:]
		}
		bytes += len(intervals[i].Data)
		batch = append(batch, intervals[i])
	}
	return batch, nil
}

func (b *burnTracker) sendCopy(ctx context.Context, node string, batch []burn.PackedInterval) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := call[burnCopyRequest, burnCopyResponse](ctx, b.n, node, methodBurnCopy, &burnCopyRequest{Intervals: batch})
	return err == nil
}

// serveCopy stores copies of the sender's intervals. Intervals of other nodes are
// ignored.
func (b *burnTracker) serveCopy(_ context.Context, from peer.Identity, r *burnCopyRequest) (*burnCopyResponse, error) {
	now := time.Now()
	for i := range r.Intervals[:min(len(r.Intervals), maxCopiedIntervals)] {
		p := &r.Intervals[i]
		if p.Node == from.Node && p.Incarnation == from.Incarnation && p.Valid(now) {
			b.held.Put(*p)
		}
	}
	return &burnCopyResponse{}, nil
}

// report returns the intervals of this node and its copies of other nodes'
// intervals.
func (b *burnTracker) report() *burn.Report {
	b.recorder.FlushAll()
	r := &burn.Report{}
	for _, v := range b.n.members.View().Nodes() {
		r.Live = append(r.Live, v.ID)
	}
	r.Intervals = append(b.own.Intervals(), b.held.Intervals()...)
	b.addObjectives(r)
	r = burn.Merge(r)
	total := 0
	for i := len(r.Intervals) - 1; i >= 0; i-- {
		if total += len(r.Intervals[i].Data); total > maxBurnReportBytes {
			r.Intervals, r.Truncated = r.Intervals[i+1:], true
			break
		}
	}
	return r
}

// maxObjectives is the maximum number of objectives in a report.
const maxObjectives = 3 * burn.MaxSeries

func (b *burnTracker) addObjectives(r *burn.Report) {
	v := b.n.routes.current.Load()
	v.live.Services(func(s *routing.Service) bool {
		revision := int64(0)
		if m, ok := v.snapshot.Mandate(s.Mandate); ok {
			revision = m.Revision
		}
		r.Objectives = append(r.Objectives, burn.Objective{Service: s.Name, Revision: revision, Objective: s.Objective})
		return len(r.Objectives) < maxObjectives
	})
}

// Burn implements operator.Source.
func (o *operatorSource) Burn() *burn.Report { return o.burnTracker.report() }
