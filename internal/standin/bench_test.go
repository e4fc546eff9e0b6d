package standin

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agatewinch/internal/core"
	"agatewinch/internal/platform"
	"agatewinch/internal/platform/httpadapter"
)

// BenchmarkShortTaskOverHTTP measures one short task over HTTP: reservation, start and the
// report of its end. The tasks are spread over 96 workers in turn.
func BenchmarkShortTaskOverHTTP(b *testing.B) {
	const workers = 96
	backend := &httpadapter.Backend{Client: httpadapter.NewClient(8)}
	l, c := newLedger(), newCheckpoints()
	var addrs []string
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for i := range workers {
		def := core.Worker{ID: core.WorkerID(fmt.Sprintf("w%d", i)), CPU: 64, MemoryBytes: 1 << 40, Accelerators: 8, Slots: 8}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(b, err)
		addrs = append(addrs, listener.Addr().String())
		w := newWorker(def, WorkerFaults{MaxConns: 64}, l, c, newRendezvous())
		go func() {
			_ = serveHTTP(ctx, &limitedListener{Listener: listener, counter: &w.conns}, workerHandler(w))
		}()
	}
	received := make([]uint64, workers)
	n := 0
	for b.Loop() {
		job := testJob(Behaviour{RunSeconds: 1e-6, Output: "x"})
		task := core.TaskRef{Job: core.JobID(fmt.Sprint(n)), Attempt: 1}
		i := n % workers
		addr := addrs[i]
		n++
		batch := platform.Batch{Holder: firstHolder, TTL: time.Minute, Ops: []platform.Op{
			{Kind: platform.OpReserve, Task: task, Job: job, TTL: time.Minute}, {Kind: platform.OpStart, Task: task},
		}}
		_, err := backend.Do(ctx, addr, batch)
		assert.NilError(b, err)
		reply, err := backend.Renew(ctx, addr, platform.RenewRequest{Holder: firstHolder, TTL: time.Minute, After: received[i], Wait: time.Second})
		assert.NilError(b, err)
		assert.Equal(b, len(reply.Reports), 1)
		received[i] = reply.Reports[0].Seq
	}
}
