package scheduler

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/egretpitch/egretpitch/internal/estate"
	"github.com/egretpitch/egretpitch/internal/fleetplan"
	"github.com/egretpitch/egretpitch/internal/placement"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/workload"
)

const (
	simPlanInterval      = 100 * time.Millisecond
	simHostsInterval     = 500 * time.Millisecond
	simHostCallTimeout   = 1200 * time.Millisecond
	simHeartbeatInterval = 1500 * time.Millisecond
	simMigration         = 1500 * time.Millisecond
	simMaintenance       = 2 * time.Second
	simHolderLease       = 3350 * time.Millisecond
	standbyPool          = "spare"
)

var (
	simPools = []string{"a", "b", "c", "d"}
	hostSize = placement.Resources{Processors: 16, MemoryMB: 32 << 10}
)

// estateSimulation simulates an estate: the hosts of several pools, the fleet
// service, discovery, and the control loop over an engine and a fleet planner.
type estateSimulation struct {
	*simulation
	random *rand.Rand
	hosts  map[string]*fakeHost
	// service is how the fleet service handles calls.
	service serviceState
	// outages counts the outages of the fleet service so far, and faults the
	// other faults that have not ended.
	outages, faults int
	waves           []estate.Wave
	// maintained holds the hosts whose maintenance has started, by wave.
	maintained map[int64]map[string]bool
	completed  map[int64]bool

	// owner is nil between two ownerships.
	owner   *testOwner
	planner *fleetplan.Planner
	// handingOver is set while a released ownership is vacant.
	handingOver bool
	// listed is the owner's host list, and listedAt the time of its request.
	listed   []estate.Host
	listedAt time.Duration
	// hostOf maps workers to the hosts on which a host list has shown them.
	// recordedHosts are the hosts in the record of the workers in use.
	hostOf, recordedHosts WorkerHosts
	// firstOrderAt is when the owner may give its first order about a host.
	firstOrderAt time.Duration

	// entries are the changes of discovery entries that the owner has not read
	// yet, each discoveryDelay after the change.
	entries        []entryChange
	discoveryDelay time.Duration
	stopTakes      time.Duration
	// failsAfter holds how long the runs of jobs and on workers last that fail.
	// workersFailed is set once there was such a worker.
	failsAfter    map[string]time.Duration
	workersFailed bool
	// hostCount, workerCount and jobCount number the hosts, workers and jobs.
	hostCount, workerCount, jobCount int

	livenessCheck
	progressCheck
	events []loggedEvent
}

// fakeHost is a host with the worker that runs on it, nil for none.
type fakeHost struct {
	name, pool string
	state      estate.HostState
	worker     *fakeWorker
	// leaving hosts end soon and accept no orders.
	leaving bool
}

type entryChange struct {
	at      time.Duration
	entry   estate.Worker
	removed bool
}

// serviceState is how the fleet service handles calls.
type serviceState int

const (
	serviceUp serviceState = iota
	// serviceSilent answers nothing and carries out nothing.
	serviceSilent
	serviceRefusing
	// serviceSlow answers some calls after their time-out.
	serviceSlow
	// serviceLosingAnswers carries out calls that it does not answer.
	serviceLosingAnswers
)

func (s serviceState) String() string {
	return [...]string{"up", "silent", "refusing", "slow", "losing answers"}[s]
}

// newEstate returns an estate with hosts in the given pools and an owner.
func newEstate(t testingT, seed uint64, sizes map[string]int) *estateSimulation {
	s := &estateSimulation{
		simulation: newSimulation(t), random: rand.New(rand.NewPCG(seed, 0)), hosts: map[string]*fakeHost{},
		maintained: map[int64]map[string]bool{}, completed: map[int64]bool{}, failsAfter: map[string]time.Duration{}, hostOf: WorkerHosts{}, recordedHosts: WorkerHosts{},
		discoveryDelay: 300 * time.Millisecond, livenessCheck: livenessCheck{watched: map[workload.TaskID]*watchedTask{}},
	}
	s.now = time.Second // a host list of time 0 is none
	s.log = zap.New(eventLog{zapcore.DebugLevel, s})
	s.replaceRecord = true
	pools := []*estate.Pool{{Name: standbyPool, Standby: true}}
	var queues []*estate.Queue
	for _, name := range simPools {
		pools = append(pools, &estate.Pool{Name: name, RejectsOverload: true})
		queues = append(queues, &estate.Queue{
			Name: "q" + name, Host: "h", PathPrefix: "/" + name + "/", Pool: name, MaxAttempts: 4, Stretch: 1.6, LatencyTarget: 600 * time.Millisecond,
		})
	}
	s.estateCatalog = estate.NewCatalog(1, queues, pools, estate.Limits{})
	for _, pool := range slices.Sorted(maps.Keys(sizes)) {
		for range sizes[pool] {
			s.addHost(pool)
		}
	}
	s.addOwner(nil)
	s.listHosts()
	return s
}

func (s *estateSimulation) draw(from, to int) int { return from + s.random.IntN(to-from+1) }

func (s *estateSimulation) millis(from, to int) time.Duration {
	return time.Duration(s.draw(from, to)) * time.Millisecond
}

func (s *estateSimulation) addHost(pool string) *fakeHost {
	s.hostCount++
	h := &fakeHost{name: fmt.Sprintf("host%03d", s.hostCount), pool: pool}
	s.hosts[h.name] = h
	s.bringUp(h)
	return h
}

// bringUp starts a new worker on a host, unless the host is in standby.
func (s *estateSimulation) bringUp(h *fakeHost) {
	h.state = estate.HostUp
	if h.pool == standbyPool {
		return
	}
	s.workerCount++
	f := s.addWorker(fmt.Sprintf("w%03d", s.workerCount), h.pool, hostSize.Processors)
	f.Capacity = hostSize
	f.stopTakes = s.stopTakes
	f.unlisted = true
	f.duration = func(task workload.TaskID) (time.Duration, platform.RunEnd) {
		spec := s.records[task.Job].spec
		if after := max(s.failsAfter[task.Job], s.failsAfter[f.ID]); after > 0 {
			return after, platform.EndFailed
		}
		if spec.Steps[task.Step].LongRunning {
			return time.Hour, platform.EndDone
		}
		return spec.Steps[task.Step].Estimate, platform.EndDone
	}
	h.worker = f
	s.notef("worker %s starts on %s in pool %s", f.ID, h.name, h.pool)
	s.heartbeat(f)
}

// heartbeat writes the discovery entry of a worker at intervals until the
// worker ends.
func (s *estateSimulation) heartbeat(f *fakeWorker) {
	if !f.up {
		return
	}
	s.entries = append(s.entries, entryChange{at: s.now + s.discoveryDelay, entry: f.Worker})
	if f.Draining {
		f.Remaining = max(0, f.Remaining-simHeartbeatInterval)
	}
	s.after(simHeartbeatInterval, func() { s.heartbeat(f) })
}

// endWorker ends a host's worker with everything that runs on it. Its discovery
// entry is removed after the given time.
func (s *estateSimulation) endWorker(h *fakeHost, removed time.Duration) {
	f := h.worker
	h.worker = nil
	if f == nil {
		return
	}
	delete(s.failsAfter, f.ID)
	f.crash()
	f.reachable = false
	s.after(removed, func() {
		s.entries = append(s.entries, entryChange{at: s.now + s.discoveryDelay, entry: f.Worker, removed: true})
	})
}

// leave announces the end of a host's worker, which ends together with the host
// after the given time.
func (s *estateSimulation) leave(h *fakeHost, remaining time.Duration) {
	h.leaving = true
	if f := h.worker; f != nil {
		f.Draining, f.Remaining = true, remaining
		s.heartbeat(f)
		s.notef("worker %s of pool %s leaves in %v", f.ID, h.pool, remaining)
	}
	s.after(remaining, func() {
		if f := h.worker; f != nil {
			s.notef("worker %s of pool %s has left", f.ID, h.pool)
		}
		s.endWorker(h, 0)
		delete(s.hosts, h.name)
	})
}

// crashHost ends a host's worker. The host comes back after the given time, 0
// for never.
func (s *estateSimulation) crashHost(h *fakeHost, back time.Duration) {
	s.disrupted()
	if f := h.worker; f != nil {
		s.notef("worker %s of pool %s crashes, back after %v", f.ID, h.pool, back)
	}
	s.endWorker(h, 3*simHeartbeatInterval)
	h.state = estate.HostDown
	if back > 0 {
		s.after(back, func() {
			s.disrupted()
			s.bringUp(h)
		})
	}
}

// fault records a fault, and ends it after the given time.
func (s *estateSimulation) fault(what string, d time.Duration, end func()) {
	s.notef("%s for %v", what, d)
	s.faults++
	s.after(d, func() {
		s.faults--
		s.disrupted()
		end()
	})
}

// restartWorker ends the incarnation of a host's worker and starts the next one
// after the given time.
func (s *estateSimulation) restartWorker(h *fakeHost, back time.Duration) {
	f := h.worker
	f.crash()
	s.fault(fmt.Sprintf("worker %s of pool %s restarts", f.ID, h.pool), back, func() {
		if h.worker == f && !f.up {
			f.restart(s.now)
			s.heartbeat(f)
		}
	})
}

// addOwner starts an ownership. previous is the planner of the previous owner.
func (s *estateSimulation) addOwner(previous *fleetplan.Planner) {
	maintained := map[int64][]string{}
	var surges []fleetplan.Surge
	var seen map[int64]time.Duration
	var evacuating map[string]time.Duration
	if previous != nil {
		for _, w := range s.waves {
			maintained[w.Number] = previous.MaintenanceStarted(w.Number)
		}
		surges, seen, evacuating = previous.Surges(), previous.WavesFirstSeen(), previous.EvacuatingSince()
	}
	s.hostOf = WorkerHosts{}
	for id, w := range s.inUse {
		s.hostOf[id] = WorkerHost{Host: s.recordedHosts[id].Host, Pool: w.Pool}
	}
	var hosts []estate.Host
	if s.service == serviceUp {
		for _, h := range s.sortedHosts() {
			hosts = append(hosts, s.listedHost(h))
		}
	}
	running := s.hostOf.PossiblyRunning(sorted(s.inUse), hosts)
	s.inUse = map[string]UsedWorker{}
	for _, w := range running {
		s.inUse[w.ID] = w
	}
	s.listed, s.listedAt = nil, 0
	s.planner = fleetplan.New(simMigration, maintained, surges, seen, evacuating)
	s.owner = s.newOwner()
	s.handingOver = false
	s.recordHosts()
}

// handOver lets the owner release its ownership, which is no disruption. The
// successor takes over after the given time.
func (s *estateSimulation) handOver(vacant time.Duration) {
	if s.owner != nil && !s.owner.paused && !s.storeDown {
		s.handingOver = true
		s.changeOwner(vacant)
	}
}

// changeOwner ends the ownership and starts the next one after the given time.
func (s *estateSimulation) changeOwner(vacant time.Duration) {
	s.notef("the owner ends; the next one starts in %v", vacant)
	s.owner.expired = true
	s.owner = nil
	s.firstOrderAt = s.now + simHolderLease
	s.after(vacant, func() { s.addOwner(s.planner) })
}

// advance runs the estate for the given time.
func (s *estateSimulation) advance(d time.Duration) {
	for end := s.now + d; s.now < end && s.broken == "" && s.violation == ""; {
		s.readEntries()
		if s.service != serviceUp || (s.owner == nil && !s.handingOver) || s.faults > 0 {
			s.disrupted()
		}
		var owners []*testOwner
		if s.owner != nil {
			if !s.owner.paused {
				s.control()
			}
			owners = append(owners, s.owner)
		}
		s.run(simPlanInterval, owners...)
		s.checkLongRunning()
		s.checkProgress()
	}
}

// readEntries passes changed discovery entries to the engine.
func (s *estateSimulation) readEntries() {
	for len(s.entries) > 0 && s.entries[0].at <= s.now {
		c := s.entries[0]
		s.entries = s.entries[1:]
		if f := s.workers[c.entry.ID]; f != nil {
			f.unlisted = c.removed
		}
		switch {
		case c.removed:
			delete(s.workers, c.entry.ID)
			if s.owner != nil {
				s.owner.WorkerUnlisted(c.entry.ID, s.now)
			}
		case s.owner != nil:
			s.owner.WorkerListed(c.entry, s.now)
		}
	}
}

// control makes a fleet plan and carries it out, as the fleet controller does.
func (s *estateSimulation) control() {
	if s.now < s.firstOrderAt {
		s.owner.SetPendingRemoval(s.planner.PendingRemoval(fleetplan.State{Hosts: s.listed, Waves: s.waves}))
		return
	}
	state := fleetplan.State{Now: s.now, Pools: s.owner.Pools(s.now), Hosts: s.listed, HostsAt: s.listedAt, Waves: s.waves}
	decisions := s.planner.Plan(state)
	s.owner.SetPendingRemoval(s.planner.PendingRemoval(state))
	s.owner.SetReservations(s.planner.Reservations())
	for _, d := range decisions {
		switch d.Kind {
		case fleetplan.Evacuate:
			s.owner.Evacuate(d.Worker)
		case fleetplan.Resize:
			s.notef("pool %s sized: %+v", d.To, d.Sizing)
		case fleetplan.Complete:
			s.completed[d.Wave] = true
		default:
			s.order(d)
		}
	}
}

// order gives an order to the fleet service.
func (s *estateSimulation) order(d fleetplan.Decision) {
	owner, planner := s.owner, s.planner
	if d.Worker != "" && !owner.IsIdle(d.Worker) {
		planner.Refused(d)
		return
	}
	var outcome platform.HostOrderOutcome
	s.call(func() { outcome = s.carryOut(d) }, func(err error) {
		switch {
		case s.owner != owner:
		case err != nil && !errors.Is(err, platform.ErrUnavailable):
			planner.OutcomeUnknown(d, s.now)
		case err == nil && outcome == platform.HostOrderDone:
			planner.Done(d, s.now)
			if d.Worker != "" {
				owner.HostRemoved(d.Worker, s.now)
			}
		default:
			planner.Refused(d)
		}
	})
}

// call makes a call to the fleet service and passes its error to answer.
func (s *estateSimulation) call(carryOut func(), answer func(error)) {
	takes, lost := s.millis(10, 60), false
	switch s.service {
	case serviceSilent:
		s.after(simHostCallTimeout, func() { answer(errNoAnswer) })
		return
	case serviceRefusing:
		s.after(takes, func() { answer(platform.ErrUnavailable) })
		return
	case serviceSlow:
		takes = s.millis(200, 2000)
	case serviceLosingAnswers:
		lost = s.draw(0, 99) < 35
	}
	s.after(takes/2, carryOut)
	if lost || takes > simHostCallTimeout {
		s.after(simHostCallTimeout, func() { answer(errNoAnswer) })
		return
	}
	s.after(takes, func() { answer(nil) })
}

// carryOut moves a host to another pool or takes it down for maintenance.
func (s *estateSimulation) carryOut(d fleetplan.Decision) platform.HostOrderOutcome {
	h := s.hosts[d.Host]
	switch {
	case h == nil:
		return platform.HostOrderInvalid
	case d.Kind == fleetplan.Move && h.pool == d.To, d.Kind == fleetplan.Maintain && s.maintained[d.Wave][d.Host]:
		return platform.HostOrderDone
	case h.state != estate.HostUp || h.leaving:
		return platform.HostOrderBusy
	}
	if h.worker != nil && len(h.worker.running) > 0 {
		s.violate("order %+v ends %d runs on %s", d, len(h.worker.running), h.worker.ID)
	}
	s.notef("%s of pool %s: move to %q, maintenance for wave %d", h.name, h.pool, d.To, d.Wave)
	s.endWorker(h, 0)
	if d.Kind == fleetplan.Move {
		h.pool, h.state = d.To, estate.HostMoving
		s.after(simMigration, func() { s.bringUp(h) })
		return platform.HostOrderDone
	}
	h.state = estate.HostMaintenance
	s.maintained[d.Wave][d.Host] = true
	s.after(simMaintenance, func() { s.bringUp(h) })
	return platform.HostOrderDone
}

// listHosts reads the host list at intervals.
func (s *estateSimulation) listHosts() {
	owner, sentAt := s.owner, s.now
	var hosts []estate.Host
	read := func() {
		for _, h := range s.sortedHosts() {
			hosts = append(hosts, s.listedHost(h))
		}
	}
	s.call(read, func(err error) {
		if err == nil && owner != nil && owner == s.owner {
			s.setHosts(hosts, sentAt)
		}
		s.after(simHostsInterval, s.listHosts)
	})
}

func (s *estateSimulation) sortedHosts() []*fakeHost { return sorted(s.hosts) }

func (s *estateSimulation) listedHost(h *fakeHost) estate.Host {
	e := estate.Host{Name: h.name, Pool: h.pool, State: h.state, Capacity: hostSize}
	if h.worker != nil {
		e.WorkerID = h.worker.ID
	}
	return e
}

func (s *estateSimulation) setHosts(hosts []estate.Host, sentAt time.Duration) {
	s.owner.HostsListed(s.hostOf, hosts, sentAt, s.now)
	s.recordHosts()
	s.listed, s.listedAt = hosts, sentAt
}

// recordHosts adds the known hosts of workers to the record of the workers in
// use, after the longest time between two writes.
func (s *estateSimulation) recordHosts() {
	owner, known := s.owner, maps.Clone(s.hostOf)
	s.after(usedWorkersInterval, func() {
		if s.owner == owner {
			maps.Copy(s.recordedHosts, known)
		}
	})
}

// startWave requests the maintenance of hosts.
func (s *estateSimulation) startWave(hosts []string, duration time.Duration, maxDown int) {
	number := int64(len(s.waves) + 1)
	s.maintained[number] = map[string]bool{}
	s.waves = append(s.waves, estate.Wave{Number: number, Hosts: hosts, Duration: duration, MaxDown: maxDown})
	s.notef("wave %d over %v, at most %d down", number, hosts, maxDown)
}

// poolHosts returns the hosts of a pool in the order of their names.
func (s *estateSimulation) poolHosts(pool string) []*fakeHost {
	return slices.DeleteFunc(s.sortedHosts(), func(h *fakeHost) bool { return h.pool != pool })
}

// submitTasks submits a job of one step to a pool.
func (s *estateSimulation) submitTasks(pool string, step workload.Step) *workload.Job {
	s.jobCount++
	spec := jobOf(s.jobCount, step.Count, 0)
	spec.Queue, spec.Pool, spec.Steps = "q"+pool, pool, []workload.Step{step}
	if !step.LongRunning && len(s.teams) > 0 {
		spec.Team = []string{"a", "b", ""}[s.jobCount%3]
	}
	s.submit(s.owner, spec)
	if step.LongRunning {
		for i := range step.Count {
			s.watched[workload.TaskID{Job: spec.ID, Index: i}] = &watchedTask{ranAt: s.now, dueSince: s.now}
		}
	}
	return spec
}

func longRunningStep(count int, cores float64, memoryMB, maxPerWorker int) workload.Step {
	return workload.Step{
		Count: count, Size: placement.Resources{Processors: cores, MemoryMB: memoryMB}, Estimate: time.Second,
		LongRunning: true, MaxUnavailable: 1, MaxPerWorker: maxPerWorker,
	}
}
