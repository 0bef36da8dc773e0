package routing

// Lookup returns the most specific route for a request. host may carry a port;
// path must be the result of Normalize. It does not allocate.
func (t *Table) Lookup(host, path, method string) (*Route, bool) {
	var p probes
	p.hash(path)
	if t.hosted > 0 {
		if host = canonicalHost(host); host != "" {
			if r := t.lookupHost(host, path, method, &p); r != nil {
				return r, true
			}
		}
	}
	r := t.lookupHost("", path, method, &p)
	return r, r != nil
}

// probes holds the hashes of a path and of its prefixes.
type probes struct {
	exact  uint64
	n      int
	hashes [maxPrefixDepth]uint64
	ends   [maxPrefixDepth]int
}

func (p *probes) hash(path string) {
	h := uint64(hashOffset)
	for i := 0; i < len(path); i++ {
		h = hashByte(h, path[i])
		if path[i] == '/' && p.n < maxPrefixDepth {
			p.hashes[p.n] = h
			p.ends[p.n] = i + 1
			p.n++
		}
	}
	p.exact = h
}

func (t *Table) lookupHost(host, path, method string, p *probes) *Route {
	hh := hashHost(host)
	if n := t.index.find(combine(hh, p.exact, false), host, path, false); n != nil {
		if r := n.match(method); r != nil {
			return r
		}
	}
	for i := p.n - 1; i >= 0; i-- {
		n := t.index.find(combine(hh, p.hashes[i], true), host, path[:p.ends[i]], true)
		if n == nil {
			continue
		}
		if r := n.match(method); r != nil {
			return r
		}
	}
	return nil
}
