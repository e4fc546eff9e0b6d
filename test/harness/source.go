package harness

import (
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
)

// Columns of /proc/net/tcp.
const (
	columnLocal  = 1
	columnRemote = 2
	columnInode  = 9
	tcpColumns   = 10
)

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
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return "", false
	}
	from, to := kernelForm(local), kernelForm(remote)
	for _, line := range strings.Split(string(table), "\n") {
		columns := strings.Fields(line)
		if len(columns) >= tcpColumns && columns[columnLocal] == from && columns[columnRemote] == to {
			return columns[columnInode], true
		}
	}
	return "", false
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
