package gate

import (
	"context"
	"fmt"
	"testing"

	"agatewinch/internal/core"
	"agatewinch/internal/routing"
	"agatewinch/internal/wire"
)

// instantClient simulates a scheduler that replies at once, without a connection.
type instantClient struct{}

func (instantClient) Call(_ context.Context, _ wire.Kind, body, out any) error {
	if req, ok := body.(wire.Submit); ok {
		*out.(*wire.JobReply) = wire.JobReply{Job: req.Job.ID, State: core.Succeeded}
	}
	return nil
}

type instantDirectory struct{ directory }

func (instantDirectory) SchedulerClient(string) routing.Client { return instantClient{} }

// BenchmarkRouteSubmission measures the router's own cost for a submission when the
// membership has the schedulers and gates of nine entry hosts.
func BenchmarkRouteSubmission(b *testing.B) {
	g := runGate(b)
	for i := range 9 {
		for _, role := range []string{wire.RoleScheduler, wire.RoleGate} {
			g.members.HandleHeartbeat(wire.Heartbeat{
				Host: fmt.Sprintf("h%d", i), Role: role, Zone: core.ZoneID(rune('a' + i%4)), Active: i < 4, Term: 1,
				Incarnation: uint64(i + 1), Seq: 1 << 60, Load: core.Stats{FreeAccelerators: 1 << 30, LargestFreeCell: 8},
			})
		}
	}
	r := routing.New(routing.Options{Zone: "a", Directory: instantDirectory{directory{g.members}}})
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for i := 0; pb.Next(); i++ {
			req := waitingJob(core.JobID(fmt.Sprintf("%p-%d", pb, i)))
			if _, err := r.Submit(b.Context(), req); err != nil {
				b.Fatal(err)
			}
		}
	})
}
