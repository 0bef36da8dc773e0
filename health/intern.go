package health

const (
	maxNodes = 4096
	maxZones = 64
)

// names numbers strings in order of first use. The last number stands for all
// names beyond the bound.
type names struct {
	index map[string]int
	list  []string
	max   int
}

func newNames(limit int) names { return names{index: map[string]int{}, max: limit} }

func (n *names) number(s string) int {
	if i, ok := n.index[s]; ok {
		return i
	}
	if len(n.list) == n.max {
		return n.max - 1
	}
	i := len(n.list)
	n.index[s] = i
	n.list = append(n.list, s)
	return i
}

func (n *names) find(s string) (i int, ok bool) {
	i, ok = n.index[s]
	return i, ok
}
