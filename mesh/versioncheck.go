package mesh

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"hyssopbridge/upstream"
)

const (
	// versionCheckInterval is the shortest time between two checks, however many
	// requests carry unknown keys. Each check costs one request to each zone.
	versionCheckInterval = 500 * time.Millisecond
	// versionCheckTimeout bounds the wait for the answers. It leaves room for a new
	// connection to another zone and a pause of a throttled process.
	versionCheckTimeout = 300 * time.Millisecond
	// headerConfigVersion is the value of headerConfig that asks for the number of
	// the version in force instead of the configuration.
	headerConfigVersion = "version"
	// metricVersionChecks counts the checks of other nodes' versions.
	metricVersionChecks = "mesh_version_checks_total"
)

// versionCheck finds out whether other nodes have a newer configuration before a
// request is refused because of the version in force. Requests that wait at the
// same time share a check.
type versionCheck struct {
	// ask asks other nodes and puts what it learns into the state of the node. It
	// returns an error if there are other nodes and none answered.
	ask func(ctx context.Context) error

	mu        sync.Mutex
	next      *versionCheckRound // has not begun yet; nil if no request waits for it
	lastBegin time.Time
}

type versionCheckRound struct {
	done chan struct{} // closed when err is set
	err  error
}

// wait returns the result of a check that begins after the call.
func (c *versionCheck) wait(ctx context.Context) error {
	c.mu.Lock()
	round := c.next
	if round == nil {
		round = &versionCheckRound{done: make(chan struct{})}
		c.next = round
		time.AfterFunc(versionCheckInterval-time.Since(c.lastBegin), func() { c.run(round) })
	}
	c.mu.Unlock()
	select {
	case <-round.done:
		return round.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *versionCheck) run(round *versionCheckRound) {
	c.mu.Lock()
	c.next, c.lastBegin = nil, time.Now()
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), versionCheckTimeout)
	defer cancel()
	round.err = c.ask(ctx)
	close(round.done)
}

var errNoVersion = errors.New("no other node stated its version")

// askVersions asks a node of each zone for its version. Newer ones count as
// announced, so they are fetched.
func (n *Node) askVersions(ctx context.Context) error {
	addrs, alone := n.peers.addrsByZone()
	if alone {
		return nil // nobody knows more
	}
	n.metrics.count(metricVersionChecks)
	answers := make(chan bool, len(addrs))
	for _, addr := range addrs {
		go func() {
			version, err := n.remote.requestVersion(ctx, addr)
			if err == nil {
				n.peers.noteVersion(addr, version)
			}
			answers <- err == nil
		}()
	}
	answered := false
	for range addrs {
		answered = <-answers || answered
	}
	if !answered {
		return errNoVersion
	}
	return nil
}

// addrsByZone returns a live node of each zone, at random. alone is set if no
// other node is known, live or not.
func (p *peers) addrsByZone() (addrs []string, alone bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	byZone := map[string][]string{}
	alone = true
	for _, q := range p.byAddr {
		alone = alone && !q.known
		if q.known && !q.silent {
			byZone[q.last.Zone] = append(byZone[q.last.Zone], q.last.Addr)
		}
	}
	for _, zone := range byZone {
		addrs = append(addrs, zone[rand.IntN(len(zone))])
	}
	return addrs, alone
}

// noteVersion records the version that a node stated in a response.
func (p *peers) noteVersion(addr string, version int64) {
	self := p.identity()
	newer, sameZone := false, false
	p.mu.Lock()
	for _, q := range p.byAddr {
		if q.known && q.last.Addr == addr {
			q.last.Version = max(q.last.Version, version)
			newer, sameZone = version > self.Version, q.last.Zone == self.Zone
		}
	}
	p.mu.Unlock()
	if newer {
		p.onNewerConfig(versionSource{version, sameZone})
	}
}

// requestVersion asks a node for the number of the version in force there.
func (c *nodeClient) requestVersion(ctx context.Context, addr string) (int64, error) {
	req := &http.Request{
		Method: http.MethodGet, URL: &url.URL{Scheme: "http", Host: addr, Path: "/"}, Host: addr,
		Header: http.Header{"User-Agent": nil, headerConfig: {headerConfigVersion}}, Body: http.NoBody,
	}
	httpResp, err := c.client.Do(ctx, addr, req, upstream.Options{})
	if err != nil {
		return 0, err
	}
	defer httpResp.Body.Close()
	version, err := strconv.ParseInt(httpResp.Header.Get(headerConfigAfter), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("node at %s stated no version, status %d", addr, httpResp.StatusCode)
	}
	return version, nil
}
