package main

import (
	"time"
)

// settle is how long after the acknowledgement of a version it has to be in force:
// config_s and a margin.
const settle = configAfter + time.Second

// startDesks starts two machines of each service and waits until they serve.
func startDesks(f *fleet) (*machine, error) {
	var first *machine
	for _, m := range []struct{ zone, service string }{{"riga-a", "belt-desk"}, {"riga-b", "belt-desk"}, {"riga-a", "firmware-depot"}, {"riga-b", "firmware-depot"}} {
		added, err := f.addMachine(m.zone, m.service, depotSlots, false)
		if err != nil {
			return nil, err
		}
		if first == nil {
			first = added
		}
	}
	if err := f.awaitReady(20 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second) // heartbeats arrive, and the nodes know each other
	return first, nil
}

// playWeights publishes a version that splits a route, adds one and drops one.
func playWeights(f *fleet, trouble bool) (bool, error) {
	old := config{Version: 3, Services: bothServices, Routes: []route{
		{"r-status", "/status/", "safe", 2, 1, 2, "belt-desk", nil},
		{"r-old", "/old/", "safe", 2, 1, 2, "belt-desk", nil},
	}}
	f.publish(old)
	m, err := startDesks(f)
	if err != nil {
		return false, err
	}
	split := []share{{"belt-desk", 75}, {"firmware-depot", 25}}
	if trouble {
		split = []share{{"belt-desk", 0.75}, {"firmware-depot", 0.25}}
	}
	next := old
	next.Version = 7
	next.Routes = []route{
		{"r-status", "/status/", "safe", 2, 1, 2, "", split},
		{"r-new", "/new/", "safe", 2, 1, 2, "firmware-depot", nil},
	}
	f.publish(next)
	time.Sleep(settle)
	stale := 0
	client := newTransport()
	for n := range 20 {
		for _, path := range []string{"/old/500/20", "/new/500/20", "/status/500/20"} {
			a := m.get(client, path, smallDeadline)
			f.rec.line("request %d %s: %v", n, path, a)
			if path == "/old/500/20" && a.status == 200 || path == "/new/500/20" && a.status == 404 {
				stale++
			}
		}
	}
	f.rec.line("CONFIG: %d of 40 requests were handled as only version 3 allows", stale)
	return stale > 0, nil
}

// playLastTenant withdraws the only tenant of a deployment.
func playLastTenant(f *fleet, trouble bool) (bool, error) {
	c := config{Version: 3, Services: bothServices, Routes: []route{
		{"r-order", "/order/", "unsafe", 2, 1, 1, "belt-desk", nil},
	}}
	c.HasTenants, c.Tenants = true, []tenant{{"riekstu-lentes", "key-of-riekstu"}}
	f.publish(c)
	m, err := startDesks(f)
	if err != nil {
		return false, err
	}
	client := newTransport()
	play := func(when string) (foreign, withdrawn int) {
		for range 10 {
			for _, key := range []string{"key-of-riekstu", "never-held", ""} {
				header := map[string]string{}
				if key != "" {
					header[name("key")] = key
				}
				a := m.getWith(client, "/order/500/20", smallDeadline, header)
				f.rec.line("%s, key %q: %v", when, key, a)
				switch {
				case a.status == 200 && key == "key-of-riekstu":
					withdrawn++
				case a.status == 200:
					foreign++
				}
			}
		}
		return foreign, withdrawn
	}
	foreign, served := play("with the tenant")
	f.rec.line("with the tenant %d orders of its key ran, and %d others", served, foreign)
	if !trouble {
		return foreign > 0, nil
	}
	c.Version, c.Tenants = 7, nil
	f.publish(c)
	time.Sleep(settle)
	foreign, served = play("after its withdrawal")
	f.rec.line("after its withdrawal %d orders of its key ran, and %d with a key that no configuration held or with none", served, foreign)
	return foreign+served > 0, nil
}
