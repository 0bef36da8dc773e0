package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"hyssopbridge/platform/storetest"
)

// program is built by the command of the deploy file, and the arguments are those
// of its role.
const program = "target/hyssopbridge"

var programArgs = []string{"platform", "-metrics", "9464"}

// Offsets of the ports of a node from the base port, which is the same on all
// machines.
const (
	portReady = iota
	portOutbound
	portInbound
	portControl
	portInstance
	portGossip
	portAdvertised
	portCount
)

const (
	recoverAfter = 15 * time.Second // recover_s
	configAfter  = 2 * time.Second  // config_s
)

// fleet is a small deployment: nodes as processes, with stand-ins for the store
// and the instances.
type fleet struct {
	rec   *record
	store *storetest.Store
	dir   string
	base  int    // first port
	net   string // loopback network of the machines, "127.x.y."
	// memoryMB is limits.memory_mb of machines that are added from now on.
	memoryMB int
	once     sync.Once

	mu    sync.Mutex
	nodes []*machine
}

// machine is a node process with the instance beside it.
type machine struct {
	fleet    *fleet
	name     string
	ip       string
	zone     string
	service  string
	proxy    *proxy // on the way of the other nodes to this one; may be nil
	instance *instance

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	ending  bool // the stand-in has asked the process to end
}

func newFleet(rec *record) (*fleet, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("the program is not built: %w", err)
	}
	dir, err := os.MkdirTemp("", "stand2")
	if err != nil {
		return nil, err
	}
	f := &fleet{rec: rec, store: storetest.Start(), dir: dir, memoryMB: 284}
	for range 50 {
		f.base = 20000 + rand.IntN(8000)
		f.net = fmt.Sprintf("127.%d.%d.", 16+rand.IntN(200), rand.IntN(250))
		if f.portsFree() {
			return f, nil
		}
	}
	f.close()
	return nil, errors.New("no free ports")
}

// portsFree reports whether the first machines could listen on their ports.
func (f *fleet) portsFree() bool {
	for port := f.base; port < f.base+portCount; port++ {
		l, err := net.Listen("tcp4", fmt.Sprintf("%s11:%d", f.net, port))
		if err != nil {
			return false
		}
		l.Close()
	}
	return true
}

// addMachine starts a node with an instance beside it. With led, the other nodes
// reach it through a proxy.
func (f *fleet) addMachine(zone, service string, capacity int, led bool) (*machine, error) {
	f.mu.Lock()
	m := &machine{fleet: f, zone: zone, service: service, name: fmt.Sprintf("sidecar-%d", len(f.nodes)+1), ip: fmt.Sprintf("%s%d", f.net, 11+len(f.nodes))}
	f.nodes = append(f.nodes, m)
	f.mu.Unlock()
	var err error
	if led {
		if m.proxy, err = startProxy(m.addr(portAdvertised), m.addr(portInbound)); err != nil {
			return nil, err
		}
	}
	if m.instance, err = startInstance(m, capacity); err != nil {
		return nil, err
	}
	if err := m.writeSettings(); err != nil {
		return nil, err
	}
	return m, m.start()
}

func (m *machine) addr(port int) string { return fmt.Sprintf("%s:%d", m.ip, m.fleet.base+port) }

func (m *machine) settingsPath() string {
	return filepath.Join(m.fleet.dir, m.name+".conf")
}

func (m *machine) writeSettings() error {
	advertised := ""
	if m.proxy != nil {
		advertised = m.addr(portAdvertised)
	}
	text := render("settings.txt", map[string]any{
		"Name": m.name, "IP": m.ip, "Zone": m.zone, "Service": m.service, "MemoryMB": m.fleet.memoryMB,
		"Inbound": m.addr(portInbound), "Advertised": advertised, "Outbound": m.addr(portOutbound), "Ready": m.addr(portReady),
		"Control": m.addr(portControl), "Gossip": m.fleet.base + portGossip, "Instance": m.addr(portInstance), "Store": m.fleet.store.Addr(),
	})
	temporary := m.settingsPath() + ".new"
	if err := os.WriteFile(temporary, []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(temporary, m.settingsPath())
}

// start starts the process of the node.
func (m *machine) start() error {
	log, err := os.OpenFile(filepath.Join(m.fleet.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(program, programArgs...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + m.fleet.dir, name("settings-variable") + "=" + m.settingsPath()}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.mu.Lock()
	m.process, m.exited, m.ending = cmd, exited, false
	m.mu.Unlock()
	m.fleet.rec.line("node %s started on %s, zone %s, service %s", m.name, m.ip, m.zone, m.service)
	go func() {
		err := cmd.Wait()
		m.mu.Lock()
		ending := m.ending
		m.mu.Unlock()
		if !ending {
			m.fleet.rec.line("node %s ended by itself: %v", m.name, err)
		}
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process. ends states that it makes it end.
func (m *machine) signal(s syscall.Signal, ends bool) <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ending = m.ending || ends
	_ = m.process.Process.Signal(s) // it may have ended by itself
	return m.exited
}

// close ends all processes and removes the temporary folder. The logs of the nodes
// are kept if LOGS names a folder.
func (f *fleet) close() {
	f.once.Do(func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, m := range f.nodes {
			m.mu.Lock()
			p, exited := m.process, m.exited
			m.ending = true
			m.mu.Unlock()
			if p != nil {
				_ = p.Process.Kill() // it may have ended
				<-exited
			}
			if m.instance != nil {
				m.instance.close()
			}
		}
		if keep := os.Getenv("LOGS"); keep != "" {
			_ = os.CopyFS(keep, os.DirFS(f.dir))
		}
		_ = os.RemoveAll(f.dir)
	})
}

// awaitReady waits until every node is ready and has a target.
func (f *fleet) awaitReady(limit time.Duration) error {
	for deadline := time.Now().Add(limit); ; time.Sleep(50 * time.Millisecond) {
		waiting := ""
		for _, m := range f.nodes {
			if !m.isReady() {
				waiting = m.name
			}
		}
		if waiting == "" {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("node %s is not ready after %v", waiting, limit)
		}
	}
}

func (m *machine) isReady() bool {
	resp, err := plainClient.Get("http://" + m.addr(portReady) + name("ready-path"))
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == 200
}

// config is the operator's configuration.
type config struct {
	Version    int64
	Services   []string
	HasTenants bool // the configuration has a list of tenants, which may be empty
	Tenants    []tenant
	Routes     []route
}

// Host returns the host of all routes.
func (config) Host() string { return hostname }

type tenant struct{ Name, Key string }

// route is a route of one service, or of several if it has shares.
type route struct {
	Name      string
	Prefix    string
	Kind      string
	Timeout   float64 // seconds
	Objective float64 // seconds
	Priority  int
	Service   string
	Shares    []share
}

type share struct {
	Service string
	Weight  float64
}

// hostname is the host of all routes.
const hostname = "belts.example"

// bothServices are the services of all plays.
var bothServices = []string{"belt-desk", "firmware-depot"}

// publish writes a configuration to the store, whose answer acknowledges it.
func (f *fleet) publish(c config) {
	text := strings.TrimSpace(render("config.json", c))
	f.store.Put(name("operator-topic"), name("config-key"), []byte(text))
	f.rec.line("configuration %d acknowledged: %s", c.Version, text)
}
