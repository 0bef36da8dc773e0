package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

const (
	bundleBytes    = 32 << 20 // too much for the buffers of the connections
	bundleDeadline = 12 * time.Second
	smallDeadline  = 2 * time.Second
	depotSlots     = 5
)

// playSilentDownloads plays long downloads during which the open connections
// between machines go silent. Ordinary requests sent later than recover_s after
// that have to be served.
func playSilentDownloads(f *fleet, trouble bool) (bool, error) {
	f.publish(config{Version: 3, Services: bothServices, Routes: []route{
		{"r-bundle", "/bundle/", "download", bundleDeadline.Seconds(), 2, 2, "firmware-depot", nil},
		{"r-calib", "/calib/", "safe", 2, 0.5, 2, "firmware-depot", nil},
	}})
	var machines []*machine
	for _, m := range []struct{ zone, service string }{{"riga-a", "firmware-depot"}, {"riga-b", "firmware-depot"}, {"riga-a", "belt-desk"}} {
		added, err := f.addMachine(m.zone, m.service, depotSlots, true)
		if err != nil {
			return false, err
		}
		machines = append(machines, added)
	}
	if err := f.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // heartbeats arrive, and the nodes know each other
	desk, depots := machines[2], machines[:2]
	small := newTransport()
	paths := []string{"/bundle/65536/50", "/calib/1500/50"}
	before, served := 0, 0
	for range 30 {
		a := desk.get(small, paths[before%len(paths)], smallDeadline)
		f.rec.line("request: %s: %v", paths[before%len(paths)], a)
		if before++; a.served() {
			served++
		}
		time.Sleep(50 * time.Millisecond)
	}
	f.rec.line("before the disruption %d of %d requests were served", served, before)
	if 4*served < before {
		return false, errors.New("the fleet did not serve before the disruption")
	}
	var bundles sync.WaitGroup
	for range 2 * depotSlots {
		bundles.Go(func() {
			big := newTransport()
			for start := time.Now(); time.Since(start) < bundleDeadline-5*time.Second; {
				a := desk.get(big, fmt.Sprintf("/bundle/%d/50", bundleBytes), bundleDeadline)
				f.rec.line("bundle: %v", a)
				if a.status != 503 {
					return
				}
				time.Sleep(a.retryAfter)
			}
		})
	}
	time.Sleep(2 * time.Second)
	for _, d := range depots {
		f.rec.line("instance %s has %d requests at work", d.instance.id, d.instance.atWork())
	}
	if trouble {
		for _, m := range machines {
			f.rec.line("%d open connections of other machines to %s go silent", m.proxy.silence(), m.name)
		}
	}
	silent := f.rec.now()
	after, served := 0, 0
	for n := 0; f.rec.now()-silent < recoverAfter+30*time.Second; n++ {
		path := paths[n%len(paths)]
		a := desk.get(small, path, smallDeadline)
		f.rec.line("request: %s: %v; at work %d and %d", path, a, depots[0].instance.atWork(), depots[1].instance.atWork())
		if a.sent-silent > recoverAfter {
			if after++; a.served() {
				served++
			}
		}
		time.Sleep(250 * time.Millisecond)
	}
	bundles.Wait()
	f.rec.line("later than %v after the disruption %d of %d requests were served", recoverAfter, served, after)
	return 4*served < after, nil
}
