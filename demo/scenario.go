package demo

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"hyssopbridge/control"
)

// Times of the events, as fractions of the duration of the demo.
const (
	grayFrom   = 0.20
	grayTo     = 0.45
	drainAt    = 0.50
	publishAt  = 0.58
	stopAt     = 0.64
	withdrawAt = 0.90
)

const (
	grayIndex  = 1 // belt-desk target with a gray failure
	drainIndex = 2 // belt-desk target that is drained
	stopIndex  = 3 // node that is stopped
	// idleSpan is how long a healthy target must get no requests to count as
	// falsely ejected.
	idleSpan = 1500 * time.Millisecond
	// nodeDrainLimit bounds the graceful stop of a node.
	nodeDrainLimit = 40 * time.Second
)

// timeline holds the times of the events of a demo.
type timeline struct {
	traffic, gray, grayEnd, drain, stop, end time.Time
	propagation                              time.Duration // until the second manifest was in force on every node
	withdrawalPropagation                    time.Duration // until no node served the withdrawn mandate
	stopErr                                  error
}

// runScenario runs the traffic and the events and returns the report.
func (d *Demo) runScenario(ctx context.Context, length time.Duration) (*Report, error) {
	ctx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	var wait sync.WaitGroup
	var t timeline
	t.traffic = time.Now()
	at := func(part float64) time.Time { return t.traffic.Add(time.Duration(part * float64(length))) }
	d.startCallers(ctx, &wait, at(withdrawAt))
	sleepUntil(ctx, at(grayFrom))
	t.gray = d.setGray(true)
	sleepUntil(ctx, at(grayTo))
	t.grayEnd = d.setGray(false)
	sleepUntil(ctx, at(drainAt))
	t.drain = time.Now()
	if err := d.deskTargets[drainIndex].startDrain(); err != nil {
		return nil, err
	}
	d.progress("%s starts draining", d.deskTargets[drainIndex].id)
	sleepUntil(ctx, at(publishAt))
	var err error
	if t.propagation, err = d.publishSecond(ctx); err != nil {
		return nil, err
	}
	sleepUntil(ctx, at(stopAt))
	stopped := d.stopNode(&t)
	sleepUntil(ctx, at(withdrawAt))
	if t.withdrawalPropagation, err = d.withdraw(context.WithoutCancel(ctx)); err != nil {
		return nil, err
	}
	<-ctx.Done()
	t.end = time.Now()
	wait.Wait()
	<-stopped
	d.progress("traffic ended")
	return d.report(&t), nil
}

func (d *Demo) startCallers(ctx context.Context, wait *sync.WaitGroup, noMoreDownloads time.Time) {
	downloads, cancel := context.WithDeadline(ctx, noMoreDownloads)
	for i := range smallCallers {
		c := newCaller(i, d.addresses, &d.counts)
		wait.Go(func() { c.run(ctx) })
	}
	for i := range downloadCallers {
		c := newCaller(smallCallers+i, d.addresses, &d.counts)
		wait.Go(func() { c.runDownloads(downloads) })
	}
	context.AfterFunc(ctx, cancel)
	d.progress("%d callers of small requests and %d of downloads started", smallCallers, downloadCallers)
}

func (d *Demo) setGray(on bool) time.Time {
	t := d.deskTargets[grayIndex]
	t.gray.Store(on)
	if on {
		d.progress("%s has a gray failure: its responses take %d times as long", t.id, graySlowdown)
	} else {
		d.progress("%s is healthy again", t.id)
	}
	return time.Now()
}

// publishSecond publishes a changed manifest and waits until it is in force on
// every node. It returns the time that this took.
func (d *Demo) publishSecond(ctx context.Context) (time.Duration, error) {
	start := time.Now()
	p, err := d.publisher.Publish(ctx, "demo", beltManifest(30), control.HeadBase)
	if err != nil {
		return 0, fmt.Errorf("publish: %w", err)
	}
	took, err := d.waitVersion(start, p.Revision)
	d.progress("second manifest is revision %d, in force on every node after %v", p.Revision, took.Round(time.Millisecond))
	return took, err
}

func (d *Demo) waitVersion(start time.Time, version int64) (time.Duration, error) {
	for time.Since(start) < 2*propagationLimit {
		behind := 0
		for _, n := range d.nodes {
			if n.Version() < version {
				behind++
			}
		}
		if behind == 0 {
			return time.Since(start), nil
		}
		time.Sleep(pollInterval / 4)
	}
	return time.Since(start), fmt.Errorf("configuration version %d is not in force on every node after %v", version, 2*propagationLimit)
}

// stopNode stops one node and its targets gracefully, while downloads run.
func (d *Demo) stopNode(t *timeline) <-chan struct{} {
	done := make(chan struct{})
	t.stop = time.Now()
	n := d.nodes[stopIndex]
	d.progress("stopping host-%d while downloads are in flight", stopIndex+1)
	d.dropAddress(n.Addr())
	go func() {
		defer close(done)
		ctx, cancel := context.WithTimeout(context.Background(), nodeDrainLimit)
		defer cancel()
		t.stopErr = n.Stop(ctx)
		d.progress("host-%d has stopped after %v", stopIndex+1, time.Since(t.stop).Round(100*time.Millisecond))
	}()
	return done
}

// withdraw withdraws the mandate of the downloads and waits until no node serves it.
// It returns the time that this took.
func (d *Demo) withdraw(ctx context.Context) (time.Duration, error) {
	start := time.Now()
	if _, err := d.publisher.Withdraw(ctx, "firmware", "the demo ends", control.HeadBase); err != nil {
		return 0, fmt.Errorf("withdraw: %w", err)
	}
	for _, addr := range d.addresses() {
		for !d.withdrawnAt(addr) {
			if time.Since(start) > 2*propagationLimit {
				return time.Since(start), fmt.Errorf("node at %s still serves a withdrawn mandate", addr)
			}
			time.Sleep(pollInterval)
		}
	}
	took := time.Since(start)
	d.progress("mandate firmware withdrawn, refused by every node after %v", took.Round(time.Millisecond))
	return took, nil
}

func (d *Demo) withdrawnAt(addr string) bool {
	req, err := http.NewRequest(http.MethodHead, "http://"+addr+"/bundles/b1", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusGone
}

func sleepUntil(ctx context.Context, t time.Time) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(t)):
	}
}
