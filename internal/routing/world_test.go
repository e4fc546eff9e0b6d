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
	healthy fault = iota
	// unreachable sends nothing.
	unreachable
	// requestLost breaks the link before the scheduler has the request.
	requestLost
	// answerLost breaks the link after the scheduler has carried the request out.
	answerLost
	faults
)

// world is a set of fake schedulers that share a log of admitted jobs.
type world struct {
	mu         sync.Mutex
	schedulers map[string]*fake
	changed    chan struct{}
	// log holds the zone and digest of each logged job; the first entry counts.
	log map[core.JobID]logged
	// starts counts how often each job was started anywhere.
	starts map[core.JobID]int
	probes int
}

type logged struct {
	zone   core.ZoneID
	digest uint64
}

// fake is one scheduler.
type fake struct {
	world *world
	beat  wire.Heartbeat
	// refuse, if set, is the answer to all submissions of unknown jobs.
	refuse *errkind.Error
	// refuseLogged, if set, is the answer to submissions that need the log.
	refuseLogged *errkind.Error
	// script returns the fault of the next call.
	script func(kind wire.Kind) fault
	jobs   map[core.JobID]uint64
	calls  []wire.Kind
	// submits keeps the submissions as they came.
	submits []wire.Submit
	// hold, if set, keeps submissions waiting until it is closed.
	hold chan struct{}
	// broken is true when held calls end as lost.
	broken bool
}

func newWorld(zones ...core.ZoneID) *world {
	w := &world{
		schedulers: map[string]*fake{}, changed: make(chan struct{}),
		log: map[core.JobID]logged{}, starts: map[core.JobID]int{},
	}
	for _, z := range zones {
		w.add("s-"+string(z), z, true, 1)
	}
	return w
}

func (w *world) add(host string, zone core.ZoneID, active bool, term core.Term) *fake {
	load := core.Stats{FreeAccelerators: 64, LargestFreeCell: 8}
	f := &fake{
		world: w, jobs: map[core.JobID]uint64{}, script: func(wire.Kind) fault { return healthy },
		beat: wire.Heartbeat{Host: host, Role: wire.RoleScheduler, Zone: zone, Active: active, Term: term, Load: load},
	}
	w.schedulers[host] = f
	return f
}

func (w *world) router(change ...func(*Options)) *Router {
	opts := Options{
		Zone: "a", Directory: w, ResolveTimeout: 400 * time.Millisecond,
		Zones: func() []core.ZoneID {
			w.mu.Lock()
			defer w.mu.Unlock()
			var zones []core.ZoneID
			for _, f := range w.schedulers {
				zones = append(zones, f.beat.Zone)
			}
			return zones
		},
	}
	for _, c := range change {
		c(&opts)
	}
	return New(opts)
}

// update changes the world and tells the router.
func (w *world) update(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *world) Schedulers() []wire.Heartbeat {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []wire.Heartbeat
	for _, f := range w.schedulers {
		out = append(out, f.beat)
	}
	return out
}

func (w *world) Caller(host string) Caller {
	w.mu.Lock()
	defer w.mu.Unlock()
	if f, ok := w.schedulers[host]; ok {
		return f
	}
	return nil
}

func (w *world) Probe(context.Context, core.ZoneID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.probes++
}

func (w *world) Changed() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.changed
}

func (w *world) started(job core.JobID) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts[job]
}

func (f *fake) count(kind wire.Kind) int {
	f.world.mu.Lock()
	defer f.world.mu.Unlock()
	n := 0
	for _, k := range f.calls {
		if k == kind {
			n++
		}
	}
	return n
}

func (f *fake) Call(ctx context.Context, kind wire.Kind, body, out any) error {
	f.world.mu.Lock()
	f.calls = append(f.calls, kind)
	what, hold := f.script(kind), f.hold
	f.world.mu.Unlock()
	switch what {
	case unreachable:
		return peer.ErrNotSent
	case requestLost:
		return peer.ErrLost
	}
	reply, err := f.carryOut(body)
	if hold != nil && err == nil {
		select {
		case <-hold:
			if f.isBroken() {
				return peer.ErrLost
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if what == answerLost {
		return peer.ErrLost
	}
	if err == nil {
		*out.(*wire.JobReply) = reply
	}
	return err
}

func (f *fake) isBroken() bool {
	f.world.mu.Lock()
	defer f.world.mu.Unlock()
	return f.broken
}

func (f *fake) carryOut(body any) (wire.JobReply, error) {
	f.world.mu.Lock()
	defer f.world.mu.Unlock()
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

func (f *fake) find(job core.JobID) (wire.JobReply, error) {
	if !f.beat.Active {
		return wire.JobReply{}, errkind.New(errkind.NoScheduler, "not active")
	}
	if _, ok := f.jobs[job]; ok {
		return f.reply(job), nil
	}
	if l, ok := f.world.log[job]; ok {
		return wire.JobReply{Job: job, Zone: l.zone, Elsewhere: l.zone != f.beat.Zone}, nil
	}
	return wire.JobReply{}, errkind.New(errkind.NotFound, "not known")
}

func (f *fake) reply(job core.JobID) wire.JobReply {
	return wire.JobReply{
		Job: job, State: core.Succeeded, Zone: f.beat.Zone,
		Outcome: &core.Outcome{State: core.Succeeded, Ran: errkind.RanYes, Outputs: []core.TaskOutput{{Output: []byte(job)}}},
	}
}

func (f *fake) submit(req wire.Submit) (wire.JobReply, error) {
	id := req.Job.ID
	if !f.beat.Active {
		return wire.JobReply{}, errkind.New(errkind.NoScheduler, "not active")
	}
	if digest, ok := f.jobs[id]; ok {
		if digest != req.Digest {
			return wire.JobReply{}, errkind.New(errkind.RequestMismatch, "another body")
		}
		return f.reply(id), nil
	}
	if l, ok := f.world.log[id]; ok && l.zone != f.beat.Zone {
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
		f.world.log[id] = logged{zone: f.beat.Zone, digest: req.Digest}
	}
	f.world.starts[id]++
	return f.reply(id), nil
}

// once returns a script with one fault for calls of a kind and none after.
func once(kind wire.Kind, what fault) func(wire.Kind) fault {
	used := false
	return func(k wire.Kind) fault {
		if k != kind || used {
			return healthy
		}
		used = true
		return what
	}
}

func always(what fault) func(wire.Kind) fault { return func(wire.Kind) fault { return what } }

func idempotentJob(id core.JobID) wire.Submit {
	return wire.Submit{
		Wait: 2 * time.Second, Digest: 1,
		Job: core.Job{ID: id, Org: "o", Class: "c", Idempotent: true, Waiting: true, Shape: core.Shape{Cells: 1, CellSize: 1}},
	}
}

func onceOnlyJob(id core.JobID) wire.Submit {
	req := idempotentJob(id)
	req.Job.Idempotent, req.Job.Logged = false, true
	return req
}

// await waits a bounded time until cond holds.
func await(t *testing.T, cond func() bool) {
	deadline := time.Now().Add(30 * time.Second)
	for !cond() {
		if time.Now().After(deadline) {
			t.Error("what the test waits for never came")
			return
		}
		time.Sleep(time.Millisecond)
	}
}
