package main

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	copiedDuration = 80 * time.Second
	copiedRunTime  = 40 * time.Millisecond
	// shedShare is the share of orders that the instance rejects for shedTime of
	// each shedPeriod.
	shedShare  = 0.55
	shedTime   = 8500 * time.Millisecond
	shedPeriod = 14 * time.Second
	// copyShare is the share of answers of which the instance sends a second
	// copy, late.
	copyShare = 0.03
)

// copiedRefusal lets one instance of three reject some orders for some seconds
// now and then, and send a late second copy of some of its answers. It checks
// that no order runs twice and that none runs that was answered with a promise.
func copiedRefusal(rec *record, trouble bool, onFleet func(*fleet)) (bool, error) {
	f, err := newFleet(rec, []place{{"za", "desk"}, {"za", "depot"}, {"za", "depot"}})
	if err != nil {
		return false, err
	}
	onFleet(f)
	var instances []*instance
	for k, n := range f.nodes {
		i := newInstance(n, "i-"+string(rune('a'+k)), time.Now().UnixMilli(), copiedRunTime)
		if trouble && n.service == "desk" {
			i.fault = func(string) faultKind {
				sheds := time.Since(rec.start)%shedPeriod < shedTime
				return faultKind{shed: sheds && rand.Float64() < shedShare, copy: rand.Float64() < copyShare}
			}
		}
		if err := i.listen(); err != nil {
			return false, err
		}
		instances = append(instances, i)
	}
	f.publish(4, route("order", "unsafe", "desk"), route("read", "safe", "depot"))
	for _, i := range instances {
		go i.beat()
	}
	if err := f.start(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	c := &clients{rec: rec}
	ctx, cancel := context.WithTimeout(context.Background(), copiedDuration)
	defer cancel()
	var wg sync.WaitGroup
	for _, n := range f.nodes {
		for range 2 {
			wg.Go(func() { c.loop(ctx, n, http.MethodPost, "order", 40*time.Millisecond) })
		}
	}
	wg.Wait()
	time.Sleep(time.Second) // for runs that are still going on
	return checkOrders(rec, c, instances), nil
}

// checkOrders reports whether an order ran twice, or ran although its answer
// promised that it did not.
func checkOrders(rec *record, c *clients, instances []*instance) bool {
	runs := map[string]int{}
	for _, i := range instances {
		i.mu.Lock()
		for id, list := range i.runs {
			runs[id] += len(list)
		}
		i.mu.Unlock()
	}
	twice, refused, served := 0, 0, 0
	for _, r := range c.results {
		n := runs[r.id]
		if r.status == http.StatusOK {
			served++
		}
		if n > 1 {
			twice++
			rec.add("TWICE: %s ran %d times, its answer was %d", r.id, n, r.status)
		}
		switch r.status {
		case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			if n > 0 {
				refused++
				rec.add("REFUSED: %s was answered %d and ran %d times", r.id, r.status, n)
			}
		}
	}
	rec.add("%d orders, %d served, %d ran twice or more, %d ran though refused", len(c.results), served, twice, refused)
	return twice+refused > 0
}
