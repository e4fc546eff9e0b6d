package entry

import (
	"context"
	"errors"
	"hash/fnv"
	"sync"
	"time"

	"agatewinch/internal/event"
	"agatewinch/internal/ledger"
	"agatewinch/internal/sharedlog"
)

const (
	// renewInterval is how long after its last append the leader renews the role if it has no
	// other records to append. The leader checks this at least every tickInterval.
	renewInterval = 500 * time.Millisecond
	// leaderTimeout is how long the leader may append nothing before another host takes over:
	// three renewal intervals, and the time that an append may take.
	leaderTimeout = 1900 * time.Millisecond
	// recoveryGrace is the time within which the leader has to append its next record after the
	// log has recovered: the delay between its retries, and the time of an append.
	recoveryGrace = time.Second
	// claimSpread is the range over which hosts spread their claims, so that one of them comes
	// first.
	claimSpread = 150 * time.Millisecond
	// lowCPUDelay is the extra claim delay of a host with no CPU share, compared with the largest
	// host: a leader needs the more processor time the larger the fleet. A host with half the
	// share of the largest ones then claims after all of them, however claimSpread and
	// claimCheckInterval fall.
	lowCPUDelay = 2 * (claimSpread + claimCheckInterval)
	// claimCheckInterval is how often a standby checks whether it should claim the role.
	claimCheckInterval = 100 * time.Millisecond
	// maxTimeWithoutLog is how long after the last record that the log has accepted a leader keeps
	// renewing worker leases. Together with the worker lease it covers the log's usual outages; a
	// successor has to wait for both before it treats the runs on unreachable workers as ended.
	maxTimeWithoutLog = 5 * time.Second
	// claimSuspension is how long a host whose workers do not answer leaves the role to other hosts;
	// network partitions of the platform last five to ten seconds.
	claimSuspension = 6 * time.Second
	// sequenceBits is the width, in bits, of the range from which a host takes the first
	// sequence number of a claim. The range is wide enough that the appends of a leader are
	// unlikely to reach another host's range.
	sequenceBits = 24
)

// role is this host's view of the leader role. A host claims the role by one conditional
// append to the state topic; the epoch of the claim is the fencing token for that topic and
// for the workers.
type role struct {
	host *Host

	mu sync.Mutex
	// seenRecords is the number of the leader's records at the last check. noRecordSince is when
	// it last changed, or an adjusted time from which leaderTimeout is measured.
	seenRecords   uint64
	noRecordSince time.Time
	// recordSeenAt is when seenRecords last changed, by sinceBoot: after the log has accepted the record.
	recordSeenAt time.Duration
	leading      bool
	// claiming is set while a claim is in flight.
	claiming bool
	// ended is closed when run has returned: this host neither claims nor holds the role any more.
	ended chan struct{}
	// stop is closed to end this host's claims permanently.
	stop     chan struct{}
	stopOnce sync.Once
	// claimsSuspendedUntil keeps this host from claiming the role after it gave the role up because
	// workers did not answer it.
	claimsSuspendedUntil time.Time
	// former bounds what former leaders may still do after this host's claim.
	former formerTimes
}

func newRole(h *Host) *role {
	return &role{host: h, noRecordSince: time.Now(), recordSeenAt: h.sinceBoot(), stop: make(chan struct{}), ended: make(chan struct{})}
}

// claimDelay returns how long this host delays its claim so that other hosts can claim the role
// first. It is longer on hosts with less CPU, and differs between hosts.
func (r *role) claimDelay() time.Duration {
	lack := 0.0
	if most := r.host.ledger.MostCores(); most > 0 {
		lack = max(0, 1-r.host.settings.Cores/most)
	}
	return time.Duration(lack*float64(lowCPUDelay)) + time.Duration(hostHash(r.host.settings.Host)%1000)*claimSpread/1000
}

// hostHash hashes a host's name, so that different hosts make different choices.
func hostHash(name string) uint32 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(name)) // never returns an error
	return hash.Sum32()
}

// run claims the role whenever this host should and leads while it holds it, until ctx ends or
// release is called.
func (r *role) run(ctx context.Context) error {
	defer close(r.ended)
	for ctx.Err() == nil && !r.stopped() {
		if r.beginClaim() {
			claimedAt := r.host.sinceBoot()
			if fence, ok := r.claim(ctx); ok {
				r.lead(ctx, fence, claimedAt)
			}
			r.endClaim()
			if r.stopped() {
				return nil
			}
		}
		sleep(ctx, claimCheckInterval)
	}
	return nil
}

// stopped reports whether this host has ended its claims.
func (r *role) stopped() bool {
	select {
	case <-r.stop:
		return true
	default:
		return false
	}
}

// beginClaim reports whether this host should claim the role now, and marks the claim as being in
// flight.
func (r *role) beginClaim() bool {
	if !r.shouldClaim() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.claiming = !r.stopped()
	return r.claiming
}

func (r *role) endClaim() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.claiming = false
}

// shouldClaim reports whether this host should claim the role now.
func (r *role) shouldClaim() bool {
	age, caughtUp := r.host.stateReader.contactAge()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checkRecords()
	if time.Now().Before(r.claimsSuspendedUntil) {
		return false
	}
	if !caughtUp || !r.host.caughtUp() || r.host.newestCatalog() == nil {
		return false
	}
	elapsed := time.Since(r.noRecordSince)
	current := r.host.ledger.Role()
	switch {
	case current.Epoch == 0, current.Released:
		return elapsed >= r.claimDelay()
	case current.Holder == r.host.settings.Host:
		return true // an earlier incarnation of this host held the role
	}
	// If this host's own reads are late, it would mistake its own delay for a leader that appends
	// nothing.
	return elapsed >= leaderTimeout+r.claimDelay() && age < readWait+claimCheckInterval
}

// checkRecords notes whether the leader has written records since the last check. The caller holds r.mu.
func (r *role) checkRecords() {
	if n := r.host.ledger.StateRecords(); n != r.seenRecords {
		r.seenRecords, r.noRecordSince, r.recordSeenAt = n, time.Now(), r.host.sinceBoot()
	}
}

// firstSequence returns a sequence number that differs from claim to claim. The log answers a
// repeated epoch and sequence number as it did the first time, so if two hosts claimed an epoch
// with the same sequence number, both claims would appear to succeed.
func (r *role) firstSequence() int64 {
	return (int64(hostHash(r.host.settings.Host)) << sequenceBits) + time.Now().UnixMilli()&(1<<sequenceBits-1)
}

// claim tries to append a claim of the role with the next epoch. It returns the fence of the new
// leader, and whether the claim succeeded.
func (r *role) claim(ctx context.Context) (sharedlog.Fence, bool) {
	h := r.host
	if err := h.stateReader.catchUp(ctx); err != nil {
		return sharedlog.Fence{}, false
	}
	// Take the position before the role is read: if a record is applied after this point, the
	// conditional append fails.
	at := h.stateReader.position()
	former := h.ledger.Role()
	if !r.shouldClaim() || !h.knowsJobsOfAllTasks(ctx) {
		return sharedlog.Fence{}, false
	}
	r.former = formerTimes{r.renewalTimeAfter(former), r.leaseTimeAfter(former), former.Epoch == 0}
	claim := ledger.Role{Epoch: former.Epoch + 1, Holder: h.settings.Host, Incarnation: h.incarnation, FormerRenewalMs: r.former.renewals.Milliseconds(), LeaseLimitMs: limitAfter(r.former.leases)}
	rec, err := ledger.RoleRecord(claim)
	if err != nil {
		event.Error(h.logger, err, event.RoleSuperseded)
		return sharedlog.Fence{}, false
	}
	h.stateReader.suspend()
	fence := sharedlog.Fence{Epoch: claim.Epoch, Sequence: r.firstSequence()}
	_, err = h.log.Append(ctx, ledger.TopicState, []sharedlog.Record{rec}, sharedlog.AppendOptions{ExpectedEnd: &at, Fence: &fence})
	if err == nil {
		h.stateReader.ingest(at, []sharedlog.Record{rec}, at+1)
		return fence, true
	}
	h.stateReader.resume()
	var conflict *sharedlog.ConflictError
	if !errors.As(err, &conflict) {
		event.Error(h.logger, err, event.LogWriteError, "what", "claim")
	}
	sleep(ctx, r.claimDelay())
	return sharedlog.Fence{}, false
}

// knowsJobsOfAllTasks reports whether this host knows the jobs of all recorded tasks, after
// reading the job topics to their ends if needed. A leader that does not know them would
// regard their resources as free, and start the tasks again once it reads the jobs.
func (h *Host) knowsJobsOfAllTasks(ctx context.Context) bool {
	if h.ledger.HasJobsOfAllTasks() {
		return true
	}
	for _, reader := range h.jobReaders {
		if err := reader.catchUp(ctx); err != nil {
			reader.markFailed(err)
		}
	}
	return h.ledger.HasJobsOfAllTasks()
}

// lead schedules jobs until the role is lost or given up. The claim began at claimedAt, by
// sinceBoot.
func (r *role) lead(ctx context.Context, fence sharedlog.Fence, claimedAt time.Duration) {
	epoch := fence.Epoch
	event.Info(r.host.logger, event.SchedulerActive, "epoch", epoch)
	r.setLeading(true)
	for _, reader := range r.host.jobReaders {
		reader.readNow()
	}
	if r.host.settings.EvacuationTime > 0 {
		r.host.evacuations.readNow()
	}
	l := newLeader(r.host, fence, claimedAt, r.former)
	var reason string
	if r.stopped() { // the host was stopped while its claim was in flight
		reason = l.release(ctx, "planned stop")
	} else {
		reason = l.runGuarded(ctx, r.stop)
	}
	r.setLeading(false)
	r.host.metrics.SetGuaranteeShortfall(0)
	r.host.ledger.TrackUpdates(false)
	r.host.stateReader.resume()
	event.Info(r.host.logger, event.SchedulerStandby, "epoch", epoch, "why", reason)
	r.mu.Lock()
	r.noRecordSince = time.Now()
	r.mu.Unlock()
}

// claimSoon makes this host claim the role at its next check, unless the leader appends a
// record before that.
func (r *role) claimSoon() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checkRecords()
	r.noRecordSince = time.Now().Add(-leaderTimeout - lowCPUDelay - claimSpread)
}

// suspendClaims keeps this host from claiming the role for claimSuspension.
func (r *role) suspendClaims() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.claimsSuspendedUntil = time.Now().Add(claimSuspension)
}

// logRecovered gives the leader, which could not append during the outage either, recoveryGrace
// to append its next record. Without it, the end of every outage of the log would change the
// leader.
func (r *role) logRecovered() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if earliest := time.Now().Add(recoveryGrace - leaderTimeout); r.noRecordSince.Before(earliest) {
		r.noRecordSince = earliest
	}
}

func (r *role) setLeading(v bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leading = v
}

func (r *role) isLeading() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leading
}

// release ends this host's claims permanently. If this host holds the role, or a claim of it is in flight,
// release waits until the role is given up or ctx ends.
func (r *role) release(ctx context.Context) {
	r.mu.Lock()
	r.stopOnce.Do(func() { close(r.stop) })
	wait := r.leading || r.claiming
	r.mu.Unlock()
	if !wait {
		return
	}
	select {
	case <-r.ended:
	case <-ctx.Done():
	}
}
