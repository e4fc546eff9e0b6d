package routing

import (
	"context"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"agatewinch/internal/core"
	"agatewinch/internal/errkind"
	"agatewinch/internal/peer"
	"agatewinch/internal/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fault is what happens to one call.
type fault int

const (
	noFault fault = iota
	// unreachable fails the call before anything is sent.
	unreachable
	// requestLost breaks the connection before the scheduler receives the request.
	requestLost
	// answerLost breaks the connection after the scheduler has handled the request.
	answerLost
	faultCount
)

// fakeCluster is a set of fake schedulers that share a log of admitted jobs.
type fakeCluster struct {
	mu         sync.Mutex
	schedulers map[string]*fakeScheduler
	changed    chan struct{}
	// log holds the zone and digest of each logged job; only the first entry of a job is
	// kept.
	log map[core.JobID]logEntry
	// starts counts the starts of each job on all schedulers.
	starts             map[core.JobID]int
	heartbeatExchanges int
}

type logEntry struct {
	zone   core.ZoneID
	digest uint64
}

// fakeScheduler is one scheduler of a fakeCluster.
type fakeScheduler struct {
	cluster   *fakeCluster
	heartbeat wire.Heartbeat
	// refuse, if set, is the answer to all submissions of unknown jobs.
	refuse *errkind.Error
	// refuseLogged, if set, is the answer to submissions that need the log.
	refuseLogged *errkind.Error
	// script returns the fault to inject into the next call.
	script func(kind wire.Kind) fault
	// jobs holds the request digest of each job that the scheduler knows.
	jobs  map[core.JobID]uint64
	calls []wire.Kind
	// submits has the submissions in order of receipt.
	submits []wire.Submit
	// unblock, if set, blocks successful calls until it is closed.
	unblock chan struct{}
	// connBroken makes blocked calls fail with peer.ErrLost once they are unblocked.
	connBroken bool
}

func newFakeCluster(zones ...core.ZoneID) *fakeCluster {
	cl := &fakeCluster{
		schedulers: map[string]*fakeScheduler{}, changed: make(chan struct{}),
		log: map[core.JobID]logEntry{}, starts: map[core.JobID]int{},
	}
	for _, z := range zones {
		cl.add("s-"+string(z), z, true, 1)
	}
	return cl
}

func (cl *fakeCluster) add(host string, zone core.ZoneID, active bool, term core.Term) *fakeScheduler {
	load := core.Stats{FreeAccelerators: 64, LargestFreeCell: 8}
	f := &fakeScheduler{
		cluster: cl, jobs: map[core.JobID]uint64{}, script: func(wire.Kind) fault { return noFault },
		heartbeat: wire.Heartbeat{Host: host, Role: wire.RoleScheduler, Zone: zone, Active: active, Term: term, Load: load},
	}
	cl.schedulers[host] = f
	return f
}

func (cl *fakeCluster) router(change ...func(*Options)) *Router {
	opts := Options{
		Zone: "a", Directory: cl, ResolveTimeout: 400 * time.Millisecond,
		Zones: func() []core.ZoneID {
			cl.mu.Lock()
			defer cl.mu.Unlock()
			var zones []core.ZoneID
			for _, f := range cl.schedulers {
				zones = append(zones, f.heartbeat.Zone)
			}
			return zones
		},
	}
	for _, c := range change {
		c(&opts)
	}
	return New(opts)
}

// update changes the cluster and notifies the router.
func (cl *fakeCluster) update(change func()) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	change()
	close(cl.changed)
	cl.changed = make(chan struct{})
}

func (cl *fakeCluster) Schedulers() []wire.Heartbeat {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	var out []wire.Heartbeat
	for _, f := range cl.schedulers {
		out = append(out, f.heartbeat)
	}
	return out
}

func (cl *fakeCluster) SchedulerClient(host string) Client {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if f, ok := cl.schedulers[host]; ok {
		return f
	}
	return nil
}

func (cl *fakeCluster) ExchangeHeartbeats(context.Context, core.ZoneID) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.heartbeatExchanges++
}

func (cl *fakeCluster) Changed() <-chan struct{} {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.changed
}

func (cl *fakeCluster) started(job core.JobID) int {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.starts[job]
}

func (f *fakeScheduler) count(kind wire.Kind) int {
	f.cluster.mu.Lock()
	defer f.cluster.mu.Unlock()
	n := 0
	for _, k := range f.calls {
		if k == kind {
			n++
		}
	}
	return n
}

func (f *fakeScheduler) Call(ctx context.Context, kind wire.Kind, body, out any) error {
	f.cluster.mu.Lock()
	f.calls = append(f.calls, kind)
	injected, unblock := f.script(kind), f.unblock
	f.cluster.mu.Unlock()
	switch injected {
	case unreachable:
		return peer.ErrNotSent
	case requestLost:
		return peer.ErrLost
	}
	reply, err := f.serve(body)
	if unblock != nil && err == nil {
		select {
		case <-unblock:
			if f.isConnBroken() {
				return peer.ErrLost
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if injected == answerLost {
		return peer.ErrLost
	}
	if err == nil {
		*out.(*wire.JobReply) = reply
	}
	return err
}

func (f *fakeScheduler) isConnBroken() bool {
	f.cluster.mu.Lock()
	defer f.cluster.mu.Unlock()
	return f.connBroken
}

func (f *fakeScheduler) serve(body any) (wire.JobReply, error) {
	f.cluster.mu.Lock()
	defer f.cluster.mu.Unlock()
	switch req := body.(type) {
	case wire.Submit:
		f.submits = append(f.submits, req)
		return f.submit(req)
	case wire.Wait:
		return f.find(req.Job)
	case wire.Cancel:
		return f.find(req.Job)
	}
	return wire.JobReply{}, errkind.New(errkind.InvalidRequest, "unknown request")
}

func (f *fakeScheduler) find(job core.JobID) (wire.JobReply, error) {
	if !f.heartbeat.Active {
		return wire.JobReply{}, errkind.New(errkind.NoScheduler, "not active")
	}
	if _, ok := f.jobs[job]; ok {
		return f.reply(job), nil
	}
	if l, ok := f.cluster.log[job]; ok {
		return wire.JobReply{Job: job, Zone: l.zone, Elsewhere: l.zone != f.heartbeat.Zone}, nil
	}
	return wire.JobReply{}, errkind.New(errkind.NotFound, "not known")
}

func (f *fakeScheduler) reply(job core.JobID) wire.JobReply {
	return wire.JobReply{
		Job: job, State: core.Succeeded, Zone: f.heartbeat.Zone,
		Outcome: &core.Outcome{State: core.Succeeded, Ran: errkind.RanYes, Outputs: []core.TaskOutput{{Output: []byte(job)}}},
	}
}

func (f *fakeScheduler) submit(req wire.Submit) (wire.JobReply, error) {
	id := req.Job.ID
	if !f.heartbeat.Active {
		return wire.JobReply{}, errkind.New(errkind.NoScheduler, "not active")
	}
	if digest, ok := f.jobs[id]; ok {
		if digest != req.Digest {
			return wire.JobReply{}, errkind.New(errkind.RequestMismatch, "another body")
		}
		return f.reply(id), nil
	}
	if l, ok := f.cluster.log[id]; ok && l.zone != f.heartbeat.Zone {
		return wire.JobReply{Job: id, State: core.Queued, Zone: l.zone, Elsewhere: true}, nil
	} else if ok {
		f.jobs[id] = l.digest
		return f.reply(id), nil
	}
	if f.refuse != nil {
		return wire.JobReply{}, f.refuse
	}
	if f.refuseLogged != nil && req.Job.Logged {
		return wire.JobReply{}, f.refuseLogged
	}
	f.jobs[id] = req.Digest
	if req.Job.Logged {
		f.cluster.log[id] = logEntry{zone: f.heartbeat.Zone, digest: req.Digest}
	}
	f.cluster.starts[id]++
	return f.reply(id), nil
}

// once returns a script that injects a fault into the first call of a kind only.
func once(kind wire.Kind, injected fault) func(wire.Kind) fault {
	used := false
	return func(k wire.Kind) fault {
		if k != kind || used {
			return noFault
		}
		used = true
		return injected
	}
}

func always(injected fault) func(wire.Kind) fault { return func(wire.Kind) fault { return injected } }

func idempotentJob(id core.JobID) wire.Submit {
	return wire.Submit{
		Wait: 2 * time.Second, Digest: 1,
		Job: core.Job{ID: id, Org: "o", Class: "c", Idempotent: true, Waiting: true, Shape: core.Shape{Cells: 1, CellSize: 1}},
	}
}

func nonIdempotentJob(id core.JobID) wire.Submit {
	req := idempotentJob(id)
	req.Job.Idempotent, req.Job.Logged = false, true
	return req
}

// waitFor waits for cond to become true, up to a timeout.
func waitFor(t *testing.T, cond func() bool) {
	deadline := time.Now().Add(30 * time.Second)
	for !cond() {
		if time.Now().After(deadline) {
			t.Error("timed out waiting for a condition")
			return
		}
		time.Sleep(time.Millisecond)
	}
}
