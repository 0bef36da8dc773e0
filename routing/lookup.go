package routing

// Lookup returns the most specific route for a request. host may carry a port;
// path must be the result of Normalize. It does not allocate.
func (t *Table) Lookup(host, path, method string) (*Route, bool) {
	var p pathHashes
	p.compute(path)
	if t.hostRoutes > 0 {
		if host = canonicalHost(host); host != "" {
			if r := t.lookupHost(host, path, method, &p); r != nil {
				return r, true
			}
		}
	}
	r := t.lookupHost("", path, method, &p)
	return r, r != nil
}

// pathHashes holds the hashes of a path and of each of its prefixes that ends in
// a slash. They are computed once and combined with the hash of each host that is
// looked up.
type pathHashes struct {
	exact        uint64
	prefixes     int // number of prefixes
	prefixHashes [maxPrefixDepth]uint64
	prefixEnds   [maxPrefixDepth]int // length of each prefix in bytes
}

func (p *pathHashes) compute(path string) {
	h := uint64(hashOffset)
	for i := 0; i < len(path); i++ {
		h = hashByte(h, path[i])
		if path[i] == '/' && p.prefixes < maxPrefixDepth {
			p.prefixHashes[p.prefixes] = h
			p.prefixEnds[p.prefixes] = i + 1
			p.prefixes++
		}
	}
	p.exact = h
}

// lookupHost returns the most specific route for exactly this host; "" selects
// the routes for any host.
func (t *Table) lookupHost(host, path, method string, p *pathHashes) *Route {
	hostHash := hashHost(host)
	if set := t.index.find(combineHash(hostHash, p.exact, false), host, path, false); set != nil {
		if r := set.match(method); r != nil {
			return r
		}
	}
	for i := p.prefixes - 1; i >= 0; i-- {
		set := t.index.find(combineHash(hostHash, p.prefixHashes[i], true), host, path[:p.prefixEnds[i]], true)
		if set == nil {
			continue
		}
		if r := set.match(method); r != nil {
			return r
		}
	}
	return nil
}
