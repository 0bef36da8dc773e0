package loadbalancer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// tier is the network distance between a node and a target.
type tier int

const (
	tierZone   tier = iota // same availability zone
	tierRegion             // same region, other zone
	tierOther              // other region
	numTiers
)

// hostCandidate is a host node that may be chosen for the subset.
type hostCandidate struct {
	id     string
	tier   tier
	score  uint64 // rendezvous score for this node and service
	usable bool   // has a reachable target that takes normal requests
}

func subsetSeed(node, service string) uint64 {
	return xxhash.Sum64String(service + "\x00" + node)
}

// rendezvousScore combines the hash of the choosing node and service with that of
// a host.
func rendezvousScore(seed uint64, host string) uint64 {
	h := seed ^ xxhash.Sum64String(host)
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// selectHosts returns the IDs of the hosts with the best scores, up to size usable
// ones in each tier. Hosts without a usable target that rank among them are
// included as well, for trial requests and for testing the link to them, but do
// not count towards size.
func selectHosts(hosts []hostCandidate, size int) map[string]bool {
	slices.SortFunc(hosts, func(a, b hostCandidate) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
	})
	out := make(map[string]bool, int(numTiers)*size)
	var taken [numTiers]int
	for _, h := range hosts {
		if taken[h.tier] == size {
			continue
		}
		out[h.id] = true
		if h.usable {
			taken[h.tier]++
		}
	}
	return out
}
