package control

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"hyssopbridge/fleet"
)

// LogReaders returns the IDs of the nodes of a region that read the log: the
// first count live nodes in rendezvous order.
func LogReaders(live []fleet.Node, region string, count int) []string {
	var ids []string
	for i := range live {
		if live[i].Region == region {
			ids = append(ids, live[i].ID)
		}
	}
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(cmp.Compare(readerScore(a), readerScore(b)), cmp.Compare(a, b))
	})
	ids = slices.Compact(ids)
	return ids[:min(count, len(ids))]
}

func readerScore(node string) uint64 { return xxhash.Sum64String("reader\x00" + node) }
