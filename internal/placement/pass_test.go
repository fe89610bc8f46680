package placement

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/egretpitch/egretpitch/internal/settings"
	_ "github.com/egretpitch/egretpitch/internal/testkit"
)

var testNow = time.Unix(1_800_000_000, 0)

func drawSize(t *rapid.T, most int) Resources {
	return Resources{
		Processors: float64(rapid.IntRange(1, most).Draw(t, "processors")),
		MemoryMB:   1024 * rapid.IntRange(1, most).Draw(t, "memory"),
	}
}

// drawState draws two pools of workers with running tasks that fit them, and
// pending jobs, some of which can never run.
func drawState(t *rapid.T) State {
	s := State{Now: testNow, Usage: map[string]ClassUsage{}, Teams: map[string]settings.Team{
		"a": {Name: "a"}, "b": {Name: "b", Processors: rapid.IntRange(1, 40).Draw(t, "quota")},
	}}
	for i := range rapid.IntRange(1, 6).Draw(t, "workers") {
		s.Workers = append(s.Workers, Worker{
			Name: fmt.Sprintf("w%d", i), Pool: fmt.Sprint(i % 2), Serving: rapid.IntRange(0, 4).Draw(t, "serving") > 0,
			Capacity: Resources{Processors: 16, MemoryMB: 32 << 10}, Reserved: drawSize(t, 6),
		})
	}
	free := map[string]Resources{}
	for _, w := range s.Workers {
		free[w.Name] = w.Capacity.Sub(w.Reserved)
	}
	for i := range rapid.IntRange(1, 25).Draw(t, "jobs") {
		j := Job{
			ID: fmt.Sprintf("j%02d", i), Team: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team"),
			Pool: fmt.Sprint(i % 2), Priority: 10 * rapid.IntRange(0, 9).Draw(t, "priority"),
			Submitted: testNow.Add(-time.Duration(i) * time.Second), Declared: drawSize(t, 12),
			DeclaredRun: time.Hour, Idempotent: rapid.Bool().Draw(t, "idempotent"),
			Cancelled: rapid.IntRange(0, 9).Draw(t, "cancelled") == 0,
		}
		if rapid.Bool().Draw(t, "deadline") {
			j.Deadline = testNow.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "hours")) * time.Hour)
		}
		w := &s.Workers[rapid.IntRange(0, len(s.Workers)-1).Draw(t, "worker")]
		if rapid.Bool().Draw(t, "running") && w.Pool == j.Pool && j.Declared.Fits(free[w.Name]) {
			free[w.Name] = free[w.Name].Sub(j.Declared)
			j.Epoch = 1
			j.Task = &Task{Host: w.Name, Started: testNow, Stopping: rapid.IntRange(0, 3).Draw(t, "stopping") == 0}
		}
		s.Jobs = append(s.Jobs, j)
	}
	return s
}

// TestPassKeepsCapacityQuotaAndOrder guards against placements that exceed a
// worker's free capacity or a team's quota, that go to the wrong pool, or that
// favour a job of lower rank. The states are random.
func TestPassKeepsCapacityQuotaAndOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawState(t)
		decisions := Pass(s)
		if diff := cmp.Diff(decisions, Pass(s)); diff != "" {
			t.Fatalf("equal states give different decisions: %s", diff)
		}
		jobs := map[string]*Job{}
		free := map[string]Resources{}
		held := map[string]float64{}
		workers := map[string]Worker{}
		for _, w := range s.Workers {
			workers[w.Name], free[w.Name] = w, w.Capacity.Sub(w.Reserved)
		}
		for i := range s.Jobs {
			j := &s.Jobs[i]
			jobs[j.ID] = j
			if j.Task != nil {
				free[j.Task.Host] = free[j.Task.Host].Sub(j.Declared)
				held[j.Team] += j.Declared.Processors
			}
		}
		lowest := map[string]*Job{}
		for _, d := range decisions {
			j := jobs[d.Job]
			if d.Kind != Place {
				continue
			}
			w := workers[d.Host]
			if !w.Serving || w.Pool != j.Pool || j.Task != nil || j.Cancelled || d.Epoch != j.Epoch+1 {
				t.Fatalf("placement %+v of %+v on %+v", d, j, w)
			}
			if !j.Declared.Fits(free[d.Host]) {
				t.Fatalf("%s does not fit %s: %+v in %+v", j.ID, d.Host, j.Declared, free[d.Host])
			}
			free[d.Host] = free[d.Host].Sub(j.Declared)
			held[j.Team] += j.Declared.Processors
			if quota := s.Teams[j.Team].Processors; quota > 0 && held[j.Team] > float64(quota) {
				t.Fatalf("team %s holds %v of %d", j.Team, held[j.Team], quota)
			}
			if l := lowest[d.Host]; l == nil || Rank(j, ClassUsage{}, testNow) < Rank(l, ClassUsage{}, testNow) {
				lowest[d.Host] = j
			}
		}
		checkWaiting(t, &s, decisions, jobs, free, lowest)
		checkImpossible(t, s, decisions)
	})
}

// checkImpossible checks that jobs with a Never decision don't affect the
// decisions on other jobs.
func checkImpossible(t *rapid.T, s State, decisions []Decision) {
	s.Jobs = slices.DeleteFunc(slices.Clone(s.Jobs), func(j Job) bool {
		return slices.Contains(kinds(decisions, j.ID), Never)
	})
	for i, d := range Pass(s) {
		for len(decisions) > 0 && decisions[0].Kind == Never {
			decisions = decisions[1:]
		}
		if len(decisions) == 0 || decisions[0] != d {
			t.Fatalf("decision %d without the impossible jobs is %+v", i, d)
		}
		decisions = decisions[1:]
	}
}

// checkWaiting checks that no job waits for capacity that was given to a job of
// lower rank, and that a job rejected as too large doesn't fit an empty worker.
func checkWaiting(t *rapid.T, s *State, decisions []Decision, jobs map[string]*Job, free map[string]Resources, lowest map[string]*Job) {
	for _, d := range decisions {
		j := jobs[d.Job]
		for _, w := range s.Workers {
			if w.Pool != j.Pool {
				continue
			}
			if d.Kind == Never && d.Reason == ReasonTooLarge && j.Declared.Fits(w.Capacity.Sub(w.Reserved)) {
				t.Fatalf("%s is rejected with %q but fits %s", j.ID, d.Reason, w.Name)
			}
			if d.Kind != Wait || d.Reason != ReasonNoCapacity || !w.Serving {
				continue
			}
			if l := lowest[w.Name]; l != nil && Rank(l, ClassUsage{}, testNow) < Rank(j, ClassUsage{}, testNow) &&
				j.Declared.Fits(free[w.Name].Add(l.Declared)) {
				t.Fatalf("%s waits while %s of lower rank got %s", j.ID, l.ID, w.Name)
			}
		}
	}
}

// kinds returns the kinds of the decisions on the job or host of this name.
func kinds(decisions []Decision, name string) []Kind {
	var found []Kind
	for _, d := range decisions {
		if d.Job == name || d.Job == "" && d.Host == name {
			found = append(found, d.Kind)
		}
	}
	return found
}

func worker(name string, processors float64) Worker {
	return Worker{Name: name, Pool: "p", Serving: true, Capacity: Resources{Processors: processors, MemoryMB: 64 << 10}}
}

func job(id string, priority int, processors float64) Job {
	return Job{ID: id, Team: "t", Pool: "p", Priority: priority, DeclaredRun: time.Hour, Declared: Resources{Processors: processors, MemoryMB: 1}}
}

// TestUrgentJobMakesRoomOnce guards against preemption of a task that can't be
// restarted. While the victim is still stopping, the next pass must neither
// evict a second task nor place another job in the reserved capacity.
func TestUrgentJobMakesRoomOnce(t *testing.T) {
	s := State{Now: testNow, Workers: []Worker{worker("w", 16)}}
	once, soft, other, urgent := job("once", 0, 6), job("soft", 10, 4), job("other", 20, 4), job("urgent", 90, 6)
	once.Task, soft.Task, other.Task = &Task{Host: "w"}, &Task{Host: "w"}, &Task{Host: "w"}
	soft.Checkpoints, other.Idempotent = true, true
	s.Jobs = []Job{once, soft, other, urgent}
	first := Pass(s)
	want := []Decision{
		{Kind: Checkpoint, Job: "soft", Host: "w", Reason: ReasonPreempted},
		{Kind: Wait, Job: "urgent", Reason: ReasonPreempting},
	}
	if diff := cmp.Diff(want, first); diff != "" {
		t.Error(diff)
	}
	soft.Task.Stopping = true
	small := job("small", 10, 2)
	s.Jobs = append(s.Jobs, small)
	if got := Pass(s); len(kinds(got, "other")) > 0 || cmp.Diff(kinds(got, "small"), []Kind{Wait}) != "" {
		t.Errorf("second pass %+v", got)
	}
}

// TestNightlyRunOvertakesBeforeDeadlineButNotCrewChecks checks that a nightly
// run is ranked above ordinary jobs once its deadline is at risk, and never
// above crew checks.
func TestNightlyRunOvertakesBeforeDeadlineButNotCrewChecks(t *testing.T) {
	s := State{Now: testNow, Workers: []Worker{worker("w", 8)}}
	ordinary, nightly, crew := job("ordinary", 50, 4), job("nightly", 20, 4), job("crew", 90, 4)
	nightly.Deadline = testNow.Add(5 * time.Hour)
	s.Jobs = []Job{ordinary, nightly, crew}
	if got := Pass(s); got[1].Job != "ordinary" {
		t.Errorf("early in the night: %+v", got)
	}
	s.Now = testNow.Add(4 * time.Hour)
	if got := Pass(s); got[0].Job != "crew" || got[1].Job != "nightly" {
		t.Errorf("near the deadline: %+v", got)
	}
}

// TestFailingWorkerIsSetAsideAndFailingJobIsNot checks that a worker on which
// all jobs fail is set aside, that a job that fails on all workers gets a Never
// decision, and that neither is mistaken for the other.
func TestFailingWorkerIsSetAsideAndFailingJobIsNot(t *testing.T) {
	s := State{Now: testNow, Workers: []Worker{worker("bad", 8), worker("good", 8), worker("fine", 8)}}
	for i := range 12 {
		s.Workers = append(s.Workers, worker(fmt.Sprint("idle", i), 0))
	}
	end := func(job, class, host string, failed bool) {
		s.Outcomes = append(s.Outcomes, Outcome{Job: job, Class: class, Host: host, At: testNow.Add(-time.Minute), Failed: failed})
	}
	for i := range 3 {
		class := fmt.Sprint(i)
		end("broken"+class, class, "good", true)
		end("broken"+class, class, "fine", true)
		end("release"+class, "one", "idle0", true)
	}
	for i := range 4 {
		end(fmt.Sprint("single", i), fmt.Sprint(i), "fine", true)
		end(fmt.Sprint("ok", i), "y", "fine", false)
	}
	for i := range 3 {
		end(fmt.Sprint("work", i), fmt.Sprint(i), "bad", true)
	}
	broken, work := job("broken", 0, 1), job("work", 0, 1)
	broken.Failed = []string{"good", "fine", "gone"}
	work.Failed = []string{"bad", "good", "fine"}
	s.Jobs = []Job{broken, work}
	s.Workers[0].SetAsideUntil = testNow.Add(-time.Hour)
	got := Pass(s)
	if diff := cmp.Diff(kinds(got, "bad"), []Kind{SetAside}); diff != "" {
		t.Error(diff)
	}
	if len(kinds(got, "good"))+len(kinds(got, "fine"))+len(kinds(got, "idle0")) > 0 {
		t.Errorf("a healthy worker is set aside: %+v", got)
	}
	if diff := cmp.Diff(kinds(got, "broken"), []Kind{Never}); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(kinds(got, "work"), []Kind{Place}); diff != "" {
		t.Error(diff)
	}
}

// TestCancellationWaveIsBatched checks that cancelled pending jobs are dropped
// and cancelled tasks stopped in batches, without a second order for a task
// that is already stopping.
func TestCancellationWaveIsBatched(t *testing.T) {
	s := State{Now: testNow, Workers: []Worker{worker("w", 64)}}
	for i := range 9 {
		j := job(fmt.Sprint("j", i), 0, 1)
		j.Cancelled = true
		if i >= 5 {
			j.Task = &Task{Host: "w", Stopping: i == 8}
		}
		s.Jobs = append(s.Jobs, j)
	}
	batches := Batches(Pass(s), 5)
	if len(batches) != 2 || len(batches[0]) != 5 || len(batches[1]) != 3 {
		t.Fatalf("batches %+v", batches)
	}
	if batches[0][4].Kind != Drop || batches[1][0].Kind != Stop {
		t.Errorf("batches %+v", batches)
	}
}

// TestUsageCorrectsDeclaredSizes checks that three jobs that each declare a
// whole worker are placed together once their class is observed to use an
// eighth of it, and that tasks are throttled when request traffic needs the
// processors.
func TestUsageCorrectsDeclaredSizes(t *testing.T) {
	s := State{Now: testNow, Workers: []Worker{worker("w", 16)}, Usage: map[string]ClassUsage{}}
	for i := range 3 {
		j := job(fmt.Sprint("j", i), i, 16)
		j.Class = "c"
		s.Jobs = append(s.Jobs, j)
	}
	placed := func() (n int) {
		for _, d := range Pass(s) {
			if d.Kind == Place {
				n++
			}
		}
		return n
	}
	if n := placed(); n != 1 {
		t.Errorf("%d placed by declared sizes, want 1", n)
	}
	var usage ClassUsage
	for range minRuns {
		usage = usage.Observe(Resources{Processors: 2, MemoryMB: 1}, time.Hour)
	}
	s.Usage["c"] = usage
	if n := placed(); n != 3 {
		t.Errorf("%d placed by known use, want 3", n)
	}
	for i := range s.Jobs {
		s.Jobs[i].Task = &Task{Host: "w", Started: testNow, UsedAt: testNow.Add(time.Minute), Used: Resources{Processors: 4}}
	}
	s.Workers[0].Traffic.Processors = 6
	if diff := cmp.Diff(kinds(Pass(s), "j0"), []Kind{Throttle}); diff != "" {
		t.Error(diff)
	}
}

// BenchmarkPass measures one pass at a tenth, a third and the whole of the
// planned fleet of 3,400 workers, with a single pool and with up to 180.
func BenchmarkPass(b *testing.B) {
	for _, most := range []int{180, 1} {
		for _, size := range []int{340, 1133, 3400} {
			pools := max(1, most*size/3400)
			b.Run(fmt.Sprintf("pools=%d/workers=%d/pending=%d", pools, size, size*10000/3400), func(b *testing.B) {
				s := benchState(pools, size)
				b.ReportAllocs()
				for b.Loop() {
					if len(Pass(s)) == 0 {
						b.Fatal("no decision")
					}
				}
			})
		}
	}
}

func benchState(pools, workers int) State {
	r := rand.New(rand.NewSource(1))
	s := State{Now: testNow, Usage: map[string]ClassUsage{}, Teams: map[string]settings.Team{}}
	add := func(host string) {
		team := fmt.Sprint(r.Intn(660))
		s.Teams[team] = settings.Team{Name: team, Processors: 400}
		j := job(fmt.Sprintf("j%d", len(s.Jobs)), r.Intn(100), float64(1+r.Intn(24)))
		j.Team, j.Class, j.Pool = team, fmt.Sprint(team, r.Intn(4)), fmt.Sprint(r.Intn(pools))
		j.Declared.MemoryMB = 1024 * (1 + r.Intn(32))
		j.Submitted = testNow.Add(-time.Duration(r.Intn(3600)) * time.Second)
		j.Idempotent = r.Intn(2) == 0
		if host != "" {
			j.Task = &Task{Host: host}
		}
		s.Jobs = append(s.Jobs, j)
	}
	for i := range workers {
		w := worker(fmt.Sprintf("w%d", i), 64)
		w.Pool = fmt.Sprint(i % pools)
		w.Reserved = Resources{Processors: 16, MemoryMB: 16 << 10}
		s.Workers = append(s.Workers, w)
		for range r.Intn(3) {
			add(w.Name)
		}
	}
	for range workers * 10000 / 3400 {
		add("")
	}
	return s
}
