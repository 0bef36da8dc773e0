package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"hyssopbridge/platform/storetest"
)

const (
	numNodes     = 3
	metricsPort  = 9464 // of the deploy file
	readyTimeout = 20 * time.Second
	pollInterval = 50 * time.Millisecond
	testHost     = "orders.example"
	serviceName  = "desk"
)

// Ports of a node besides metricsPort. Each node has a loopback address of its own.
const (
	portInbound = 20140 + iota
	portOutbound
	portReady
	portControl
	portInstance
	portGossip
)

// fleet is a small deployment: a store, nodes and the instances beside them.
type fleet struct {
	store *storetest.Store
	rec   *recorder
	dir   string
	nodes []*node
}

// node is a process of the node program with its instance.
type node struct {
	name     string
	ip       string
	settings string
	log      *os.File
	instance *instance

	process *os.Process
	exited  chan struct{} // closed when the process has ended
}

func (n *node) addr(port int) string { return fmt.Sprintf("%s:%d", n.ip, port) }

func startFleet(program string, rec *recorder, s scenario) (f *fleet, err error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	f = &fleet{store: storetest.Start(), rec: rec, dir: dir}
	defer func() {
		if err != nil {
			f.stop()
		}
	}()
	f.store.Put(names["configtopic"], "config", []byte(configText))
	network, err := freeNetwork()
	if err != nil {
		return f, err
	}
	for i := range numNodes {
		n := &node{name: fmt.Sprintf("sidecar-a-%d", i+1), ip: fmt.Sprintf("%s.%d", network, i+1)}
		f.nodes = append(f.nodes, n)
		n.instance, err = startInstance(n, rec, s.instances)
		if err != nil {
			return f, err
		}
		if err = n.start(program, dir, f.store.Addr()); err != nil {
			return f, err
		}
	}
	if err = f.awaitReady(); err != nil {
		return f, err
	}
	time.Sleep(settle)
	return f, nil
}

// freeNetwork returns the first three parts of loopback addresses on which the
// ports of the nodes are free.
func freeNetwork() (string, error) {
	for try := range 50 {
		network := fmt.Sprintf("127.%d.%d", 130+(os.Getpid()/250+try)%100, 1+os.Getpid()%250)
		free := true
		for i := range numNodes {
			for _, port := range []int{portInbound, portOutbound, portReady, portControl, portInstance, portGossip, metricsPort} {
				l, err := net.Listen("tcp4", fmt.Sprintf("%s.%d:%d", network, i+1, port))
				if err != nil {
					free = false
					continue
				}
				l.Close()
			}
		}
		if free {
			return network, nil
		}
	}
	return "", errors.New("found no loopback addresses with free ports")
}

func (n *node) start(program, dir, store string) error {
	n.settings = filepath.Join(dir, n.name+".conf")
	text := fill(settingsText, "NAME", n.name, "IP", n.ip, "INBOUND", n.addr(portInbound), "OUTBOUND", n.addr(portOutbound),
		"READY", n.addr(portReady), "CONTROL", n.addr(portControl), "GOSSIP", fmt.Sprint(portGossip),
		"INSTANCE", n.addr(portInstance), "SERVICE", serviceName, "STORE", store)
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(dir, n.name+".log"))
	if err != nil {
		return err
	}
	n.log = log
	cmd := exec.Command(program, "platform", "-metrics", fmt.Sprint(metricsPort))
	cmd.Env = []string{names["boot"] + "=" + n.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + dir, "LANG=C"}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.process, n.exited = cmd.Process, exited
	go func() {
		_ = cmd.Wait() // how a process ended is in its log
		close(exited)
	}()
	return nil
}

func (f *fleet) awaitReady() error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		ready := 0
		for _, n := range f.nodes {
			resp, err := client.Get("http://" + n.addr(portReady) + names["ready"])
			if err != nil {
				continue
			}
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(f.nodes) {
			return nil
		}
	}
	return fmt.Errorf("not all nodes were ready within %v", readyTimeout)
}

// unexpectedEnd returns an error if a process has ended that should be running.
func (f *fleet) unexpectedEnd() error {
	for _, n := range f.nodes {
		select {
		case <-n.exited:
			return fmt.Errorf("node %s ended by itself", n.name)
		default:
		}
	}
	return nil
}

// stop ends all processes that the fleet started.
func (f *fleet) stop() {
	for _, n := range f.nodes {
		if n.instance != nil {
			n.instance.stop()
		}
		if n.process != nil {
			_ = n.process.Kill() // fails if the process has ended
			<-n.exited
			n.log.Close()
		}
	}
	f.store.Close()
	if os.Getenv("KEEP_LOGS") != "" {
		f.rec.note("logs are in %s", f.dir)
		return
	}
	_ = os.RemoveAll(f.dir)
}
