package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	crowdClients  = 200      // at each of the machines
	crowdBody     = 16 << 20 // bytes of an order, a quarter of max_body_bytes
	crowdDeadline = 12 * time.Second
	crowdBursts   = 4
	crowdPause    = 18 * time.Second // from burst to burst
	crowdMemoryMB = 184              // limits.memory_mb
	memoryCheck   = 20 * time.Millisecond
	restartDelay  = 500 * time.Millisecond
	endsPerNode   = 3 // of the rule Fault, on two machines at least
	nodesThatEnd  = 2
)

// platformMemory ends processes that exceed their memory and starts them again, as
// the platform does. ends counts that by machine.
type platformMemory struct {
	mu   sync.Mutex
	ends map[*machine]int
	peak map[*machine]memory
}

func (p *platformMemory) watch(m *machine, done <-chan struct{}) {
	tick := time.NewTicker(memoryCheck)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-done:
			return
		}
		now, err := m.memoryOf()
		if err != nil {
			continue // it has just ended
		}
		p.mu.Lock()
		if now.total() > p.peak[m].total() {
			p.peak[m] = now
		}
		p.mu.Unlock()
		if now.total() <= crowdMemoryMB<<20 {
			continue
		}
		p.mu.Lock()
		p.ends[m]++
		m.fleet.rec.line("node %s exceeds its memory: resident %d MB, received and not read %d MB; end %d", m.name, now.resident>>20, now.unread>>20, p.ends[m])
		p.mu.Unlock()
		<-m.signal(syscall.SIGKILL, true)
		time.Sleep(restartDelay)
		if err := m.start(); err != nil {
			m.fleet.rec.line("not started again: %v", err)
			return
		}
	}
}

// playCrowd plays orders of 16 MiB that come to two machines at once, or one after
// the other.
func playCrowd(f *fleet, trouble bool) (bool, error) {
	f.publish(config{Version: 3, Services: bothServices, Routes: []route{
		{"r-order", "/order/", "unsafe", crowdDeadline.Seconds(), 5, 1, "belt-desk", nil},
	}})
	f.memoryMB = crowdMemoryMB
	if _, err := startDesks(f); err != nil {
		return false, err
	}
	p := &platformMemory{ends: map[*machine]int{}, peak: map[*machine]memory{}}
	done := make(chan struct{})
	var watchers, clients sync.WaitGroup
	entered := f.nodes[:nodesThatEnd]
	for _, m := range entered {
		watchers.Go(func() { p.watch(m, done) })
	}
	for burst := range crowdBursts {
		start := time.Now()
		f.rec.line("burst %d", burst+1)
		for _, m := range entered {
			if trouble {
				for range crowdClients {
					clients.Go(func() { m.upload(start.Add(crowdDeadline)) })
				}
				continue
			}
			clients.Go(func() {
				for time.Since(start) < crowdPause-crowdDeadline/2 {
					m.upload(time.Now().Add(crowdDeadline))
				}
			})
		}
		time.Sleep(time.Until(start.Add(crowdPause)))
	}
	close(done)
	watchers.Wait()
	clients.Wait()
	ended := 0
	for _, m := range entered {
		f.rec.line("node %s: %d ends, peak resident %d MB, received and not read %d MB", m.name, p.ends[m], p.peak[m].resident>>20, p.peak[m].unread>>20)
		if p.ends[m] >= endsPerNode {
			ended++
		}
	}
	return ended >= nodesThatEnd, nil
}

// zeros is a piece of the body of an order.
var zeros = make([]byte, 256<<10)

// upload sends an order until it is answered otherwise than by a refusal, or until
// its deadline. It comes back when the refusal says.
func (m *machine) upload(until time.Time) {
	for time.Until(until) > time.Second {
		id := newID()
		status, wait := m.uploadOnce(id, until)
		m.fleet.rec.line("order %s at %s: %s", id, m.name, status)
		if wait == 0 {
			return
		}
		time.Sleep(wait)
	}
}

func (m *machine) uploadOnce(id string, until time.Time) (status string, wait time.Duration) {
	c, err := net.DialTimeout("tcp4", m.addr(portOutbound), time.Second)
	if err != nil {
		return "no connection", time.Second
	}
	defer c.Close()
	_ = c.SetDeadline(until)
	fmt.Fprintf(c, "POST /order/500/1500 HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n", hostname, name("request-id"), id, name("deadline"), time.Until(until).Milliseconds(), crowdBody)
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		_ = c.SetWriteDeadline(time.Unix(1, 0)) // an answered request need not be sent further
		if err != nil {
			status = err.Error()
			return
		}
		status = resp.Status
		if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil && resp.StatusCode == 503 {
			wait = max(time.Duration(s*float64(time.Second)), 50*time.Millisecond)
		}
	}()
	for sent := 0; sent < crowdBody; {
		n, err := c.Write(zeros[:min(len(zeros), crowdBody-sent)])
		if sent += n; err != nil {
			break
		}
	}
	<-answered
	return status, wait
}
