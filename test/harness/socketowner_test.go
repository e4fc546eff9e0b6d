package harness

import (
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

func TestSocketsOfManyConnectionsHaveDistinctInodes(t *testing.T) {
	listener, err := net.Listen("tcp", loopback+":0")
	assert.NilError(t, err)
	defer listener.Close()
	var wait sync.WaitGroup
	var seen sync.Map
	for range 50 {
		client, err := net.Dial("tcp", listener.Addr().String())
		assert.NilError(t, err)
		defer client.Close()
		wait.Go(func() {
			inode, ok := socketInode(client.LocalAddr(), client.RemoteAddr())
			assert.Check(t, ok)
			_, known := seen.LoadOrStore(inode, true)
			assert.Check(t, !known, "inode %s was returned twice", inode)
		})
	}
	wait.Wait()
}

// TestSocketTableReadsAreShared guards against one table read per connection: hundreds of lookups
// arrive during a read and must share a few later reads.
func TestSocketTableReadsAreShared(t *testing.T) {
	var reads atomic.Int64
	firstStarted, proceed := make(chan struct{}), make(chan struct{})
	table := &socketTable{}
	table.readFile = func() ([]byte, error) {
		if reads.Add(1) == 1 {
			close(firstStarted)
			<-proceed
		}
		return []byte(" 0: A B 01 0:0 0:0 0 0 0 " + strconv.Itoa(int(reads.Load())) + " 1\n"), nil
	}
	var wait sync.WaitGroup
	wait.Go(func() { _, _ = table.read() })
	<-firstStarted
	var started sync.WaitGroup
	for range 300 {
		started.Add(1)
		wait.Go(func() {
			started.Done()
			got, err := table.read()
			assert.Check(t, err)
			// A lookup must not get the result of a read that started before it.
			assert.Check(t, got["A B"] != "1", "%v", got)
		})
	}
	started.Wait()
	close(proceed)
	wait.Wait()
	assert.Assert(t, reads.Load() <= 5, "the table was read %d times", reads.Load())
}
