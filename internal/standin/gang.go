package standin

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"agatewinch/internal/core"
	"agatewinch/internal/platform"
)

// rendezvous holds the gang members whose starts have arrived until those of the whole gang have.
// All workers of a stand-in share it, as the tasks of a gang find each other over the network.
type rendezvous struct {
	mu    sync.Mutex
	gangs map[gangKey][]*heldTask
}

// gangKey identifies one attempt of a job. It includes the holder because each holder numbers
// attempts separately.
type gangKey struct {
	job     core.JobID
	attempt int
	holder  platform.Holder
}

func newRendezvous() *rendezvous { return &rendezvous{gangs: map[gangKey][]*heldTask{}} }

func gangKeyOf(t *heldTask) gangKey { return gangKey{t.Task.Job, t.Task.Attempt, t.holder} }

// join adds a started member of a gang of the given size. It returns all members once the last one
// has joined, and nil before.
func (r *rendezvous) join(t *heldTask, members int) []*heldTask {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := gangKeyOf(t)
	gang := append(r.gangs[key], t)
	if len(gang) < members {
		r.gangs[key] = gang
		return nil
	}
	delete(r.gangs, key)
	return gang
}

// leave removes a member that ends before its gang was complete.
func (r *rendezvous) leave(t *heldTask) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := gangKeyOf(t)
	gang := slices.DeleteFunc(r.gangs[key], func(m *heldTask) bool { return m == t })
	if len(gang) == 0 {
		delete(r.gangs, key)
		return
	}
	r.gangs[key] = gang
}

// beginGang lets the members of a complete gang begin at the same moment. If one of them has ended
// since it joined, none begins. The workers' locks are taken in the order of their IDs; all
// other code holds at most one of them.
func beginGang(members []*heldTask) {
	workers := make([]*worker, 0, len(members))
	for _, t := range members {
		workers = append(workers, t.worker)
	}
	slices.SortFunc(workers, func(a, b *worker) int { return cmp.Compare(a.def.ID, b.def.ID) })
	for _, w := range slices.Compact(workers) {
		w.mu.Lock()
		defer w.mu.Unlock()
	}
	for _, t := range members {
		if t.worker.tasks[t.Task] != t {
			return
		}
	}
	now := time.Now()
	for _, t := range members {
		t.worker.begin(t, now)
	}
}
