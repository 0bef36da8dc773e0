package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"hyssopbridge/platform/storetest"
)

const (
	drainBound    = 2 * time.Second // drain_s
	drainRunTime  = 20 * time.Millisecond
	storeDownTime = 4500 * time.Millisecond // platform_down, how busy, for_s 4.5
	restartDelay  = 300 * time.Millisecond
	// lateBy is how late the delayed heartbeat arrives, counted from the
	// acknowledgement of the withdrawal.
	lateBy = 2 * time.Second
	// servesOn is how long the instance serves after it was told that its
	// leaving is known.
	servesOn = 14 * time.Second
)

// startDrainFleet starts two nodes of one service and one of another, with
// clients that send orders to the first service through the second and third
// node.
func startDrainFleet(rec *record, onFleet func(*fleet)) (f *fleet, instances []*instance, stop func(), err error) {
	f, err = newFleet(rec, []place{{"za", "desk"}, {"za", "desk"}, {"za", "depot"}})
	if err != nil {
		return nil, nil, nil, err
	}
	onFleet(f)
	for k, n := range f.nodes {
		i := newInstance(n, "i-"+string(rune('a'+k)), time.Now().UnixMilli(), drainRunTime)
		if err := i.listen(); err != nil {
			return nil, nil, nil, err
		}
		instances = append(instances, i)
	}
	f.publish(4, route("order", "unsafe", "desk"), route("read", "safe", "depot"))
	for _, i := range instances {
		go i.beat()
	}
	if err := f.start(); err != nil {
		return nil, nil, nil, err
	}
	c := &clients{rec: rec}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, n := range f.nodes[1:] {
		for range 2 {
			wg.Go(func() { c.loop(ctx, n, http.MethodPost, "order", 40*time.Millisecond) })
		}
	}
	time.Sleep(touchTime + 2*time.Second)
	return f, instances, func() { cancel(); wg.Wait() }, nil
}

// lateHeartbeat withdraws an instance while the store is down, restarts the node
// beside it and then delivers a heartbeat that the instance had sent before. It
// checks that the instance gets no request any more.
func lateHeartbeat(rec *record, trouble bool, onFleet func(*fleet)) (bool, error) {
	f, instances, stop, err := startDrainFleet(rec, onFleet)
	if err != nil {
		return false, err
	}
	defer stop()
	i, n := instances[0], f.nodes[0]
	delayed := i.heartbeatBody()
	rec.add("instance %s sends a heartbeat that is delayed: %s", i.id, delayed)
	if trouble {
		f.store.SetFault(storetest.Unavailable)
		rec.add("the store answers 503 from now on")
	}
	storeBack := time.Now().Add(storeDownTime)
	time.Sleep(500 * time.Millisecond)
	i.mu.Lock()
	i.silent, i.leaving = true, true
	i.mu.Unlock()
	if !i.call(http.MethodDelete, "") {
		return false, fmt.Errorf("the withdrawal was not acknowledged")
	}
	acknowledged := time.Now()
	rec.add("instance %s: its withdrawal is acknowledged", i.id)
	time.Sleep(200 * time.Millisecond)
	if trouble {
		n.kill()
		time.Sleep(restartDelay)
		if err := n.start(); err != nil {
			return false, err
		}
	}
	restarted := time.Now()
	time.Sleep(time.Until(acknowledged.Add(lateBy)))
	rec.add("the delayed heartbeat arrives, acknowledged: %t", i.call(http.MethodPut, delayed))
	time.Sleep(time.Until(storeBack))
	f.store.SetFault(nil)
	rec.add("the store is back")
	time.Sleep(time.Until(acknowledged.Add(servesOn)))
	i.crash()
	inTouch := storeBack.Add(touchTime)
	if t := restarted.Add(touchTime); t.After(inTouch) {
		inTouch = t
	}
	return checkDrained(rec, i, acknowledged, inTouch), nil
}

// checkDrained reports whether a request reached an instance too long after the
// acknowledgement, at a time at which all machines were in touch.
func checkDrained(rec *record, i *instance, acknowledged, inTouch time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	from := acknowledged.Add(drainBound)
	late, excused := 0, 0
	for id, list := range i.arrivals {
		for _, at := range list {
			switch {
			case !at.After(from):
			case at.Before(inTouch):
				excused++
			default:
				late++
				rec.add("DRAIN: %s reached instance %s %.3f s after the acknowledgement, at %.3f", id, i.id, at.Sub(acknowledged).Seconds(), rec.seconds(at))
			}
		}
	}
	rec.add("%d requests reached instance %s later than %v after the acknowledgement, %d more while not all machines were in touch", late, i.id, drainBound, excused)
	return late > 0
}

const (
	clockStep = 2400 * time.Millisecond // clock_step, how ahead, x = 2400
	stepTime  = 6 * time.Second         // for_s = 6.0
	flapGap   = 1400 * time.Millisecond // srv_flap, gap_s = 1.4
)

// earlierBirth restarts an instance under its ID around the end of a step of its
// machine's clock, so that its second start bears an earlier time than its
// first. Later the instance drains. It checks that the instance gets no request
// after that.
func earlierBirth(rec *record, trouble bool, onFleet func(*fleet)) (bool, error) {
	f, instances, stop, err := startDrainFleet(rec, onFleet)
	if err != nil {
		return false, err
	}
	defer stop()
	i, n := instances[0], f.nodes[0]
	stepEnd := time.Now().Add(stepTime)
	if trouble {
		rec.add("the time of day at node 0 is %v ahead", clockStep)
		time.Sleep(time.Until(stepEnd.Add(-flapGap / 2)))
		i.crash()
		if i, err = restartInstance(n, i, time.Now().Add(clockStep)); err != nil {
			return false, err
		}
		time.Sleep(time.Until(stepEnd))
		rec.add("the time of day at node 0 is right again")
		time.Sleep(flapGap / 2)
		i.crash()
		if i, err = restartInstance(n, i, time.Now()); err != nil {
			return false, err
		}
	}
	time.Sleep(touchTime + 4*time.Second)
	i.setLeaving()
	if !i.heartbeat() {
		return false, fmt.Errorf("the heartbeat of the draining instance was not acknowledged")
	}
	acknowledged := time.Now()
	rec.add("instance %s: its draining is acknowledged", i.id)
	time.Sleep(servesOn / 2)
	i.call(http.MethodDelete, "")
	i.crash()
	return checkDrained(rec, i, acknowledged, acknowledged), nil
}

// restartInstance starts a new incarnation under the ID of a crashed one.
func restartInstance(n *node, old *instance, born time.Time) (*instance, error) {
	time.Sleep(flapGap / 4) // it is down for a moment
	i := newInstance(n, old.id, born.UnixMilli(), old.runTime)
	var err error
	for range 20 {
		if err = i.listen(); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return nil, err
	}
	go i.beat()
	return i, nil
}
