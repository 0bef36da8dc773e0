package loadbalancer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// tier is the distance between a node and a target.
type tier int

const (
	tierZone   tier = iota // own availability zone
	tierRegion             // other zones of the own region
	tierOther              // other regions
	numTiers
)

// hostRank is a host node with its rendezvous score for one node and service.
type hostRank struct {
	id     string
	tier   tier
	score  uint64
	usable bool // has a target that takes normal work and is reachable
}

func subsetSeed(node, service string) uint64 {
	return xxhash.Sum64String(service + "\x00" + node)
}

// score mixes the hash of the choosing node and service with that of a host.
func score(seed uint64, host string) uint64 {
	h := seed ^ xxhash.Sum64String(host)
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// subset returns the hosts with the best scores, up to size usable ones in
// each tier. Hosts without a usable target that rank among them are included
// for trial work and for probing their link, and take no place.
func subset(hosts []hostRank, size int) map[string]bool {
	slices.SortFunc(hosts, func(a, b hostRank) int {
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
