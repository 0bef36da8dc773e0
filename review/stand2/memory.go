package main

import (
	"bufio"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"
)

// memory is what counts toward the limit of a process.
type memory struct {
	resident int64 // bytes of the process alone, without its program
	unread   int64 // bytes that its sockets have received and that it has not read
}

func (m memory) total() int64 { return m.resident + m.unread }

// memoryOf returns the memory of the process of a machine now.
func (m *machine) memoryOf() (memory, error) {
	m.mu.Lock()
	pid := m.process.Process.Pid
	m.mu.Unlock()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return memory{}, err
	}
	var resident int64
	for line := range strings.Lines(string(b)) {
		if f := strings.Fields(line); len(f) == 3 && f[0] == "RssAnon:" {
			resident, err = strconv.ParseInt(f[1], 10, 64)
		}
	}
	if err != nil {
		return memory{}, err
	}
	unread, err := m.unread()
	return memory{resident << 10, unread}, err
}

// stateListen is the state of listening sockets in /proc/net/tcp. Their queue counts
// connections. A socket without an inode is no longer open in a process.
const stateListen = "0A"

// unread returns the bytes in the receive queues of the sockets at which the node
// of a machine accepts connections.
func (m *machine) unread() (int64, error) {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0, err
	}
	defer file.Close()
	listens := map[string]bool{m.addr(portOutbound): true, m.addr(portInbound): true, m.addr(portControl): true, m.addr(portReady): true}
	var sum int64
	for scan := bufio.NewScanner(file); scan.Scan(); {
		f := strings.Fields(scan.Text())
		if len(f) < 10 || f[3] == stateListen || f[9] == "0" || !listens[decodeAddr(f[1])] {
			continue
		}
		_, rx, _ := strings.Cut(f[4], ":")
		n, err := strconv.ParseInt(rx, 16, 64)
		if err != nil {
			return 0, err
		}
		sum += n
	}
	return sum, nil
}

// decodeAddr converts an address of /proc/net/tcp to IP:port.
func decodeAddr(s string) string {
	host, port, _ := strings.Cut(s, ":")
	b, err := hex.DecodeString(host)
	p, portErr := strconv.ParseUint(port, 16, 16)
	if err != nil || portErr != nil || len(b) != 4 {
		return ""
	}
	var ip [4]byte
	binary.NativeEndian.PutUint32(ip[:], binary.BigEndian.Uint32(b))
	return netip.AddrPortFrom(netip.AddrFrom4(ip), uint16(p)).String()
}
