package health

const (
	maxNodes = 4096
	maxZones = 64
)

// interner numbers strings in order of first use. The last number stands for
// all strings beyond the limit.
type interner struct {
	index map[string]int
	list  []string
	limit int
}

func newInterner(limit int) interner { return interner{index: map[string]int{}, limit: limit} }

func (n *interner) intern(s string) int {
	if i, ok := n.index[s]; ok {
		return i
	}
	if len(n.list) == n.limit {
		return n.limit - 1
	}
	i := len(n.list)
	n.index[s] = i
	n.list = append(n.list, s)
	return i
}

func (n *interner) lookup(s string) (i int, ok bool) {
	i, ok = n.index[s]
	return i, ok
}
