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
	// listFanout is the number of peers that a node sends a new list to.
	listFanout = 4
	// listSyncInterval is the interval at which a node compares its lists with
	// those of a random peer, which makes up for lost messages.
	listSyncInterval = time.Second
	// maxLists is the maximum number of lists in one message.
	maxLists = 256
)

// ejectionLists holds the newest ejection list of each service.
type ejectionLists struct {
	n       *Node
	mu      sync.Mutex
	current map[string]*fleet.EjectionList
}

// listVersion identifies the list of a service that a node holds.
type listVersion struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Epoch   int64
	Seq     int64
}

// listMessage carries lists, or requests lists that are newer than those in Have.
type listMessage struct {
	Lists []fleet.EjectionList `cbor:"1,keyasint,omitempty"`
	Have  []listVersion        `cbor:"2,keyasint,omitempty"`
}

func newEjectionLists(n *Node) *ejectionLists {
	return &ejectionLists{n: n, current: map[string]*fleet.EjectionList{}}
}

func (l *ejectionLists) get(service string) *fleet.EjectionList {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current[service]
}

// put applies a list and sends it to peers if it is newer than the one in force.
func (l *ejectionLists) put(list *fleet.EjectionList) {
	old, stored := l.store(list)
	if !stored {
		return
	}
	l.n.operator.recordListChanges(old, list)
	l.n.reconcile.serviceChanged(list.Service)
	l.sendToRandom(&listMessage{Lists: []fleet.EjectionList{*list}}, listFanout)
}

// store stores a list and returns the one that it replaced. ok is false if list
// is not newer.
func (l *ejectionLists) store(list *fleet.EjectionList) (old *fleet.EjectionList, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old = l.current[list.Service]
	if old != nil && !isNewerList(list.Epoch, list.Seq, old.Epoch, old.Seq) {
		return nil, false
	}
	l.current[list.Service] = list
	return old, true
}

func isNewerList(epoch, seq, oldEpoch, oldSeq int64) bool {
	return epoch > oldEpoch || epoch == oldEpoch && seq > oldSeq
}

// sendToRandom sends a message to up to fanout random live peers.
func (l *ejectionLists) sendToRandom(m *listMessage, fanout int) {
	peers := l.n.livePeers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, node := range peers[:min(fanout, len(peers))] {
		go l.exchange(node, m)
	}
}

func (l *ejectionLists) exchange(node string, m *listMessage) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	resp, err := call[listMessage, listMessage](ctx, l.n, node, methodLists, m)
	if err == nil {
		l.putAll(resp.Lists)
	}
}

func (l *ejectionLists) putAll(all []fleet.EjectionList) {
	for i := range all {
		l.put(&all[i])
	}
}

func (l *ejectionLists) serve(_ context.Context, _ peer.Identity, m *listMessage) (*listMessage, error) {
	l.putAll(m.Lists)
	if m.Have == nil {
		return &listMessage{}, nil
	}
	return &listMessage{Lists: l.newerThan(m.Have)}, nil
}

// newerThan returns the lists that are newer than those in have.
func (l *ejectionLists) newerThan(have []listVersion) []fleet.EjectionList {
	known := make(map[string]listVersion, len(have))
	for _, h := range have {
		known[h.Service] = h
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []fleet.EjectionList
	for service, list := range l.current {
		h := known[service]
		if isNewerList(list.Epoch, list.Seq, h.Epoch, h.Seq) && len(out) < maxLists {
			out = append(out, *list)
		}
	}
	return out
}

// run compares the lists with those of random peers until ctx ends.
func (l *ejectionLists) run(ctx context.Context) {
	loop.Every(ctx, listSyncInterval, func() { l.sendToRandom(&listMessage{Have: l.versions()}, 1) })
}

func (l *ejectionLists) versions() []listVersion {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]listVersion, 0, len(l.current))
	for service, list := range l.current {
		out = append(out, listVersion{Service: service, Epoch: list.Epoch, Seq: list.Seq})
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
