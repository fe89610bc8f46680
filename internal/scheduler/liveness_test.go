package scheduler

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap/zapcore"
	"pgregory.net/rapid"

	"github.com/egretpitch/egretpitch/internal/fleetplan"
	"github.com/egretpitch/egretpitch/internal/placement"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/workload"
)

const (
	// restartTime is how long a long-running task may be without a run for any
	// reason, and outageBound how long after that while there is capacity for
	// it.
	restartTime = 6 * time.Second
	outageBound = 3 * time.Second
	// settlingTime is how long after a disruption the bound does not hold.
	settlingTime = 4 * time.Second
)

// livenessCheck checks that long-running tasks have runs.
type livenessCheck struct {
	watched map[workload.TaskID]*watchedTask
	// disruptedAt is the time of the last crash, outage of the fleet service or
	// change of owner. With ignoreDisruptions the bound holds all the same, but
	// workers with an order about their hosts do not count.
	disruptedAt       time.Duration
	ignoreDisruptions bool
	// longest is the longest time that a task was without a run.
	longest     time.Duration
	longestTask workload.TaskID
	// interruption is the longest time between two runs of a task.
	interruption time.Duration
	// broken describes the first task without a run for too long.
	broken string
}

// watchedTask is a long-running task. ranAt is when it last had a run, or when
// it was submitted, and dueSince the time since which it must get one.
type watchedTask struct {
	ranAt, dueSince time.Duration
	hasRun          bool
}

func (c *estateSimulation) disrupted() { c.disruptedAt = c.now }

// checkLongRunning fails the simulation if a task has had no run for
// outageBound, though its pool has had the capacity for two such tasks.
func (s *estateSimulation) checkLongRunning() {
	running := map[workload.TaskID]bool{}
	for _, f := range s.workers {
		for key := range f.running {
			running[key.task] = true
		}
	}
	calm := s.ignoreDisruptions || s.now-s.disruptedAt >= settlingTime
	for _, task := range slices.SortedFunc(maps.Keys(s.watched), workload.TaskID.Compare) {
		w := s.watched[task]
		if s.workersFailed && s.records[task.Job].progress.State == workload.Failed {
			delete(s.watched, task) // MaxAttempts
			continue
		}
		switch {
		case running[task]:
			w.ranAt, w.dueSince, w.hasRun = s.now, s.now, true
			continue
		case s.now-w.ranAt < restartTime || !calm || s.copiesThatFit(task) < 2:
			w.dueSince = s.now
		case s.now-w.dueSince >= outageBound && s.broken == "":
			s.broken = s.describeOutage(task)
		}
		if without := s.now - w.ranAt; without > s.longest {
			s.longest, s.longestTask = without, task
		}
		if w.hasRun {
			s.interruption = max(s.interruption, s.now-w.ranAt)
		}
	}
}

// copiesThatFit returns how many more runs of a task fit on the workers of its
// pool that are not draining.
func (s *estateSimulation) copiesThatFit(task workload.TaskID) int {
	spec := s.records[task.Job].spec
	step := spec.Steps[task.Step]
	var reservations map[string]fleetplan.Reservation
	if s.ignoreDisruptions {
		reservations = s.planner.Reservations()
	}
	copies := 0
	for _, f := range s.workers {
		if !f.up || f.Draining || f.Pool != spec.Pool || reservations[f.ID] == fleetplan.Ordered {
			continue
		}
		fits, free := 0, s.freeOn(f)
		for ; step.Requests().Fits(free) && fits < 2; fits++ {
			free = free.Sub(step.Requests())
		}
		if step.MaxPerWorker > 0 {
			allowed := step.MaxPerWorker
			for key := range f.running {
				if key.task.StepName() == task.StepName() {
					allowed--
				}
			}
			fits = max(0, min(fits, allowed))
		}
		copies += fits
	}
	return copies
}

// loggedEvent is an event of an engine or of the estate.
type loggedEvent struct {
	at      time.Duration
	message string
	fields  []zapcore.Field
}

func (s *estateSimulation) notef(format string, args ...any) {
	s.events = append(s.events, loggedEvent{at: s.now, message: fmt.Sprintf(format, args...)})
}

// eventLog keeps the events that engines log.
type eventLog struct {
	zapcore.LevelEnabler
	sim *estateSimulation
}

func (l eventLog) With([]zapcore.Field) zapcore.Core { return l }
func (l eventLog) Sync() error                       { return nil }
func (l eventLog) Check(e zapcore.Entry, ce *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	return ce.AddCore(e, l)
}

func (l eventLog) Write(e zapcore.Entry, fields []zapcore.Field) error {
	l.sim.events = append(l.sim.events, loggedEvent{l.sim.now, e.Message, fields})
	return nil
}

func (e loggedEvent) String() string {
	text := fmt.Sprintf("%v %s", e.at, e.message)
	if len(e.fields) == 0 {
		return text
	}
	line, err := zapcore.NewJSONEncoder(zapcore.EncoderConfig{SkipLineEnding: true}).EncodeEntry(zapcore.Entry{}, e.fields)
	if err != nil {
		return text
	}
	return text + " " + line.String()
}

// describeOutage reports a task without a run, with the last events of the task
// and of its pool's workers.
func (s *estateSimulation) describeOutage(task workload.TaskID) string {
	const shown = 60
	pool := s.records[task.Job].spec.Pool
	var lines []string
	for _, e := range slices.Backward(s.events) {
		if len(lines) == shown {
			break
		}
		line := e.String()
		ofPool := strings.Contains(line, "pool "+pool) || strings.Contains(line, `"pool":"`+pool+`"`) || strings.Contains(line, "wave ") ||
			(len(e.fields) == 0 && !strings.Contains(line, "pool ")) // of the whole estate
		if strings.Contains(line, task.String()) || (ofPool && !strings.Contains(line, `"task":`)) {
			lines = append(lines, line)
		}
	}
	slices.Reverse(lines)
	return fmt.Sprintf("task %v of pool %s has no run at %v, the last one ended at %v; %d more would fit; longest time without a run so far: %v (%v)\n%s",
		task, pool, s.now, s.watched[task].ranAt, s.copiesThatFit(task), s.longest, s.longestTask, strings.Join(lines, "\n"))
}

// verify fails the test if an invariant or the bound was violated.
func (s *estateSimulation) verify() {
	s.t.Helper()
	s.check()
	if s.broken != "" {
		s.t.Fatal(s.broken)
	}
}

func (s *estateSimulation) workerOf(pool string, most bool) *fakeHost {
	var best *fakeHost
	for _, h := range s.poolHosts(pool) {
		if h.worker != nil && (best == nil || (len(h.worker.running) > len(best.worker.running)) == most) {
			best = h
		}
	}
	return best
}

// estateWithPackedWorker returns an estate in which one worker of pool a, on
// the returned host, runs the eight tasks of two jobs.
func estateWithPackedWorker(t testingT) (*estateSimulation, *fakeHost) {
	s := newEstate(t, 1, map[string]int{"a": 4, "b": 4, "c": 4, "d": 4, standbyPool: 1})
	s.advance(time.Second)
	s.submitTasks("a", longRunningStep(4, 1.75, 3<<10, 0))
	s.submitTasks("a", longRunningStep(4, 1.75, 3<<10, 0))
	s.advance(time.Second)
	s.submitTasks("a", longRunningStep(6, 1.5, 3<<10, 2))
	s.advance(4 * time.Second)
	s.verify()
	return s, s.workerOf("a", true)
}

// surge submits batch jobs to a pool for the given time.
func (s *estateSimulation) surge(pool string, jobsPerSecond int, d time.Duration) {
	for at := time.Duration(0); at < d; at += time.Second / time.Duration(jobsPerSecond) {
		s.after(at, func() {
			s.submitTasks(pool, workload.Step{
				Count: s.draw(2, 8), Size: placement.Resources{Processors: float64(s.draw(2, 10)) / 4, MemoryMB: s.draw(1, 4) << 10}, Estimate: s.millis(600, 1500),
			})
		})
	}
}

// hostNames returns the names of a pool's hosts.
func (s *estateSimulation) hostNames(pool string) []string {
	var names []string
	for _, h := range s.poolHosts(pool) {
		names = append(names, h.name)
	}
	return names
}

// A wave reserves the last open worker just before the runs are given up, while
// other pools surge.
func TestTasksOfALeavingWorkerRunWhenAWaveStarts(t *testing.T) {
	s, leaving := estateWithPackedWorker(t)
	if n := len(leaving.worker.running); n < 8 {
		t.Fatalf("the worker runs %d tasks, want at least 8", n)
	}
	s.leave(leaving, 9*time.Second)
	s.advance(12 * time.Second)
	for _, pool := range []string{"b", "c", "d"} {
		s.surge(pool, 40, 8*time.Second)
	}
	s.advance(time.Second)
	for _, h := range s.poolHosts("a") {
		if h.worker != nil && h != s.workerOf("a", true) {
			s.leave(h, 6*time.Second)
			break
		}
	}
	s.advance(300 * time.Millisecond)
	s.startWave(s.hostNames("a"), 8*time.Second, 4)
	s.advance(25 * time.Second)
	s.verify()
}

// Workers that are emptied for a wave keep free capacity that tasks wait for.
func TestWaveHoldsNoWorkersWhileTheFleetServiceIsAway(t *testing.T) {
	s, _ := estateWithPackedWorker(t)
	s.ignoreDisruptions = true
	s.submitTasks("a", longRunningStep(6, 2, 4<<10, 2))
	s.submitTasks("a", longRunningStep(5, 2, 4<<10, 0))
	s.advance(2 * time.Second)
	s.startWave(s.hostNames("a"), 15*time.Second, 4)
	s.advance(2500 * time.Millisecond)
	s.service = serviceSilent
	s.advance(18 * time.Second)
	s.service = serviceUp
	s.advance(15 * time.Second)
	s.verify()
}

func TestLongRunningTasksKeepRunningWithoutEvents(t *testing.T) {
	s, _ := estateWithPackedWorker(t)
	s.longest = 0
	s.advance(30 * time.Second)
	s.verify()
	if s.longest > 0 {
		t.Errorf("task %v was without a run for %v", s.longestTask, s.longest)
	}
}

// A host that was moved to a pool for a long-running task is idle until the
// task is placed there, while other pools lack hosts.
func TestHostForALongRunningTaskStaysInItsPool(t *testing.T) {
	s := newEstate(t, 1, map[string]int{"a": 4, "b": 4, "c": 4, "d": 4, standbyPool: 4})
	s.advance(time.Second)
	s.submitTasks("a", longRunningStep(4, 1.75, 3<<10, 1))
	s.advance(5 * time.Second)
	s.leave(s.poolHosts("a")[0], 8*time.Second)
	for _, pool := range []string{"b", "c"} {
		s.surge(pool, 12, 18*time.Second)
	}
	s.advance(25 * time.Second)
	s.verify()
	if s.interruption > restartTime+outageBound {
		t.Errorf("a task was without a run for %v\n%s", s.interruption, s.describeOutage(s.longestTask))
	}
}

// failRun ends a run of a long-running task on a worker as failed.
func (s *estateSimulation) failRun(f *fakeWorker) {
	for _, r := range f.runs() {
		if s.records[r.task.Job].spec.Steps[r.task.Step].LongRunning {
			f.end(r, platform.EndFailed, s.now)
			s.notef("run %d of %v fails on %s of pool %s", r.run, r.task, f.ID, f.Pool)
			return
		}
	}
}

// A long-running task for which there is capacity must have a run within the bound.
func TestLongRunningTasksRunInAnyHistory(t *testing.T) {
	checkHistories(t, 4, func(t *rapid.T) { playEstate(t, true, drawnStandby).verify() })
}

// TestLongRunningTasksRunDuringPlannedWork leaves out all faults, and logs the
// longest time that a task was without a run.
func TestLongRunningTasksRunDuringPlannedWork(t *testing.T) {
	var longest, interruption time.Duration
	histories := 0
	checkHistories(t, 2, func(t *rapid.T) {
		s := playEstate(t, false, ampleStandby)
		s.verify()
		histories++
		longest, interruption = max(longest, s.longest), max(interruption, s.interruption)
	})
	t.Logf("%d histories: the longest time without a run is %v, %v of a task that had run", histories, longest, interruption)
}

// TestSeedRepeatsItsEstate guards against a simulation that depends on the
// order of a map.
func TestSeedRepeatsItsEstate(t *testing.T) {
	histories := rapid.Custom(func(t *rapid.T) []string {
		s := playEstate(t, true, drawnStandby)
		return append(s.trace, s.violation, s.broken)
	})
	for seed := range 2 {
		first, second := histories.Example(seed), histories.Example(seed)
		if diff := cmp.Diff(first, second); diff != "" {
			t.Fatalf("seed %d plays two histories:\n%s", seed, diff)
		}
	}
}

// checkHistories checks a property with the given number of histories, or with
// as many as the flag -rapid.checks requests.
func checkHistories(t *testing.T, histories int, property func(*rapid.T)) {
	const name = "rapid.checks"
	requested := false
	flag.Visit(func(f *flag.Flag) { requested = requested || f.Name == name })
	if !requested {
		number := flag.Lookup(name)
		before := number.Value.String()
		if err := number.Value.Set(fmt.Sprint(histories)); err != nil {
			t.Fatal(err)
		}
		defer func() { _ = number.Value.Set(before) }()
	}
	rapid.Check(t, property)
}

// uniform draws an integer uniformly, unlike rapid.IntRange, and shrinks
// towards from.
func uniform(t *rapid.T, from, to int, label string) int {
	const bits = 12
	return rapid.Custom(func(t *rapid.T) int {
		drawn := 0
		for range bits {
			drawn *= 2
			if rapid.Bool().Draw(t, "bit") {
				drawn++
			}
		}
		return from + drawn*(to-from+1)>>bits
	}).Draw(t, label)
}

func uniformMillis(t *rapid.T, from, to int, label string) time.Duration {
	return time.Duration(uniform(t, from, to, label)) * time.Millisecond
}

const (
	// ampleStandby standby hosts are enough for the tasks of every history.
	ampleStandby = 24
	// drawnStandby draws their number.
	drawnStandby = -1
)

// playEstate plays a random history to its end or to the first violation.
func playEstate(t *rapid.T, faults bool, standby int) *estateSimulation {
	return playEstateWith(t, faults, standby, func(*estateSimulation) {})
}

// playEstateWith is playEstate for an estate that is changed before it starts.
func playEstateWith(t *rapid.T, faults bool, standby int, change func(*estateSimulation)) *estateSimulation {
	sizes := map[string]int{standbyPool: uniform(t, 0, 6, "standby hosts")}
	if standby != drawnStandby {
		sizes[standbyPool] = standby
	}
	hosts := 0
	for _, pool := range simPools {
		sizes[pool] = uniform(t, 2, 5, "hosts of "+pool)
		hosts += sizes[pool]
	}
	s := newEstate(t, rapid.Uint64().Draw(t, "seed"), sizes)
	change(s)
	s.setStopTakes(uniformMillis(t, 0, 250, "stop takes ms"))
	s.discoveryDelay = uniformMillis(t, 50, 900, "discovery ms")
	s.advance(time.Second)
	for range uniform(t, 2, hosts/2, "long-running jobs") {
		s.submitLongRunning(t)
		s.advance(uniformMillis(t, 0, 500, "pause ms"))
	}
	s.advance(8 * time.Second)
	kinds := []string{"surge", "surge", "surge", "wave", "wave", "wave", "leave", "leave the pool's busiest", "leave the pool's busiest", "submit", "cancel", "failing jobs", "failed run", "rolling restart"}
	if faults {
		kinds = append(kinds, "crash", "restart", "cut", "losses", "outage", "outage", "owner", "pause", "table outage", "failing worker")
	}
	for range uniform(t, 2, 14, "actions") {
		kind := kinds[uniform(t, 0, len(kinds)-1, "kind")]
		s.act(t, kind, hosts)
		pause := uniformMillis(t, 50, 2500, "pause ms")
		if uniform(t, 0, 2, "rest") == 0 {
			pause += uniformMillis(t, 3000, 12000, "rest ms")
		}
		s.advance(pause)
		if s.broken != "" || s.violation != "" {
			return s
		}
	}
	s.advance(25 * time.Second)
	s.finishWaves()
	return s
}

// maxLateness is how late lost orders are carried out, in milliseconds.
const maxLateness = 2000

// act starts one event of a history in an estate that began with the given
// number of hosts.
func (s *estateSimulation) act(t *rapid.T, kind string, initialHosts int) {
	pool := simPools[uniform(t, 0, len(simPools)-1, "pool")]
	switch kind {
	case "surge":
		s.surge(pool, uniform(t, 5, 40, "jobs per second"), uniformMillis(t, 1000, 8000, "surge ms"))
	case "wave":
		share := []int{25, 70, 100}[uniform(t, 0, 2, "share")]
		var hosts []string
		for _, h := range s.sortedHosts() {
			if uniform(t, 1, 100, h.name) <= share {
				hosts = append(hosts, h.name)
			}
		}
		if len(hosts) > 0 {
			s.startWave(hosts, uniformMillis(t, 4000, 20000, "wave ms"), uniform(t, 1, max(1, len(hosts)/2), "down"))
		}
	case "leave the pool's busiest":
		if h := s.workerOf(pool, true); h != nil && !h.leaving && s.mayLose(initialHosts) {
			s.leave(h, uniformMillis(t, 2000, 10000, "remaining ms"))
		}
	case "leave":
		if h := s.drawHost(t, initialHosts); h != nil {
			s.leave(h, uniformMillis(t, 2000, 10000, "remaining ms"))
		}
	case "submit":
		s.submitLongRunning(t)
	case "cancel":
		s.cancelLongRunning(t)
	case "crash":
		if h := s.drawHost(t, initialHosts); h != nil {
			s.crashHost(h, uniformMillis(t, 0, 1, "comes back")*uniformMillis(t, 1000, 6000, "back ms")/time.Millisecond)
		}
	case "failing jobs":
		for range uniform(t, 2, 4, "jobs") {
			job := s.submitTasks(pool, workload.Step{Count: uniform(t, 1, 8, "tasks"), Size: placement.Resources{Processors: 1, MemoryMB: 1 << 10}, Estimate: time.Second})
			s.failsAfter[job.ID] = uniformMillis(t, 100, 5000, "fails after ms")
		}
		s.notef("jobs of pool %s fail", pool)
	case "failed run":
		if h := s.workerOf(pool, uniform(t, 0, 1, "most tasks") == 1); h != nil {
			s.workersFailed = true
			s.failRun(h.worker)
		}
	case "failing worker":
		if h := s.drawHost(t, initialHosts); h != nil {
			id := h.worker.ID
			s.failsAfter[id], s.workersFailed = 200*time.Millisecond, true
			s.fault(fmt.Sprintf("runs on worker %s of pool %s fail", id, h.pool), uniformMillis(t, 200, 5000, "failing ms"), func() { delete(s.failsAfter, id) })
		}
	case "restart":
		if h := s.drawHost(t, initialHosts); h != nil {
			s.restartWorker(h, uniformMillis(t, 5, 3000, "back ms"))
		}
	case "cut":
		if h := s.drawHost(t, initialHosts); h != nil {
			f := h.worker
			f.reachable = false
			s.fault(fmt.Sprintf("worker %s of pool %s is cut off", f.ID, h.pool), uniformMillis(t, 500, 8000, "cut ms"), func() {
				f.reachable = h.worker == f
			})
		}
	case "losses":
		share := uniform(t, 5, 60, "percent lost")
		s.injectFault = func(Order) orderFault {
			if s.draw(1, 100) > share {
				return orderFault{}
			}
			return orderFault{lost: true, applied: s.draw(0, 1) == 1, delay: s.millis(0, maxLateness), sameIncarnation: true}
		}
		s.fault("orders are lost", uniformMillis(t, 500, 4000, "losses ms"), func() {
			s.injectFault = nil
			s.fault("late orders arrive", maxLateness*time.Millisecond, func() {})
		})
	case "pause":
		if o := s.owner; o != nil {
			o.paused = true
			s.fault("the owner is paused", uniformMillis(t, 200, 2500, "paused ms"), func() { o.paused = false })
		}
	case "table outage":
		s.storeDown = true
		s.fault("the table service is away", uniformMillis(t, 200, 4000, "away ms"), func() { s.storeDown = false })
	case "outage":
		s.service = serviceState(uniform(t, int(serviceSilent), int(serviceLosingAnswers), "fleet service"))
		s.notef("the fleet service is %v", s.service)
		s.outages++
		outage := s.outages
		s.after(uniformMillis(t, 1000, 9000, "outage ms"), func() {
			if s.outages == outage {
				s.service = serviceUp
			}
		})
	case "rolling restart":
		at := time.Duration(0)
		for range uniform(t, 1, 4, "restarts") {
			vacant := uniformMillis(t, 50, 400, "vacant ms")
			s.after(at, func() { s.handOver(vacant) })
			at += uniformMillis(t, 1000, 5000, "between ms")
		}
	case "owner":
		if s.owner != nil {
			s.changeOwner(uniformMillis(t, 100, 4000, "vacant ms"))
		}
	}
}

func (s *estateSimulation) mayLose(initialHosts int) bool {
	up := 0
	for _, h := range s.hosts {
		if h.worker != nil && !h.leaving {
			up++
		}
	}
	return up > initialHosts*2/3
}

// drawHost draws a host that is to leave or crash. It returns nil while few
// hosts are left.
func (s *estateSimulation) drawHost(t *rapid.T, initialHosts int) *fakeHost {
	var up []*fakeHost
	for _, h := range s.sortedHosts() {
		if h.worker != nil && !h.leaving {
			up = append(up, h)
		}
	}
	if !s.mayLose(initialHosts) {
		return nil
	}
	return up[uniform(t, 0, len(up)-1, "host")]
}

func (s *estateSimulation) submitLongRunning(t *rapid.T) {
	step := longRunningStep(uniform(t, 4, 8, "tasks"), float64(uniform(t, 4, 8, "quarter cores"))/4, uniform(t, 4, 20, "quarter GB")<<8,
		[]int{0, 0, 1, 2}[uniform(t, 0, 3, "per worker")])
	s.submitTasks(simPools[uniform(t, 0, len(simPools)-1, "pool")], step)
}

// cancelLongRunning cancels a long-running job that has not been cancelled.
func (s *estateSimulation) cancelLongRunning(t *rapid.T) {
	var jobs []string
	for task := range s.watched {
		if !slices.Contains(jobs, task.Job) {
			jobs = append(jobs, task.Job)
		}
	}
	if len(jobs) == 0 {
		return
	}
	slices.Sort(jobs)
	job := jobs[uniform(t, 0, len(jobs)-1, "job")]
	s.records[job].cancelled = true
	if s.owner != nil {
		s.owner.Cancel(job, 1, s.now)
	}
	s.notef("job %s is cancelled", job)
	maps.DeleteFunc(s.watched, func(task workload.TaskID, _ *watchedTask) bool { return task.Job == job })
}

// setStopTakes sets how long stopped runs go on, on all workers.
func (s *estateSimulation) setStopTakes(d time.Duration) {
	s.stopTakes = d
	for _, f := range s.workers {
		f.stopTakes = d
	}
}
