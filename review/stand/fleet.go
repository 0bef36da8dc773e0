package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"hyssopbridge/platform/storetest"
)

// Ports of a node. Each node has its own loopback address.
const (
	portInbound  = 8145
	portOutbound = 8141
	portReady    = 8140
	portControl  = 8146
	portInstance = 8147
	portFirst    = 7660 // first port of the range for messages between nodes
	portLast     = 7675
	portMetrics  = 9464 // of the deploy file
	// portStoreLink is where the node reaches the store, through a relay.
	portStoreLink = 8142
)

// The program and its arguments, from the deploy file.
var nodeCommand = []string{"target/hyssopbridge", "platform", "-metrics", "9464"}

const (
	clientHost   = "shop.example"
	readyTimeout = 25 * time.Second
)

// fleet is a small deployment: a store and nodes, each with an instance beside
// it.
type fleet struct {
	dir   string
	rec   *record
	store *storetest.Store
	nodes []*node
}

// node is a process of the project and the settings that it is started with.
type node struct {
	fleet   *fleet
	index   int
	ip      string
	zone    string
	service string
	log     *os.File
	toStore *link

	mu      sync.Mutex
	process *os.Process
	exited  chan struct{}
	ends    bool // a signal of the case ends the process
	closed  bool // the case has ended, so no process may start
	first   bool // the whole system starts for the first time
}

// place is where a node of a fleet runs and the service of its instance.
type place struct{ zone, service string }

// newFleet prepares a fleet without starting its nodes.
func newFleet(rec *record, places []place) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, rec: rec, store: storetest.Start()}
	network, err := freeNetwork(len(places))
	if err != nil {
		return nil, err
	}
	for i, p := range places {
		n := &node{fleet: f, index: i, ip: fmt.Sprintf("%s.%d", network, 10+i), zone: p.zone, service: p.service, first: true}
		if n.log, err = os.Create(filepath.Join(dir, fmt.Sprintf("node-%d.log", i))); err != nil {
			return nil, err
		}
		if n.toStore, err = startLink(n.addr(portStoreLink), f.store.Addr()); err != nil {
			return nil, err
		}
		f.nodes = append(f.nodes, n)
	}
	return f, nil
}

// freeNetwork returns the first three numbers of loopback addresses whose ports
// are free.
func freeNetwork(hosts int) (string, error) {
	for try := range 50 {
		seed := os.Getpid() + 7919*try
		network := fmt.Sprintf("127.%d.%d", 80+seed%100, 1+seed/100%250)
		if networkIsFree(network, hosts) {
			return network, nil
		}
	}
	return "", fmt.Errorf("no free loopback addresses")
}

func networkIsFree(network string, hosts int) bool {
	for i := range hosts {
		for _, port := range []int{portInbound, portOutbound, portReady, portControl, portInstance, portMetrics, portFirst, portStoreLink} {
			l, err := net.Listen("tcp4", fmt.Sprintf("%s.%d:%d", network, 10+i, port))
			if err != nil {
				return false
			}
			l.Close()
		}
	}
	return true
}

func (n *node) addr(port int) string { return fmt.Sprintf("%s:%d", n.ip, port) }

func (n *node) settings() string {
	return render("settings.txt", map[string]any{
		"Index": n.index, "IP": n.ip, "Zone": n.zone, "Service": n.service, "First": n.first,
		"Inbound": n.addr(portInbound), "Outbound": n.addr(portOutbound), "Ready": n.addr(portReady), "Control": n.addr(portControl),
		"FirstPort": portFirst, "LastPort": portLast, "Instance": n.addr(portInstance), "Store": n.addr(portStoreLink),
	}) + "\n"
}

// start starts the process.
func (n *node) start() error {
	path := filepath.Join(n.fleet.dir, fmt.Sprintf("node-%d.conf", n.index))
	if err := os.WriteFile(path, []byte(n.settings()), 0o600); err != nil {
		return err
	}
	cmd := exec.Command(nodeCommand[0], nodeCommand[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", name("settings-variable") + "=" + path}
	cmd.Stdout, cmd.Stderr = n.log, n.log
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return fmt.Errorf("node %d: the case has ended", n.index)
	}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start node %d: %w", n.index, err)
	}
	exited := make(chan struct{})
	n.process, n.exited, n.ends, n.first = cmd.Process, exited, false, false
	n.fleet.rec.add("node %d at %s starts, zone %s, service %s", n.index, n.ip, n.zone, n.service)
	go func() {
		_ = cmd.Wait() // the state of the process is not needed
		n.mu.Lock()
		if !n.ends {
			n.fleet.rec.add("node %d ended by itself", n.index)
		}
		n.mu.Unlock()
		close(exited)
	}()
	return nil
}

// kill ends the process at once and waits until it has ended.
func (n *node) kill() {
	n.mu.Lock()
	p, exited := n.process, n.exited
	n.ends = true
	n.mu.Unlock()
	if p == nil {
		return
	}
	_ = p.Signal(syscall.SIGKILL) // it may have ended
	<-exited
	n.fleet.rec.add("node %d killed", n.index)
}

// ready reports whether the node is ready.
func (n *node) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + n.addr(portReady) + name("ready-path"))
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// start starts all nodes and waits until they are ready.
func (f *fleet) start() error {
	for _, n := range f.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		count := 0
		for _, n := range f.nodes {
			if n.ready() {
				count++
			}
		}
		if count == len(f.nodes) {
			f.rec.add("all nodes are ready")
			return nil
		}
	}
	return fmt.Errorf("not all nodes were ready within %v", readyTimeout)
}

// publish writes a configuration to the store and returns the time of the
// acknowledgement.
func (f *fleet) publish(version int, routes ...string) time.Time {
	text := render("config.json", map[string]any{"Version": version, "Host": clientHost, "Routes": strings.Join(routes, ",")})
	f.store.Put(name("operator-topic"), name("config-key"), []byte(text))
	at := time.Now()
	f.rec.add("configuration %d acknowledged", version)
	return at
}

// route returns a route of a configuration.
func route(prefix, kind, service string) string {
	return render("route.json", map[string]any{"Prefix": prefix, "Kind": kind, "Service": service})
}

// close ends all processes and removes the temporary folder.
func (f *fleet) close() {
	for _, n := range f.nodes {
		n.mu.Lock()
		n.closed = true
		n.mu.Unlock()
		n.kill()
		n.log.Close()
		n.toStore.listener.Close()
	}
	f.store.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir) // a temporary folder that stays does no harm
	} else {
		fmt.Println("logs are in", f.dir)
	}
}
