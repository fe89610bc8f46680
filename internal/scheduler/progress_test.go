package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/egretpitch/egretpitch/internal/estate"
	"github.com/egretpitch/egretpitch/internal/fleetplan"
	"github.com/egretpitch/egretpitch/internal/placement"
)

const (
	// evacuationBound is how long the evacuation of a worker may keep a slot of
	// a wave: fleetplan.evacuationTimeout.
	evacuationBound = 10 * time.Second
	// discoveryBound is the platform's bound on the time from the start of a
	// worker to its discovery entry.
	discoveryBound = 3 * time.Second
	// progressBound is how long a wave that is late, or a worker that is to
	// become idle, may stay as it is in a calm estate: the place of the last
	// tasks is on a host that has to move first, and an evacuation that does not
	// end gives way to that of another host.
	progressBound = simMigration + discoveryBound + evacuationBound + simMaintenance
	// batchBound is how long a task that fits on a usable worker may wait.
	batchBound = 5 * passInterval
	// holdBound is how long capacity may be held while no long-running task of
	// the pool starts or ends.
	holdBound = restartTime + outageBound
)

// progressCheck checks that waves, evacuations and batch tasks go on.
type progressCheck struct {
	waveProgress []waveProgress
	// fitsSince is since when the tasks of steps have fitted on usable workers.
	fitsSince map[string]time.Duration
	// held and emptying are since when capacity is held in pools, and workers
	// are being emptied, without progress.
	held, emptying map[string]unchanged
	stalled        string
}

// waveProgress is the progress of a wave. In time are the hosts whose maintenance
// began within the wave's duration.
type waveProgress struct {
	startedAt, lateSince time.Duration
	begun, inTime, hosts int
}

// unchanged is a state since the time at which it was first seen.
type unchanged struct {
	state string
	since time.Duration
}

// checkProgress records what goes on, and describes in stalled what does not.
func (s *estateSimulation) checkProgress() {
	calm := s.now-s.disruptedAt >= settlingTime && s.owner != nil && !s.owner.paused && s.now-s.firstOrderAt >= settlingTime
	s.checkWaves(calm)
	if !calm {
		s.fitsSince, s.held, s.emptying = nil, nil, nil
		return
	}
	s.checkBatch()
	held, emptying := map[string]string{}, map[string]string{}
	for _, name := range simPools {
		p := s.owner.pool(name)
		if slices.ContainsFunc(p.workers, (*worker).holds) {
			held[name] = longRunningState(p)
		}
		for _, w := range p.workers {
			if w.reservation == fleetplan.Emptying && w.listed && !w.Draining {
				emptying[w.ID] = fmt.Sprint(len(w.runs), " ", longRunningState(p))
			}
		}
	}
	s.held, s.emptying = follow(s.held, held, s.now), follow(s.emptying, emptying, s.now)
	s.report("capacity is held in pool", s.held, holdBound)
	s.report("nothing gets on while it is emptied: worker", s.emptying, progressBound)
}

// follow returns since when the states are as they are.
func follow(before map[string]unchanged, states map[string]string, now time.Duration) map[string]unchanged {
	after := map[string]unchanged{}
	for id, state := range states {
		after[id] = unchanged{state, now}
		if u, ok := before[id]; ok && u.state == state {
			after[id] = u
		}
	}
	return after
}

func (s *estateSimulation) report(what string, list map[string]unchanged, bound time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(list)) {
		if u := list[id]; s.now-u.since >= bound {
			s.stall("%s %s, %v", what, id, s.now-u.since)
		}
	}
}

// longRunningState describes the runs of long-running tasks in a pool.
func longRunningState(p *pool) string {
	var runs []string
	for _, w := range p.workers {
		for _, r := range w.longRunning {
			runs = append(runs, fmt.Sprint(r.task.id(), r.number, r.phase))
		}
	}
	slices.Sort(runs)
	return strings.Join(runs, " ")
}

// checkBatch looks for ready tasks that fit on a usable worker and do not start.
func (s *estateSimulation) checkBatch() {
	before := s.fitsSince
	s.fitsSince = map[string]time.Duration{}
	for _, name := range simPools {
		p := s.owner.pool(name)
		open, _ := p.openWorkers(s.now)
		for st := range p.ready {
			if st.LongRunning || st.job.team.waitsForQuota(s.now) || !slices.ContainsFunc(open, st.fitsOn) || !slices.ContainsFunc(st.tasks, func(t *task) bool {
				return t.startable() && s.now >= t.notBefore && !s.owner.blockedByRecovery(t)
			}) {
				continue
			}
			id := st.job.ID
			since, ok := before[id]
			if !ok {
				since = s.now
			}
			s.fitsSince[id] = since
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.fitsSince)) {
		if waited := s.now - s.fitsSince[id]; waited >= batchBound {
			s.stall("tasks of job %s fit on a usable worker of pool %s and do not start for %v", id, s.records[id].spec.Pool, waited)
		}
	}
}

// checkWaves checks that the maintenance of another host of a late wave begins,
// as long as a standby host can take the place of one.
func (s *estateSimulation) checkWaves(calm bool) {
	spare := slices.ContainsFunc(s.poolHosts(standbyPool), func(h *fakeHost) bool { return h.state == estate.HostUp && !h.leaving })
	for i, w := range s.waves {
		if i == len(s.waveProgress) {
			s.waveProgress = append(s.waveProgress, waveProgress{startedAt: s.now})
		}
		p := &s.waveProgress[i]
		begun, remaining, ready, down := 0, 0, 0, 0
		for _, name := range w.Hosts {
			h := s.hosts[name]
			if h != nil && h.state == estate.HostMaintenance {
				down++ // maybe for another wave, but it counts towards MaxDown
			}
			switch {
			case s.maintained[w.Number][name]:
				begun++
			case h != nil && !h.leaving:
				remaining++
				if h.state == estate.HostUp {
					ready++
				}
			}
		}
		if s.now <= p.startedAt+w.Duration {
			p.inTime, p.hosts = begun, begun+remaining
		}
		if begun > p.begun || down > 0 || !calm || !spare || ready == 0 || s.now <= p.startedAt+w.Duration {
			p.lateSince = s.now
		}
		p.begun = begun
		if s.now-p.lateSince >= progressBound {
			s.stall("wave %d: %d hosts remain, none has begun its maintenance for %v", w.Number, remaining, s.now-p.lateSince)
		}
	}
}

// remaining counts the hosts whose maintenance has not begun.
func (s *estateSimulation) remaining() int {
	n := 0
	for _, w := range s.waves {
		for _, name := range w.Hosts {
			if h := s.hosts[name]; h != nil && !h.leaving && !s.maintained[w.Number][name] {
				n++
			}
		}
	}
	return n
}

// finishWaves advances until no host remains to be maintained, or until none
// has begun its maintenance for twice the bound.
func (s *estateSimulation) finishWaves() {
	since, before := s.now, s.remaining()
	for s.remaining() > 0 && s.now-since < 2*progressBound && s.broken == "" && s.violation == "" {
		s.advance(time.Second)
		if n := s.remaining(); n != before {
			since, before = s.now, n
		}
	}
}

// stall describes the first thing that does not go on, with the last events
// of the estate.
func (s *estateSimulation) stall(format string, args ...any) {
	if s.stalled != "" {
		return
	}
	const shown = 60
	var lines []string
	for _, e := range slices.Backward(s.events) {
		if line := e.String(); len(lines) < shown && !strings.Contains(line, `"task":`) && !strings.Contains(line, `"job":`) {
			lines = append(lines, line)
		}
	}
	slices.Reverse(lines)
	var hosts []string
	for _, h := range s.sortedHosts() {
		line := fmt.Sprintf("%s of pool %s: %s", h.name, h.pool, h.state)
		if h.worker != nil && s.owner != nil {
			line += " " + h.worker.ID
			if w := s.owner.workers[h.worker.ID]; w != nil {
				line += fmt.Sprintf(": %d runs (%d long-running), %v, %q, held %v, free %v", len(w.runs), len(w.longRunning), w.reservation, w.unusable(s.now), w.held, w.free())
			}
		}
		hosts = append(hosts, line)
	}
	s.stalled = fmt.Sprintf("%v: %s\n%s\n%s", s.now, fmt.Sprintf(format, args...), strings.Join(hosts, "\n"), strings.Join(lines, "\n"))
}

// wavesInTime returns how many hosts' maintenance began within the durations of
// their waves, and how many hosts the waves had.
func (s *estateSimulation) wavesInTime() (inTime, hosts int) {
	for _, p := range s.waveProgress {
		inTime, hosts = inTime+p.inTime, hosts+p.hosts
	}
	return inTime, hosts
}

// verifyProgress fails the test if something did not go on.
func (s *estateSimulation) verifyProgress() {
	s.t.Helper()
	if s.stalled != "" {
		s.t.Fatal(s.stalled)
	}
}

// estateWithFullPools returns an estate in which no worker can take another
// long-running task. It has the given number of standby hosts.
func estateWithFullPools(t testingT, standby int) *estateSimulation {
	s := newEstate(t, 1, map[string]int{"a": 3, "b": 2, "c": 2, "d": 2, standbyPool: standby})
	s.advance(time.Second)
	for _, pool := range simPools {
		s.submitTasks(pool, longRunningStep(len(s.poolHosts(pool)), 10, 4<<10, 0))
	}
	s.advance(8 * time.Second)
	return s
}

func TestWorkerWhoseTasksFitNowhereTakesBatchTasks(t *testing.T) {
	s := estateWithFullPools(t, 0)
	s.startWave(s.hostNames("a"), 5*time.Second, 3)
	s.advance(5 * time.Second)
	s.surge("a", 10, 30*time.Second)
	s.advance(30 * time.Second)
	s.verify()
	s.verifyProgress()
}

func TestWaveEndsIfOneHostIsSpare(t *testing.T) {
	s := estateWithFullPools(t, 1)
	s.startWave(s.hostNames("a"), 30*time.Second, 3)
	s.finishWaves()
	s.verify()
	s.verifyProgress()
	if n, of := s.wavesInTime(); n != of || n != 3 {
		t.Errorf("the maintenance of %d of %d hosts has begun in time", n, of)
	}
}

// The jobs are of teams that are at their quotas during a surge.
func TestTeamsStayWithinTheirQuotasInAnyEstate(t *testing.T) {
	checkHistories(t, 2, func(t *rapid.T) {
		s := playEstateWith(t, true, drawnStandby, func(s *estateSimulation) {
			s.setTeams(map[string]placement.Resources{"a": cores(6), "b": {Processors: 24, MemoryMB: 32 << 10}})
			s.estateCatalog.Teams = s.teams
			s.owner.quotas.SetTeams(s.teams)
		})
		s.check()
		s.verifyProgress()
	})
}

// waitsForQuota reports whether a task of the team did not fit its quota a short
// while ago.
func (t *team) waitsForQuota(now time.Duration) bool {
	return t != nil && t.blockedAt > 0 && now-t.blockedAt < 2*passInterval
}

// Waves, evacuations and batch tasks must go on.
func TestWorkGoesOnInAnyHistory(t *testing.T) {
	checkHistories(t, 4, func(t *rapid.T) { playEstate(t, true, drawnStandby).verifyProgress() })
}

func TestWorkGoesOnDuringPlannedWork(t *testing.T) { checkPlannedWork(t, ampleStandby) }

// TestWorkGoesOnWithoutSpareHosts leaves it open whether waves end: the tasks of
// a host may fit nowhere else.
func TestWorkGoesOnWithoutSpareHosts(t *testing.T) { checkPlannedWork(t, 0) }

// checkPlannedWork logs which share of the hosts of waves was maintained in time.
func checkPlannedWork(t *testing.T, standby int) {
	histories, inTime, hosts, remaining := 0, 0, 0, 0
	var longest, interruption time.Duration
	checkHistories(t, 2, func(t *rapid.T) {
		s := playEstate(t, false, standby)
		histories++
		n, of := s.wavesInTime()
		inTime, hosts, remaining = inTime+n, hosts+of, remaining+s.remaining()
		longest, interruption = max(longest, s.longest), max(interruption, s.interruption)
		s.verify()
		s.verifyProgress()
	})
	t.Logf("%d histories: %d of %d hosts in time, %d not maintained at the end; the longest time without a run is %v, %v of a task that had run",
		histories, inTime, hosts, remaining, longest, interruption)
}
