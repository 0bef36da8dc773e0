package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	configBound    = 2 * time.Second // config_s
	touchTime      = 3 * time.Second // touch_s
	readersRunTime = 20 * time.Millisecond
	// readerWindow covers the interval between two reads of a node that reads the
	// configuration from the store.
	readerWindow = 2500 * time.Millisecond
)

// readersLost stops the machines that read the configuration from the store for
// good, and publishes a configuration that moves a route at the same moment. It
// checks that the other machines follow it within the bound.
func readersLost(rec *record, trouble bool, onFleet func(*fleet)) (bool, error) {
	var places []place
	for _, zone := range []string{"za", "zb", "zc"} {
		places = append(places, place{zone, "desk"}, place{zone, "desk"}, place{zone, "depot"})
	}
	f, err := newFleet(rec, places)
	if err != nil {
		return false, err
	}
	onFleet(f)
	var instances []*instance
	for k, n := range f.nodes {
		i := newInstance(n, "i-"+string(rune('a'+k)), time.Now().UnixMilli(), readersRunTime)
		if err := i.listen(); err != nil {
			return false, err
		}
		instances = append(instances, i)
	}
	f.publish(4, route("order", "unsafe", "desk"), route("move", "safe", "desk"))
	for _, i := range instances {
		go i.beat()
	}
	if err := f.start(); err != nil {
		return false, err
	}
	time.Sleep(touchTime + 5*time.Second)
	lost := map[int]bool{}
	for _, n := range f.nodes {
		if n.toStore.active(readerWindow) {
			lost[n.index] = true
		}
	}
	if len(lost) == 0 || len(lost) > len(f.nodes)/2 {
		return false, fmt.Errorf("%d of %d nodes read from the store", len(lost), len(f.nodes))
	}
	c := &clients{rec: rec}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	for _, n := range f.nodes {
		if !lost[n.index] {
			wg.Go(func() { c.loop(ctx, n, http.MethodGet, "move", 60*time.Millisecond) })
		}
	}
	time.Sleep(2 * time.Second)
	if trouble {
		var all sync.WaitGroup
		for k := range lost {
			all.Go(func() {
				f.nodes[k].kill()
				instances[k].crash()
			})
		}
		all.Wait()
	}
	acknowledged := f.publish(7, route("order", "unsafe", "desk"), route("move", "safe", "depot"))
	time.Sleep(10 * time.Second)
	cancel()
	wg.Wait()
	return checkMoved(rec, c, instances, acknowledged), nil
}

// checkMoved reports whether a request that was sent too long after the
// acknowledgement ran at the service of the older configuration.
func checkMoved(rec *record, c *clients, instances []*instance, acknowledged time.Time) bool {
	services := map[string]string{}
	for _, i := range instances {
		i.mu.Lock()
		for id := range i.runs {
			services[id] = i.n.service
		}
		i.mu.Unlock()
	}
	late, moved := 0, 0
	var last time.Duration
	for _, r := range c.results {
		after := r.sent.Sub(acknowledged)
		switch {
		case services[r.id] == "depot":
			moved++
		case services[r.id] == "desk" && after > configBound:
			late++
			last = max(last, after)
			rec.add("CONFIG: %s was sent to node %d %.3f s after the acknowledgement and ran at the old service", r.id, r.node, after.Seconds())
		}
	}
	rec.add("%d requests, %d ran at the new service, %d sent later than %v after the acknowledgement ran at the old one, the last %v after it",
		len(c.results), moved, late, configBound, last)
	return late > 0
}
