package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"hyssopbridge/fleet"
	"hyssopbridge/internal/loop"
	"hyssopbridge/membership"
	"hyssopbridge/peer"
)

const (
	// listFanout is the number of peers that a node passes a new list to.
	listFanout = 4
	// listRepair is the interval at which a node compares its lists with those
	// of a random peer, which repairs lost messages.
	listRepair = time.Second
	// maxLists bounds the lists of one message.
	maxLists = 256
)

// lists holds the newest ejection list of each service.
type lists struct {
	n       *Node
	mu      sync.Mutex
	current map[string]*fleet.EjectionList
}

// listNumber states which list of a service a node holds.
type listNumber struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Epoch   int64
	Seq     int64
}

// listMessage passes lists on, or asks for newer ones than those in Have.
type listMessage struct {
	Lists []fleet.EjectionList `cbor:"1,keyasint,omitempty"`
	Have  []listNumber         `cbor:"2,keyasint,omitempty"`
}

func newLists(n *Node) *lists { return &lists{n: n, current: map[string]*fleet.EjectionList{}} }

func (l *lists) get(service string) *fleet.EjectionList {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current[service]
}

// put takes a list; a newer one than the list in force is applied and passed on.
func (l *lists) put(list *fleet.EjectionList) {
	old, stored := l.store(list)
	if !stored {
		return
	}
	l.n.operators.listChanged(old, list)
	l.n.reconcile.poke(list.Service)
	l.forward(&listMessage{Lists: []fleet.EjectionList{*list}}, listFanout)
}

// store returns the list that was replaced; ok is false if list is not newer.
func (l *lists) store(list *fleet.EjectionList) (old *fleet.EjectionList, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old = l.current[list.Service]
	if old != nil && !newerList(list.Epoch, list.Seq, old.Epoch, old.Seq) {
		return nil, false
	}
	l.current[list.Service] = list
	return old, true
}

func newerList(epoch, seq, oldEpoch, oldSeq int64) bool {
	return epoch > oldEpoch || epoch == oldEpoch && seq > oldSeq
}

// forward sends a message to some random live peers.
func (l *lists) forward(m *listMessage, fanout int) {
	peers := l.n.livePeers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, node := range peers[:min(fanout, len(peers))] {
		go l.exchange(node, m)
	}
}

func (l *lists) exchange(node string, m *listMessage) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	resp, err := call[listMessage, listMessage](ctx, l.n, node, methodLists, m)
	if err == nil {
		l.takeAll(resp.Lists)
	}
}

func (l *lists) takeAll(all []fleet.EjectionList) {
	for i := range all {
		l.put(&all[i])
	}
}

func (l *lists) serve(_ context.Context, _ peer.Identity, m *listMessage) (*listMessage, error) {
	l.takeAll(m.Lists)
	if m.Have == nil {
		return &listMessage{}, nil
	}
	return &listMessage{Lists: l.newerThan(m.Have)}, nil
}

// newerThan returns the lists that a peer holding have lacks.
func (l *lists) newerThan(have []listNumber) []fleet.EjectionList {
	known := make(map[string]listNumber, len(have))
	for _, h := range have {
		known[h.Service] = h
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []fleet.EjectionList
	for service, list := range l.current {
		h := known[service]
		if newerList(list.Epoch, list.Seq, h.Epoch, h.Seq) && len(out) < maxLists {
			out = append(out, *list)
		}
	}
	return out
}

// run compares lists with peers until ctx ends.
func (l *lists) run(ctx context.Context) {
	loop.Every(ctx, listRepair, func() { l.forward(&listMessage{Have: l.numbers()}, 1) })
}

func (l *lists) numbers() []listNumber {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]listNumber, 0, len(l.current))
	for service, list := range l.current {
		out = append(out, listNumber{Service: service, Epoch: list.Epoch, Seq: list.Seq})
	}
	return out
}

// livePeers returns the IDs of the other live nodes.
func (n *Node) livePeers() []string {
	nodes := n.members.View().Nodes()
	out := make([]string, 0, len(nodes))
	for _, v := range nodes {
		if v.ID != n.self.ID && v.Status < membership.Dead {
			out = append(out, v.ID)
		}
	}
	return out
}
