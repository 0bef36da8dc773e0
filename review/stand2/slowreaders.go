package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	slowRoute    = 4 * time.Second  // timeout_s of the route
	slowPatience = 60 * time.Second // how long the clients wait that read slowly
	slowPiece    = 1024             // bytes that such a client reads at a time
	slowPause    = time.Second
	slowPace     = 16 << 20 // bytes a second at which the instances answer

	floorShare  = 0.7 // floor_share
	floorWindow = 2 * time.Second
	floorStep   = 250 * time.Millisecond
	floorFrom   = 10 * time.Second // after the start of the downloads: twice touch_s and a margin
	floorTo     = 40 * time.Second
)

// playSlowReaders plays downloads whose clients read slowly. Long after the
// instances have ended these downloads, all sound instances have to get requests
// again while some requests are not served.
func playSlowReaders(f *fleet, trouble bool) (bool, error) {
	f.publish(config{Version: 3, Services: bothServices, Routes: []route{
		{"r-bundle", "/bundle/", "download", slowRoute.Seconds(), 1.5, 2, "firmware-depot", nil},
		{"r-calib", "/calib/", "safe", 2, 0.5, 2, "firmware-depot", nil},
	}})
	var machines []*machine
	for _, m := range []struct{ zone, service string }{
		{"riga-a", "firmware-depot"}, {"riga-a", "firmware-depot"}, {"riga-a", "belt-desk"},
		{"riga-b", "firmware-depot"}, {"riga-b", "belt-desk"},
	} {
		added, err := f.addMachine(m.zone, m.service, depotSlots, false)
		if err != nil {
			return false, err
		}
		added.instance.pace = slowPace
		machines = append(machines, added)
	}
	if err := f.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // heartbeats arrive, and the nodes know each other
	depots := []*machine{machines[0], machines[1], machines[3]}
	slowDesk, desk := machines[2], machines[4]
	small := newTransport()
	for range 10 {
		f.rec.line("request before the downloads: %v", slowDesk.get(small, "/calib/1500/50", smallDeadline))
		f.rec.line("request before the downloads: %v", desk.get(small, "/calib/1500/50", smallDeadline))
	}

	var clients sync.WaitGroup
	start := f.rec.now()
	for n := range 2 * depotSlots {
		clients.Go(func() {
			f.rec.line("download %d: %s", n, slowDesk.download(fmt.Sprintf("/bundle/%d/50", bundleBytes), trouble))
		})
	}
	time.Sleep(floorFrom - 2*time.Second)
	var mu sync.Mutex
	var answers []answer
	tick := time.NewTicker(time.Second / 28)
	defer tick.Stop()
	for f.rec.now()-start < floorTo {
		<-tick.C
		clients.Go(func() {
			a := desk.get(small, "/calib/1500/250", smallDeadline)
			f.rec.line("request: %v; at work %d, %d and %d", a, depots[0].instance.atWork(), depots[1].instance.atWork(), depots[2].instance.atWork())
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, a)
		})
	}
	time.Sleep(smallDeadline + time.Second)
	mu.Lock()
	defer mu.Unlock()
	broken := 0
	for at := start + floorFrom; at+floorWindow <= start+floorTo; at += floorStep {
		within := func(t time.Duration) bool { return t >= at && t < at+floorWindow }
		used, all, unserved := 0, 0, 0
		for _, d := range depots {
			if d.instance.startedAny(within) {
				used++
			}
		}
		for _, a := range answers {
			if within(a.sent) {
				all++
				if !a.served() {
					unserved++
				}
			}
		}
		if used > 0 && float64(used) < floorShare*float64(len(depots)) && 10*unserved > all && 2*unserved < all {
			broken++
			f.rec.line("FLOOR: in the 2 s from %.2f s on, %d of %d sound instances got requests, and %d of %d requests were not served", at.Seconds(), used, len(depots), unserved, all)
		}
	}
	f.rec.line("FLOOR was broken in %d of the windows", broken)
	return broken > 0, nil
}

// download is what a client got that reads an answer as it comes.
type download struct {
	id     string
	status int
	body   int64
	lasted time.Duration // from the request to the final answer, or until the client gave up
	end    string
}

func (d download) String() string {
	return fmt.Sprintf("%s status %d, %d bytes read, %s after %v", d.id, d.status, d.body, d.end, d.lasted.Round(time.Millisecond))
}

// download sends a request on a connection of its own and reads the answer, slowly
// or at once, for at most slowPatience. A slow client leaves once the play is over.
func (m *machine) download(path string, slow bool) (d download) {
	d.id = newID()
	start := time.Now()
	defer func() { d.lasted = time.Since(start) }()
	c, err := net.DialTimeout("tcp4", m.addr(portOutbound), time.Second)
	if err != nil {
		d.end = err.Error()
		return d
	}
	defer c.Close()
	if slow {
		_ = c.(*net.TCPConn).SetReadBuffer(16 << 10)
	}
	_ = c.SetDeadline(start.Add(slowPatience))
	fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n\r\n", path, hostname, name("request-id"), d.id, name("deadline"), slowPatience.Milliseconds())
	resp, err := http.ReadResponse(bufio.NewReaderSize(c, 4096), nil)
	if err != nil {
		d.end = err.Error()
		return d
	}
	d.status = resp.StatusCode
	for {
		n, err := io.CopyN(io.Discard, resp.Body, slowPiece)
		d.body += n
		switch {
		case err == io.EOF:
			d.end = "complete"
			return d
		case err != nil && strings.Contains(err.Error(), "timeout"):
			d.end = "given up by the client"
			return d
		case err != nil:
			d.end = "ended: " + err.Error()
			return d
		}
		if time.Since(start) > slowPatience {
			d.end = "given up by the client"
			return d
		}
		if slow {
			time.Sleep(slowPause)
		}
	}
}
