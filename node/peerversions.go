package node

import (
	"sync"
	"time"
)

// peerVersions holds the configuration version that each peer last reported.
type peerVersions struct {
	mu     sync.Mutex
	byNode map[string]peerVersion
}

type peerVersion struct {
	version int64
	at      time.Time
}

func (v *peerVersions) record(node string, version int64, at time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.byNode == nil {
		v.byNode = map[string]peerVersion{}
	}
	v.byNode[node] = peerVersion{version, at}
}

func (v *peerVersions) get(node string) (peerVersion, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	p, ok := v.byNode[node]
	return p, ok
}
