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

// columnInode is the column of /proc/net/tcp with the inode, counted from the local
// address.
const columnInode = 8

// sourceOf names the process at the other end of an accepted connection on the
// loopback address. It looks the end up in the kernel's table of sockets.
func (c *Cluster) sourceOf(conn net.Conn) string {
	inode, ok := inodeOf(conn.RemoteAddr(), conn.LocalAddr())
	if !ok {
		return ""
	}
	for _, h := range c.Hosts() {
		for _, p := range []*Process{h.Gate, h.Scheduler} {
			if p.owns(inode) {
				return p.Name
			}
		}
	}
	return ""
}

// owns reports whether the process has a socket open.
func (p *Process) owns(inode string) bool {
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

// inodeOf returns the inode of the socket with these two addresses.
func inodeOf(local, remote net.Addr) (string, bool) {
	table, err := sockets.read()
	if err != nil {
		return "", false
	}
	inode, ok := table[kernelForm(local)+" "+kernelForm(remote)]
	return inode, ok
}

// sockets is the kernel's table of sockets, by their addresses.
var sockets = &socketTable{readFile: func() ([]byte, error) { return os.ReadFile("/proc/net/tcp") }}

// socketTable shares readings of the table. Connections come by the hundred when a process
// is killed, and the kernel takes long for a long table: a reading for each of them would
// hold up the next ones, which are tried again.
type socketTable struct {
	readFile func() ([]byte, error)
	// one is held by the reading that goes on.
	one sync.Mutex
	// mu guards next, the reading that who comes now waits for; it has not begun.
	mu   sync.Mutex
	next *reading
}

type reading struct {
	done  chan struct{}
	table map[string]string
	err   error
}

// read returns what a reading found that began after the call.
func (s *socketTable) read() (map[string]string, error) {
	s.mu.Lock()
	r := s.next
	if r == nil {
		r = &reading{done: make(chan struct{})}
		s.next = r
		go s.carryOut(r)
	}
	s.mu.Unlock()
	<-r.done
	return r.table, r.err
}

func (s *socketTable) carryOut(r *reading) {
	s.one.Lock()
	defer s.one.Unlock()
	s.mu.Lock()
	s.next = nil
	s.mu.Unlock()
	data, err := s.readFile()
	r.table, r.err = parseTable(data), err
	close(r.done)
}

// parseTable returns the inodes by local and remote address.
func parseTable(data []byte) map[string]string {
	table := map[string]string{}
	for row := range strings.Lines(string(data)) {
		// The row's number comes before the addresses.
		if columns := strings.Fields(row); len(columns) > columnInode+1 {
			table[columns[1]+" "+columns[2]] = columns[columnInode+1]
		}
	}
	return table
}

// kernelForm writes an address as /proc/net/tcp does: the bytes of the IP in reverse,
// and the port, in hexadecimal.
func kernelForm(addr net.Addr) string {
	tcp, ok := addr.(*net.TCPAddr)
	if !ok || tcp.IP.To4() == nil {
		return ""
	}
	ip := tcp.IP.To4()
	reversed := []byte{ip[3], ip[2], ip[1], ip[0]}
	return strings.ToUpper(fmt.Sprintf("%s:%04x", hex.EncodeToString(reversed), tcp.Port))
}
