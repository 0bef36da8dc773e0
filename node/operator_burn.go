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
	// burnCopyEvery keeps the loss within the 60 s that the replacement of a
	// node may lose, also when one copy is lost.
	burnCopyEvery = 28 * time.Second
	// burnHolders is the number of other nodes with a copy.
	burnHolders = 2
	// burnMessage bounds one copy message, in bytes of slots.
	burnMessage = 256 << 10
	// Memory for the slots of this node and for those of others, in bytes.
	burnOwnBytes  = 8 << 20
	burnHeldBytes = 16 << 20
	// burnAnswer bounds an answer to operators, in bytes of slots.
	burnAnswer = 16 << 20
	// maxCopied bounds the slots of one message.
	maxCopied = 4096
)

// copyRequest passes slots of the sender to a node that keeps a copy.
type copyRequest struct {
	Slots []burn.PackedInterval `cbor:"1,keyasint"`
}

type copyAnswer struct{}

// burner counts this node's requests and keeps copies of other nodes' slots.
type burner struct {
	n        *Node
	own      *burn.Store
	held     *burn.Store
	recorder *burn.Recorder
	// holders belongs to the goroutine of run: what each holder has confirmed.
	holders map[string]*burnHolder
}

type burnHolder struct {
	incarnation int64
	confirmed   map[burn.Key]uint64
}

func newBurner(n *Node) *burner {
	b := &burner{n: n, own: burn.NewStore(burnOwnBytes), held: burn.NewStore(burnHeldBytes), holders: map[string]*burnHolder{}}
	b.recorder = burn.NewRecorder(n.self.ID, n.self.Incarnation, b.own, time.Now)
	return b
}

// finished counts the result of a request. The entry node counts, because it
// knows what the caller got; the home of an order adds the target.
func (b *burner) finished(r *proxy.Result) {
	if r.Service == "" {
		return
	}
	objective := defaultObjective
	if s, ok := b.n.routes.service(r.Service); ok {
		objective = &s.Objective
	}
	o := burn.Outcome{Code: r.Code, Ran: r.Ran, Status: r.Status, Class: r.Class, Took: r.Took}
	verdict := burn.Classify(&o, objective)
	if r.Hop != proxy.HopEntry {
		if verdict.Bad() {
			b.recorder.RecordBadTarget(r.Service, r.Target)
		}
		return
	}
	b.recorder.Record(&burn.Sample{
		Service: r.Service, Class: r.Class, Target: r.Target, Customer: r.Customer, Category: verdict,
		Answered: r.Code == resultcode.Answered, Took: r.Took,
	})
}

var defaultObjective = &manifest.Objective{
	Target: manifest.DefaultObjectiveTarget, LatencyMS: manifest.DefaultObjectiveLatencyMS, WindowHours: manifest.DefaultWindowHours}

// run copies the newest slots to the holders until ctx ends.
func (b *burner) run(ctx context.Context) {
	for sleep(ctx, burnCopyEvery) {
		b.step(ctx)
	}
}

func (b *burner) step(ctx context.Context) {
	b.recorder.Flush()
	b.own.Expire(time.Now())
	b.held.Expire(time.Now())
	chosen := holdersOf(b.n.self.ID, b.n.self.Zone, b.n.members.View().Nodes())
	for id := range b.holders {
		if !slices.ContainsFunc(chosen, func(v *membership.NodeView) bool { return v.ID == id }) {
			delete(b.holders, id)
		}
	}
	slots := b.own.ToReplicate(time.Now())
	for _, v := range chosen {
		b.copyTo(ctx, v, slots)
	}
}

// holdersOf returns the nodes that keep a node's copies: the first by
// rendezvous order, and a second in another zone than the node's if the first
// is not.
func holdersOf(self, zone string, nodes []*membership.NodeView) []*membership.NodeView {
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
	if len(others) <= burnHolders {
		return others
	}
	if others[0].Zone == zone {
		if i := slices.IndexFunc(others, func(v *membership.NodeView) bool { return v.Zone != zone }); i > 0 {
			others[1] = others[i]
		}
	}
	return others[:burnHolders]
}

// copyTo sends the slots that the holder has not confirmed.
func (b *burner) copyTo(ctx context.Context, v *membership.NodeView, slots []burn.PackedInterval) {
	h := b.holders[v.ID]
	if h == nil || h.incarnation != v.Incarnation {
		h = &burnHolder{incarnation: v.Incarnation, confirmed: map[burn.Key]uint64{}}
		b.holders[v.ID] = h
	}
	h.forget(slots)
	for len(slots) > 0 {
		var batch []burn.PackedInterval
		batch, slots = h.nextBatch(slots)
		if len(batch) == 0 || !b.sendCopy(ctx, v.ID, batch) {
			return
		}
		for i := range batch {
			h.confirmed[batch[i].Key] = batch[i].Version
		}
	}
}

// forget drops the confirmations of slots that this node no longer has.
func (h *burnHolder) forget(slots []burn.PackedInterval) {
	kept := make(map[burn.Key]uint64, len(h.confirmed))
	for i := range slots {
		if number, ok := h.confirmed[slots[i].Key]; ok {
			kept[slots[i].Key] = number
		}
	}
	h.confirmed = kept
}

func (h *burnHolder) nextBatch(slots []burn.PackedInterval) (batch, rest []burn.PackedInterval) {
	bytes := 0
	for i := range slots {
		if h.confirmed[slots[i].Key] >= slots[i].Version {
			continue
		}
		if len(batch) > 0 && (bytes+len(slots[i].Data) > burnMessage || len(batch) == maxCopied) {
			return batch, slots[i:]
		}
		bytes += len(slots[i].Data)
		batch = append(batch, slots[i])
	}
	return batch, nil
}

func (b *burner) sendCopy(ctx context.Context, node string, batch []burn.PackedInterval) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := call[copyRequest, copyAnswer](ctx, b.n, node, methodBurnCopy, &copyRequest{Slots: batch})
	return err == nil
}

// serveCopy takes slots of the sending node. A node can pass on only its own.
func (b *burner) serveCopy(_ context.Context, from peer.Identity, r *copyRequest) (*copyAnswer, error) {
	now := time.Now()
	for i := range r.Slots[:min(len(r.Slots), maxCopied)] {
		p := &r.Slots[i]
		if p.Node == from.Node && p.Incarnation == from.Incarnation && p.Valid(now) {
			b.held.Put(*p)
		}
	}
	return &copyAnswer{}, nil
}

// report returns the slots of this node and those it holds of others.
func (b *burner) report() *burn.Report {
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
		if total += len(r.Intervals[i].Data); total > burnAnswer {
			r.Intervals, r.Truncated = r.Intervals[i+1:], true
			break
		}
	}
	return r
}

// maxObjectives bounds the objectives of a report.
const maxObjectives = 3 * burn.MaxSeries

func (b *burner) addObjectives(r *burn.Report) {
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
func (o *operators) Burn() *burn.Report { return o.burner.report() }
