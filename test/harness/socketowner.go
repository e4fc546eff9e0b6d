package harness

import (
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
)

// columnInode is the index of the inode column in /proc/net/tcp, where the local address has
// index 0.
const columnInode = 8

// sourceOf returns the name of the process at the remote end of an accepted loopback
// connection, or "" if it is unknown. It looks the remote socket up in the kernel's socket
// table.
func (c *Cluster) sourceOf(conn net.Conn) string {
	inode, ok := socketInode(conn.RemoteAddr(), conn.LocalAddr())
	if !ok {
		return ""
	}
	for _, h := range c.Hosts() {
		for _, p := range []*Process{h.Gate, h.Scheduler} {
			if p.ownsSocket(inode) {
				return p.Name
			}
		}
	}
	return ""
}

// ownsSocket reports whether the process has the socket with this inode open.
func (p *Process) ownsSocket(inode string) bool {
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	if cmd == nil {
		return false
	}
	dir := "/proc/" + strconv.Itoa(cmd.Process.Pid) + "/fd"
	files, err := os.ReadDir(dir)
	if err != nil {
		return false
	}
	want := "socket:[" + inode + "]"
	for _, f := range files {
		if name, err := os.Readlink(dir + "/" + f.Name()); err == nil && name == want {
			return true
		}
	}
	return false
}

// socketInode returns the inode of the socket with these addresses.
func socketInode(local, remote net.Addr) (string, bool) {
	table, err := sockets.read()
	if err != nil {
		return "", false
	}
	inode, ok := table[procNetTCPAddr(local)+" "+procNetTCPAddr(remote)]
	return inode, ok
}

// sockets reads the kernel's table of IPv4 TCP sockets.
var sockets = &socketTable{readFile: func() ([]byte, error) { return os.ReadFile("/proc/net/tcp") }}

// socketTable shares reads of the table among concurrent lookups. When a process is killed,
// hundreds of connections arrive, and reading a large table takes the kernel a long time. One
// read per connection would delay later connections until their clients retry them.
type socketTable struct {
	readFile func() ([]byte, error)
	// readMu is held during a read.
	readMu sync.Mutex
	// mu guards next, the read that new lookups join because it has not started yet. It is
	// nil if there is none.
	mu   sync.Mutex
	next *tableRead
}

type tableRead struct {
	done  chan struct{}
	table map[string]string
	err   error
}

// read returns the result of a table read that starts after the call to read.
func (s *socketTable) read() (map[string]string, error) {
	s.mu.Lock()
	r := s.next
	if r == nil {
		r = &tableRead{done: make(chan struct{})}
		s.next = r
		go s.load(r)
	}
	s.mu.Unlock()
	<-r.done
	return r.table, r.err
}

func (s *socketTable) load(r *tableRead) {
	s.readMu.Lock()
	defer s.readMu.Unlock()
	s.mu.Lock()
	s.next = nil
	s.mu.Unlock()
	data, err := s.readFile()
	r.table, r.err = parseSocketTable(data), err
	close(r.done)
}

// parseSocketTable returns the socket inodes, keyed by local and remote address.
func parseSocketTable(data []byte) map[string]string {
	table := map[string]string{}
	for row := range strings.Lines(string(data)) {
		// The row number precedes the addresses.
		if columns := strings.Fields(row); len(columns) > columnInode+1 {
			table[columns[1]+" "+columns[2]] = columns[columnInode+1]
		}
	}
	return table
}

// procNetTCPAddr formats an address as in /proc/net/tcp: the bytes of the IPv4 address in
// reverse order and the port, in hexadecimal. It returns "" for any other address.
func procNetTCPAddr(addr net.Addr) string {
	tcp, ok := addr.(*net.TCPAddr)
	if !ok || tcp.IP.To4() == nil {
		return ""
	}
	ip := tcp.IP.To4()
	reversed := []byte{ip[3], ip[2], ip[1], ip[0]}
	return strings.ToUpper(fmt.Sprintf("%s:%04x", hex.EncodeToString(reversed), tcp.Port))
}
