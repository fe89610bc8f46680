package scheduler

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/estate"
	"github.com/egretpitch/egretpitch/internal/placement"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/workload"
)

// simulation simulates workers and the table service for engines, in virtual
// time, and checks the invariants of every start.
type simulation struct {
	t       testingT
	now     time.Duration
	workers map[string]*fakeWorker
	records map[string]*storedJob
	version int64
	// fence is the token of the last owner that the table service has accepted.
	fence  int64
	events []timedEvent
	seq    int
	// injectFault, if set, returns the fault of an order to a worker.
	injectFault func(o Order) orderFault
	// storeDown loses commits before they are applied.
	storeDown bool
	// inUse holds the workers that owners recorded as used.
	inUse map[string]UsedWorker
	// releasedLeasesEnd is when every lease has expired according to the owner that
	// released its ownership last, 0 if the next owner does not know.
	releasedLeasesEnd time.Duration
	// replaceRecord lets owners replace the record of workers in use every
	// usedWorkersInterval.
	replaceRecord bool
	// recordVersion counts the writes of that record. recordFault, if set, returns
	// the fault of the next one.
	recordVersion int64
	recordFault   func([]UsedWorker) recordFault
	// catalogVersion counts the catalogs, and poolOf holds the pools of queues
	// that are not in pool "p".
	catalogVersion int64
	poolOf         map[string]string
	// unknown holds what tasks request whose jobs no owner knows.
	unknown map[workload.TaskID]placement.Resources
	// estateCatalog replaces the catalog of catalogVersion, if set.
	estateCatalog *estate.Catalog
	log           *zap.Logger
	// requestDelay and answerDelay are how long an order and its answer take.
	requestDelay, answerDelay func() time.Duration
	// sendDelay is how long a start waits in the owner's process before it is
	// sent, if set, and cancelWithin the owners' bound on cancellations.
	sendDelay    func() time.Duration
	cancelWithin time.Duration
	// ticketDelay is how long the recommendation service takes to answer.
	ticketDelay time.Duration
	// clockStep is how far the owners' time of day is ahead.
	clockStep time.Duration
	// violation describes the first violated invariant.
	violation string
	// crashed counts the workers that crashed under each task.
	crashed map[workload.TaskID]int
	// trace lists the events so far, for the report of a violation.
	trace []string
	simTeams
}

func (sim *simulation) tracef(format string, args ...any) {
	sim.trace = append(sim.trace, fmt.Sprintf("%v ", sim.now)+fmt.Sprintf(format, args...))
}

// orderFault is what goes wrong with an order. The zero value is no fault.
type orderFault struct {
	// lost orders get no answer. applied ones are carried out nevertheless,
	// after a delay.
	lost    bool
	applied bool
	delay   time.Duration
	// fromArrival lets the lease of a poll that is carried out late count from
	// its arrival.
	fromArrival bool
	// sameIncarnation keeps a late order from the next incarnation of its
	// worker, to tell failures of both kinds apart.
	sameIncarnation bool
	// handled orders are answered by the test.
	handled bool
}

// recordFault is what goes wrong with a write of the record of workers in use.
type recordFault struct {
	// lost writes get no answer. applied ones are applied nevertheless, after a
	// delay.
	lost, applied bool
	delay         time.Duration
}

type timedEvent struct {
	at  time.Duration
	seq int
	fn  func()
}

type storedJob struct {
	spec      *workload.Job
	progress  workload.Progress
	version   int64
	cancelled bool
	// submitted is the version of the transaction that stored the job.
	submitted int64
	// cancelledAt is when the cancellation was acknowledged, if the test tells.
	cancelledAt time.Duration
	// doneAt holds when the end of each finished task was acknowledged.
	doneAt map[workload.TaskID]time.Duration
	starts map[workload.TaskID][]startRecord
}

// startRecord is a start that a worker has carried out.
type startRecord struct {
	run    int
	worker string
	moment
}

// moment is a point in the history. seq orders moments of the same time.
type moment struct {
	at  time.Duration
	seq int
}

// fakeWorker behaves as the platform specifies for a worker.
type fakeWorker struct {
	estate.Worker
	incarnation int
	up          bool
	reachable   bool
	// unlisted workers have no discovery entry. removed ones have ended for
	// good.
	unlisted, removed bool
	// startedAt is when this incarnation started; its clock counts from there.
	startedAt time.Duration
	// slow is the fraction by which the clock is slow.
	slow float64
	// clockStep is how far the clock that gives start times was set forward.
	clockStep time.Duration
	token     int64
	leaseMS   int64
	running   map[runKey]*fakeRun
	ended     []platform.EndedRun
	lastEnd   int64
	// leaseExpiredAt is when the lease was last found to have expired, and
	// endedAt when each listed run ended.
	leaseExpiredAt time.Duration
	endedAt        map[int64]moment
	sim            *simulation
	highestRun     map[workload.TaskID]int
	duration       func(workload.TaskID) (time.Duration, platform.RunEnd)
	// stalls keeps every run from making progress. tailLatency is the load of
	// serving tasks while fillers run unthrottled.
	stalls      bool
	tailLatency float64
	// percentOf and tailOf, if set, replace percent and the load of a serving task.
	percentOf, tailOf func(*fakeRun) float64
	// needsTicket is the ticket that a start has to carry.
	needsTicket string
	// stopTakes is how long a stopped run goes on.
	stopTakes time.Duration
	// overcommits is set for workers that accept starts beyond their capacity.
	overcommits bool
	// former holds the capacities that this incarnation had before.
	former []formerCapacity
	// started, if set, is called after each start that the worker carries out.
	started func(workload.TaskID)
	// lateStarts holds the runs whose starts arrived late.
	lateStarts map[runKey]bool
}

type fakeRun struct {
	task            workload.TaskID
	run             int
	startedAt       time.Duration
	throttlePercent int
	// stopAt is when a run that is being stopped ends, 0 for others.
	stopAt time.Duration
}

const (
	testMaxLease = 6 * time.Second
	// testStopGrace is the longest time that a worker takes to stop a run.
	testStopGrace = 100 * time.Millisecond
)

func newSimulation(t testingT) *simulation {
	return &simulation{t: t, workers: map[string]*fakeWorker{}, records: map[string]*storedJob{}, inUse: map[string]UsedWorker{},
		crashed:        map[workload.TaskID]int{},
		catalogVersion: 1, poolOf: map[string]string{}, log: zap.NewNop(), ticketDelay: 20 * time.Millisecond,
		requestDelay: func() time.Duration { return orderDelay }, answerDelay: func() time.Duration { return orderDelay },
	}
}

func (sim *simulation) after(d time.Duration, fn func()) {
	sim.seq++
	sim.events = append(sim.events, timedEvent{sim.now + d, sim.seq, fn})
}

func (sim *simulation) nextMoment() moment {
	sim.seq++
	return moment{sim.now, sim.seq}
}

func (sim *simulation) addWorker(id, pool string, cores float64) *fakeWorker {
	f := &fakeWorker{
		Worker: estate.Worker{
			ID: id, Pool: pool, Address: id + ":1", StartedMS: sim.now.Milliseconds() + 1,
			Labels: []string{"a", "rack"}, Capacity: placement.Resources{Processors: cores, MemoryMB: 1 << 20, Accelerators: 8},
		},
		up: true, reachable: true, startedAt: sim.now, sim: sim, running: map[runKey]*fakeRun{}, endedAt: map[int64]moment{}, highestRun: map[workload.TaskID]int{}, lateStarts: map[runKey]bool{},
		duration: func(workload.TaskID) (time.Duration, platform.RunEnd) {
			return 300 * time.Millisecond, platform.EndDone
		},
	}
	sim.workers[id] = f
	return f
}

func (f *fakeWorker) clock(now time.Duration) int64 {
	ms := (now - f.startedAt).Milliseconds()
	return ms - int64(float64(ms)*f.slow)
}

// restart starts a new incarnation under the same id.
func (f *fakeWorker) restart(now time.Duration) {
	f.incarnation++
	f.StartedMS = (now + f.clockStep).Milliseconds() + 1
	f.startedAt = now
	f.token, f.leaseMS, f.lastEnd = 0, 0, 0
	f.running, f.ended, f.highestRun = map[runKey]*fakeRun{}, nil, map[workload.TaskID]int{}
	f.endedAt, f.former, f.lateStarts = map[int64]moment{}, nil, map[runKey]bool{}
	f.up = true
}

// crash ends an incarnation and its runs.
func (f *fakeWorker) crash() {
	f.up = false
	under := map[workload.TaskID]bool{}
	for key := range f.running {
		under[key.task] = true
	}
	for task := range under {
		f.sim.crashed[task]++
	}
	f.running = map[runKey]*fakeRun{}
}

func (f *fakeWorker) end(r *fakeRun, how platform.RunEnd, now time.Duration) {
	delete(f.running, runKey{r.task, r.run})
	f.lastEnd++
	f.endedAt[f.lastEnd] = f.sim.nextMoment()
	f.ended = append(f.ended, platform.EndedRun{Number: f.lastEnd, Task: r.task, Run: r.run, End: how})
}

// runs returns the runs in a fixed order.
func (f *fakeWorker) runs() []*fakeRun {
	return slices.SortedFunc(maps.Values(f.running), func(a, b *fakeRun) int {
		return cmp.Or(a.task.Compare(b.task), cmp.Compare(a.run, b.run))
	})
}

// sorted returns the values of a map in the order of its keys.
func sorted[V any](m map[string]V) []V {
	values := make([]V, 0, len(m))
	for _, key := range slices.Sorted(maps.Keys(m)) {
		values = append(values, m[key])
	}
	return values
}

// tick ends the runs that have finished, have been stopped or have lost their
// lease.
func (f *fakeWorker) tick(now time.Duration) {
	if f.clock(now) > f.leaseMS {
		f.leaseExpiredAt = now
	}
	for _, r := range f.runs() {
		if f.clock(now) > f.leaseMS {
			f.end(r, platform.EndLapsed, now)
			continue
		}
		if r.stopAt > 0 {
			if now >= r.stopAt {
				f.end(r, platform.EndStopped, now)
			}
			continue
		}
		if took, how := f.duration(r.task); now-r.startedAt >= took && !f.stalls {
			f.end(r, how, now)
		}
	}
}

// start carries out a start order.
func (sim *simulation) start(f *fakeWorker, o platform.Start) platform.OrderAnswer {
	a := platform.OrderAnswer{ClockMS: f.clock(sim.now)}
	switch {
	case o.Token < f.token:
		a.Outcome = platform.OrderFenced
		return a
	case o.DeadlineMS < f.clock(sim.now):
		a.Outcome = platform.OrderLate
		return a
	}
	f.token = o.Token
	f.leaseMS = max(f.leaseMS, min(o.DeadlineMS, f.clock(sim.now)+testMaxLease.Milliseconds()))
	key := runKey{o.Task, o.Run}
	if f.running[key] != nil {
		return a
	}
	if o.Run <= f.highestRun[o.Task] {
		a.Outcome = platform.OrderOld
		return a
	}
	if o.Ticket != f.needsTicket {
		a.Outcome = platform.OrderNoTicket
		return a
	}
	if !sim.requestsOf(o.Task).Fits(sim.freeOn(f)) {
		if !f.overcommits {
			a.Outcome = platform.OrderNoCapacity
			return a
		}
		sim.checkCapacity(f, o)
	}
	f.highestRun[o.Task] = o.Run
	sim.checkStart(f, o)
	f.running[key] = &fakeRun{task: o.Task, run: o.Run, startedAt: sim.now, throttlePercent: 100}
	if f.started != nil {
		f.started(o.Task)
	}
	return a
}

// requestsOf returns what a task requests. If its job was not submitted, that is
// nothing unless it is among the unknown ones.
func (sim *simulation) requestsOf(t workload.TaskID) placement.Resources {
	j := sim.records[t.Job]
	if j == nil {
		return sim.unknown[t]
	}
	return j.spec.Steps[t.Step].Requests()
}

// freeOn returns the resources that a worker has left.
func (sim *simulation) freeOn(f *fakeWorker) placement.Resources {
	free := f.Capacity
	for _, r := range f.running {
		free = free.Sub(sim.requestsOf(r.task))
	}
	return free
}

// checkStart checks the invariants of a start: the task was submitted, is not
// done and has no other run, unless its step permits copies.
func (sim *simulation) checkStart(f *fakeWorker, o platform.Start) {
	j := sim.records[o.Task.Job]
	if j == nil {
		sim.violate("start of a task that was not submitted: %v", o.Task)
		return
	}
	if j.cancelledAt > 0 && sim.now > j.cancelledAt+sim.cancelWithin {
		sim.violate("task %v run %d starts on %s at %v, though the cancellation of its job was acknowledged at %v", o.Task, o.Run, f.ID, sim.now, j.cancelledAt)
	}
	if at, ok := j.doneAt[o.Task]; ok {
		sim.violate("task %v run %d starts on %s at %v, though its end was acknowledged at %v", o.Task, o.Run, f.ID, sim.now, at)
	}
	sim.checkQuota(f, o)
	j.starts[o.Task] = append(j.starts[o.Task], startRecord{o.Run, f.ID, sim.nextMoment()})
	if j.spec.Steps[o.Task.Step].Speculative {
		return
	}
	for _, other := range sorted(sim.workers) {
		for _, r := range other.runs() {
			if r.task == o.Task && other.up {
				sim.violate("task %v runs twice at %v: run %d on %s and run %d on %s", o.Task, sim.now, r.run, other.ID, o.Run, f.ID)
			}
		}
	}
}

// checkDone checks the acknowledged end of a finished run: the task must not
// have started after the end, whenever that is acknowledged.
func (sim *simulation) checkDone(f *fakeWorker, e platform.EndedRun) {
	j := sim.records[e.Task.Job]
	if j == nil {
		return
	}
	ended := f.endedAt[e.Number]
	for _, s := range j.starts[e.Task] {
		if s.seq > ended.seq {
			sim.violate("task %v run %d started on %s at %v, after run %d had ended as done on %s at %v, acknowledged at %v",
				e.Task, s.run, s.worker, s.at, e.Run, f.ID, ended.at, sim.now)
		}
	}
	if _, ok := j.doneAt[e.Task]; !ok {
		j.doneAt[e.Task] = sim.now
	}
}

func (sim *simulation) violate(format string, args ...any) {
	if sim.violation == "" {
		const shown = 60 // lines of the trace
		sim.violation = fmt.Sprintf(format, args...) + "\n" + strings.Join(sim.trace[max(0, len(sim.trace)-shown):], "\n")
	}
}

// percent returns the progress of a run.
func (f *fakeWorker) percent(r *fakeRun, now time.Duration) float64 {
	if f.percentOf != nil {
		return f.percentOf(r)
	}
	if f.stalls {
		return 3
	}
	took, _ := f.duration(r.task)
	if took == time.Hour {
		took = time.Second // a long-running task is ready a second after its start
	}
	return min(100*float64(now-r.startedAt)/float64(took), 100)
}

// load returns the tail latency that serving tasks report, in proportion to the
// throttle percentage of the fillers beside them.
func (f *fakeWorker) load(r *fakeRun) float64 {
	if f.tailOf != nil {
		return f.tailOf(r)
	}
	throttlePercent := 0
	for _, r := range f.runs() {
		throttlePercent = max(throttlePercent, r.throttlePercent)
		if r.task.Step == 1 {
			throttlePercent = r.throttlePercent
			break
		}
	}
	return f.tailLatency * float64(throttlePercent) / 100
}

// answerPoll carries out a poll.
func (sim *simulation) answerPoll(f *fakeWorker, poll platform.Poll) platform.WorkerStatus {
	s := platform.WorkerStatus{ClockMS: f.clock(sim.now), StartedMS: f.StartedMS}
	if poll.Token < f.token {
		s.Outcome = platform.OrderFenced
		return s
	}
	f.token = poll.Token
	if poll.DeadlineMS > 0 {
		f.leaseMS = max(f.leaseMS, min(poll.DeadlineMS, f.clock(sim.now)+testMaxLease.Milliseconds()))
	}
	for _, e := range f.ended {
		// An end from before the expiry of the lease does not count as
		// acknowledged.
		acknowledged := e.Number <= poll.Acknowledged && f.endedAt[e.Number].at > f.leaseExpiredAt
		if acknowledged && e.End == platform.EndDone {
			sim.checkDone(f, e)
		}
	}
	f.ended = slices.DeleteFunc(f.ended, func(e platform.EndedRun) bool { return e.Number <= poll.Acknowledged })
	for _, r := range f.runs() {
		s.Runs = append(s.Runs, platform.RunStatus{Task: r.task, Run: r.run, Percent: f.percent(r, sim.now), Load: f.load(r)})
	}
	s.Ends = slices.Clone(f.ended)
	sim.tracef("%s poll token %d deadline %d ack %d: %d runs, ends %v at clock %d", f.ID, poll.Token, poll.DeadlineMS, poll.Acknowledged, len(s.Runs), s.Ends, s.ClockMS)
	return s
}

func (sim *simulation) stopRun(f *fakeWorker, o *StopOrder) platform.OrderAnswer {
	a := platform.OrderAnswer{ClockMS: f.clock(sim.now)}
	if o.Token < f.token {
		a.Outcome = platform.OrderFenced
		return a
	}
	f.token = o.Token
	f.highestRun[o.Task] = max(f.highestRun[o.Task], o.Run)
	if r := f.running[runKey{o.Task, o.Run}]; r != nil {
		if r.stopAt == 0 {
			r.stopAt = sim.now + f.stopTakes
		}
		if f.stopTakes == 0 {
			f.end(r, platform.EndStopped, sim.now)
		}
	}
	return a
}

// testOwner is a simulated owner with its engine.
type testOwner struct {
	*Engine
	sim   *simulation
	token int64
	// paused owners neither decide nor get answers.
	paused bool
	// starvedUntil is when the owner gets to read the answers that wait for it.
	starvedUntil time.Duration
	// recordedAt is when the owner last recorded the workers in use. recording
	// is set while it does so.
	recordedAt time.Duration
	recording  bool
	// entriesReadAt is when the owner last read late entries, and jobsReadAt when
	// it last handled jobs that were read late.
	entriesReadAt, jobsReadAt time.Duration
	// recordVersion is the version of the record that the owner replaces next.
	recordVersion int64
	// expired owners cannot reach the table service.
	expired bool
}

var errNoAnswer = errors.New("no answer")

const (
	orderDelay = 2 * time.Millisecond
	storeDelay = 12 * time.Millisecond
	testTick   = 5 * time.Millisecond
)

func (sim *simulation) catalog() *estate.Catalog {
	if sim.estateCatalog != nil {
		return sim.estateCatalog
	}
	pools := []*estate.Pool{{Name: "p", RejectsOverload: true}, {Name: "spare", Standby: true}}
	pool := func(queue string) string { return cmp.Or(sim.poolOf[queue], "p") }
	if len(sim.poolOf) > 0 {
		pools = append(pools, &estate.Pool{Name: "other", RejectsOverload: true})
	}
	c := estate.NewCatalog(sim.catalogVersion, []*estate.Queue{
		{Name: "q", Host: "h", PathPrefix: "/q/", Pool: pool("q"), MaxAttempts: 2, Stretch: 1.6, LatencyTarget: 600 * time.Millisecond},
		{Name: "r", Host: "h", PathPrefix: "/r/", Pool: pool("r"), Priority: 1, MaxAttempts: 2, Stretch: 1.6, LatencyTarget: 600 * time.Millisecond},
		{Name: "advised", Host: "h", PathPrefix: "/a/", Pool: "p", MaxAttempts: 2, Stretch: 1.6, Recommendation: &estate.Recommendation{}},
	}, pools, estate.Limits{})
	c.Teams = sim.teams
	return c
}

// newOwner creates an owner, which takes over what is stored.
func (sim *simulation) newOwner() *testOwner { return sim.newOwnerAfter(0) }

// newOwnerAfter creates an owner. The previous owner gave its last order the
// given time ago.
func (sim *simulation) newOwnerAfter(ago time.Duration) *testOwner {
	sim.version++
	sim.fence = sim.version
	epoch := sim.fence
	e := New(Options{
		Token: sim.fence, Epoch: epoch, MaxLease: testMaxLease, StopGrace: testStopGrace, CancelWithin: sim.cancelWithin,
		CapacityValidity: shrinkGrace,
		Parts:            2, PartOf: func(job string) int { return int(job[15]) % 2 },
		UnixMS: func(now time.Duration) int64 { return (now + sim.clockStep).Milliseconds() }, Log: sim.log,
	})
	owner := &testOwner{Engine: e, sim: sim, token: sim.fence, recordVersion: sim.recordVersion}
	e.SetCatalog(sim.catalog())
	leasesEnd := e.opts.LeasesEnd(sim.now - ago)
	if sim.releasedLeasesEnd > 0 {
		leasesEnd = min(leasesEnd, sim.releasedLeasesEnd)
	}
	sim.releasedLeasesEnd = 0
	e.Recover(sorted(sim.inUse), leasesEnd, sim.now)
	owner.discover()
	for _, j := range sorted(sim.records) {
		p := j.progress
		p.Done, p.Failures = slices.Clone(p.Done), slices.Clone(p.Failures)
		e.AddJob(j.spec, &p, j.version, 0, true, sim.now)
		if j.cancelled {
			e.Cancel(j.spec.ID, 1, sim.now)
		}
	}
	e.CancelsRead(sim.now, 0)
	return owner
}

// ownershipState returns the state of an owner that learns of a successor at
// once.
func (owner *testOwner) ownershipState() OwnershipState {
	if owner.token != owner.sim.fence || owner.expired {
		return OwnershipExpired
	}
	return OwnershipValid
}

// discover lists the workers whose heartbeats arrive.
func (owner *testOwner) discover() {
	for _, f := range sorted(owner.sim.workers) {
		switch {
		case f.unlisted:
			owner.WorkerUnlisted(f.ID, owner.sim.now)
		case f.up && f.reachable:
			owner.WorkerListed(f.entry(), owner.sim.now)
		}
	}
	owner.recordAtOnce()
}

// discoverLate is discover with entries that reach the owner late, in the order in
// which they were written.
func (owner *testOwner) discoverLate(late time.Duration) {
	sim := owner.sim
	var entries []estate.Worker
	for _, f := range sorted(sim.workers) {
		if f.up && f.reachable && !f.unlisted {
			entries = append(entries, f.entry())
		}
	}
	owner.entriesReadAt = max(owner.entriesReadAt, sim.now+late)
	sim.after(owner.entriesReadAt-sim.now, func() {
		for _, entry := range entries {
			owner.WorkerListed(entry, sim.now)
		}
		owner.recordAtOnce()
	})
}

// recordAtOnce adds the workers in use to the record, unless it is replaced at
// intervals or a later owner has fenced it.
func (owner *testOwner) recordAtOnce() {
	if owner.sim.replaceRecord || owner.token != owner.sim.fence || !owner.Unrecorded(owner.sim.now) {
		return
	}
	// The record of workers in use is written before they are used.
	list := owner.InUse(owner.sim.now)
	for _, u := range list {
		owner.sim.inUse[u.ID] = u
	}
	owner.Recorded(list)
}

// usedWorkersInterval is the time between two records of the workers in use if
// there is no new worker.
const usedWorkersInterval = time.Second

// recordUsedWorkers replaces the record of the workers in use.
func (owner *testOwner) recordUsedWorkers() {
	sim := owner.sim
	if owner.recording || (!owner.Unrecorded(owner.sim.now) && sim.now-owner.recordedAt < usedWorkersInterval) {
		return
	}
	owner.recording = true
	list := owner.InUse(owner.sim.now)
	version := owner.recordVersion
	if sim.recordFault != nil {
		if ft := sim.recordFault(list); ft.lost {
			if ft.applied {
				sim.after(ft.delay, func() { sim.replaceUsedWorkers(owner, list, version) })
			}
			sim.after(500*time.Millisecond, func() { owner.recording, owner.recordedAt = false, -usedWorkersInterval })
			return
		}
	}
	sim.after(storeDelay, func() {
		owner.recording = false
		if sim.storeDown || owner.ownershipState() != OwnershipValid {
			return
		}
		owner.recordedAt = sim.now
		applied := sim.replaceUsedWorkers(owner, list, version)
		owner.recordVersion = sim.recordVersion
		if !applied {
			owner.recordedAt = -usedWorkersInterval
			return
		}
		owner.Recorded(list)
	})
}

// replaceUsedWorkers applies a write of the record of workers in use if its
// fence and the version of the record match.
func (sim *simulation) replaceUsedWorkers(owner *testOwner, list []UsedWorker, version int64) bool {
	if owner.token != sim.fence || version != sim.recordVersion {
		return false
	}
	sim.recordVersion++
	sim.inUse = map[string]UsedWorker{}
	for _, u := range list {
		sim.inUse[u.ID] = u
	}
	return true
}

// submit stores a job and adds it to the owner's engine, if there is one.
func (sim *simulation) submit(owner *testOwner, spec *workload.Job) {
	sim.version++
	sim.records[spec.ID] = &storedJob{
		spec: spec, version: sim.version, submitted: sim.version, doneAt: map[workload.TaskID]time.Duration{}, starts: map[workload.TaskID][]startRecord{},
		progress: workload.Progress{Queue: spec.Queue, State: workload.Queued},
	}
	if owner != nil {
		owner.AddJob(spec, &workload.Progress{Queue: spec.Queue, State: workload.Queued}, sim.version, sim.now, false, sim.now)
	}
}

// run advances the time and lets the owners decide at each tick.
func (sim *simulation) run(d time.Duration, owners ...*testOwner) {
	for end := sim.now + d; sim.now < end; {
		sim.now += testTick
		for _, f := range sorted(sim.workers) {
			if f.up {
				f.tick(sim.now)
			}
		}
		sim.fireEvents()
		for _, owner := range owners {
			if owner.paused {
				continue
			}
			if sim.replaceRecord {
				owner.recordUsedWorkers()
			}
			owner.recordAtOnce()
			// The engine gives orders in the random order of its maps.
			orders := owner.Decide(sim.now, owner.ownershipState())
			slices.SortStableFunc(orders, func(a, b Order) int { return keyOf(a).compare(keyOf(b)) })
			for _, o := range orders {
				sim.deliver(owner, o)
			}
		}
	}
}

// orderKey orders the orders of a decision.
type orderKey struct {
	kind   int
	target string
	task   workload.TaskID
	run    int
}

func (k orderKey) compare(o orderKey) int {
	return cmp.Or(cmp.Compare(k.kind, o.kind), cmp.Compare(k.target, o.target), k.task.Compare(o.task), cmp.Compare(k.run, o.run))
}

func keyOf(o Order) orderKey {
	switch x := o.(type) {
	case *StopOrder:
		return orderKey{0, x.Worker.ID, x.Task, x.Run}
	case *ThrottleOrder:
		return orderKey{1, x.Worker.ID, x.Task, x.Run}
	case *RecommendOrder:
		return orderKey{2, x.Step, workload.TaskID{}, 0}
	case *StartOrder:
		return orderKey{3, x.Worker.ID, x.Task, x.Run}
	case *PollOrder:
		return orderKey{4, x.Worker.ID, workload.TaskID{}, 0}
	case *Commit:
		return orderKey{5, "", workload.TaskID{}, x.Part}
	}
	return orderKey{kind: 6}
}

func (sim *simulation) fireEvents() {
	due := sim.events[:0:0]
	var rest []timedEvent
	for _, e := range sim.events {
		if e.at <= sim.now {
			due = append(due, e)
		} else {
			rest = append(rest, e)
		}
	}
	sim.events = rest
	slices.SortFunc(due, func(a, b timedEvent) int {
		if a.at != b.at {
			return int(a.at - b.at)
		}
		return a.seq - b.seq
	})
	for _, e := range due {
		e.fn()
	}
}

// deliver carries an order to its worker or to the table service, and the
// answer back, with the injected fault.
func (sim *simulation) deliver(owner *testOwner, o Order) {
	if c, ok := o.(*Commit); ok {
		sim.commit(owner, c)
		return
	}
	if r, ok := o.(*RecommendOrder); ok {
		t := platform.Tickets{ByWorker: map[string]string{}, Validity: time.Second}
		for _, id := range r.Workers {
			if ticket := sim.workers[id].needsTicket; ticket != "" && ticket != "nobody" {
				t.ByWorker[id] = ticket
			}
		}
		sim.after(sim.ticketDelay, func() { owner.Recommended(r, t, nil, sim.now) })
		return
	}
	if start, ok := o.(*StartOrder); ok && sim.sendDelay != nil {
		sim.after(sim.sendDelay(), func() {
			if start.Withdrawn() || sim.now > start.NotAfter {
				owner.answer(o, platform.OrderAnswer{Outcome: platform.OrderNotSent}, nil)
				return
			}
			sim.send(owner, o)
		})
		return
	}
	sim.send(owner, o)
}

// send carries an order to its worker and the answer back.
func (sim *simulation) send(owner *testOwner, o Order) {
	f := sim.workers[keyOf(o).target]
	var ft orderFault
	if sim.injectFault != nil {
		ft = sim.injectFault(o)
	}
	if ft.handled {
		return
	}
	if ft.lost {
		if ft.applied && f != nil {
			sim.deliverLate(f, o, ft)
		}
		sim.after(500*time.Millisecond, func() { owner.answer(o, nil, errNoAnswer) })
		return
	}
	sim.after(sim.requestDelay(), func() {
		if f == nil || !f.up || !f.reachable {
			sim.after(500*time.Millisecond, func() { owner.answer(o, nil, errNoAnswer) })
			return
		}
		incarnation := f.incarnation
		sim.applyPoll(f, o, func(a any) {
			sim.after(sim.answerDelay(), func() {
				if f.incarnation != incarnation || !f.reachable {
					owner.answer(o, nil, errNoAnswer)
					return
				}
				owner.answer(o, a, nil)
			})
		})
	})
}

// deliverLate carries an order without an answer to its worker after the delay
// of the fault. The next incarnation of the worker cannot distinguish it from
// an order that is meant for itself.
func (sim *simulation) deliverLate(f *fakeWorker, o Order, ft orderFault) {
	incarnation, sentMS := f.incarnation, f.clock(sim.now)
	sim.after(ft.delay, func() {
		poll, isPoll := o.(*PollOrder)
		if !f.up || (ft.sameIncarnation && f.incarnation != incarnation) {
			return
		}
		sim.tracef("%s carries out an order %v late", f.ID, ft.delay)
		if isPoll && ft.fromArrival && poll.DeadlineMS > 0 {
			late := poll.Poll
			late.DeadlineMS += f.clock(sim.now) - sentMS
			sim.answerPoll(f, late)
			return
		}
		if start, ok := o.(*StartOrder); ok {
			f.lateStarts[runKey{start.Task, start.Run}] = true
		}
		sim.apply(f, o)
	})
}

// applyPoll carries out an order. A long poll is answered at the next end or
// when its wait is over.
func (sim *simulation) applyPoll(f *fakeWorker, o Order, answer func(any)) {
	x, ok := o.(*PollOrder)
	if !ok || x.Wait == 0 {
		answer(sim.apply(f, o))
		return
	}
	first := sim.answerPoll(f, x.Poll)
	later := x.Poll
	later.Acknowledged, later.DeadlineMS = 0, 0 // they apply when the call arrives
	until := sim.now + x.Wait
	var poll func()
	poll = func() {
		if len(f.ended) > 0 || sim.now >= until || first.Outcome != platform.OrderDone {
			answer(sim.answerPoll(f, later))
			return
		}
		sim.after(testTick, poll)
	}
	poll()
}

func (sim *simulation) apply(f *fakeWorker, o Order) any {
	switch x := o.(type) {
	case *StartOrder:
		a := sim.start(f, x.Start)
		sim.tracef("%s start %v run %d token %d deadline %d: %v at clock %d", f.ID, x.Task, x.Run, x.Token, x.DeadlineMS, a.Outcome, a.ClockMS)
		return a
	case *StopOrder:
		a := sim.stopRun(f, x)
		sim.tracef("%s stop %v run %d token %d: %v", f.ID, x.Task, x.Run, x.Token, a.Outcome)
		return a
	case *PollOrder:
		return sim.answerPoll(f, x.Poll)
	case *ThrottleOrder:
		if r := f.running[runKey{x.Task, x.Run}]; r != nil {
			r.throttlePercent = x.Percent
		}
		return platform.OrderAnswer{}
	}
	return nil
}

func (owner *testOwner) answer(o Order, a any, err error) {
	if owner.paused {
		owner.sim.after(testTick, func() { owner.answer(o, a, err) })
		return
	}
	now := owner.sim.now
	if now < owner.starvedUntil {
		owner.sim.after(owner.starvedUntil-now+owner.sim.answerDelay(), func() { owner.answer(o, a, err) })
		return
	}
	switch x := o.(type) {
	case *StartOrder:
		r, _ := a.(platform.OrderAnswer)
		owner.Started(x, r, err, now)
	case *ThrottleOrder:
		r, _ := a.(platform.OrderAnswer)
		owner.Throttled(x, r, err, now)
	case *StopOrder:
		r, _ := a.(platform.OrderAnswer)
		owner.Stopped(x, r, err, now)
	case *PollOrder:
		r, _ := a.(platform.WorkerStatus)
		owner.Polled(x, r, err, now)
	}
}

// commit applies a transaction if its fence and row versions match.
func (sim *simulation) commit(owner *testOwner, c *Commit) {
	sim.after(storeDelay/2, func() {
		if sim.storeDown {
			sim.after(storeDelay, func() { owner.CommitFailed(c, nil, sim.now) })
			return
		}
		if owner.expired {
			sim.after(storeDelay, func() { owner.CommitFailed(c, nil, sim.now) })
			return
		}
		if owner.token != sim.fence {
			return
		}
		current := map[string]int64{}
		ok := true
		for _, r := range c.Records {
			j := sim.records[r.Job]
			current[r.Job] = j.version
			ok = ok && j.version == r.Version
		}
		if !ok {
			sim.after(storeDelay/2, func() { owner.CommitFailed(c, current, sim.now) })
			return
		}
		sim.version++
		v := sim.version
		for _, r := range c.Records {
			j := sim.records[r.Job]
			j.version, j.progress = v, r.Progress
		}
		sim.after(storeDelay/2, func() { owner.Committed(c, v, sim.now) })
	})
}

// jobOf returns a job of one step.
func jobOf(n int, count int, cores float64) *workload.Job {
	return &workload.Job{
		ID: fmt.Sprintf("%016x", n), Queue: "q", Pool: "p", Spec: "spec",
		Steps: []workload.Step{{Count: count, Size: placement.Resources{Processors: cores, MemoryMB: 100}, Estimate: 300 * time.Millisecond}},
	}
}

func (sim *simulation) state(id string) workload.State { return sim.records[id].progress.State }

func (sim *simulation) check() {
	sim.t.Helper()
	if sim.violation != "" {
		sim.t.Fatal(sim.violation)
	}
}

// testingT is the part of testing.T that a simulation needs.
type testingT interface {
	Helper()
	Fatal(args ...any)
}
