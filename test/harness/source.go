package harness

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
)

// columnInode is the column of /proc/net/tcp with the inode, counted from the local
// address.
const columnInode = 8

// maxRowBytes is longer than any row of /proc/net/tcp.
const maxRowBytes = 512

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
	_, row, ok := bytes.Cut(table, []byte(kernelForm(local)+" "+kernelForm(remote)+" "))
	if !ok {
		return "", false
	}
	// The two addresses are the first columns of what counts.
	const found = 2
	columns := bytes.Fields(row[:min(len(row), maxRowBytes)])
	if len(columns) <= columnInode-found {
		return "", false
	}
	return string(columns[columnInode-found]), true
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
