package scheduler

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/egretpitch/egretpitch/internal/estate"
	"github.com/egretpitch/egretpitch/internal/placement"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/workerspeed"
	"github.com/egretpitch/egretpitch/internal/workload"
)

// loadPlay plays workers whose tasks progress at a rate that depends on the worker,
// on what runs beside them and on the distance to their data.
type loadPlay struct {
	*simulation
	rng  *rand.Rand
	work map[*fakeRun]*workDone
	// slowdown holds how many times as long a task of the first image takes beside
	// one of the second, and tails the same for the tails of serving tasks.
	slowdown map[[2]string]float64
	// speed holds the speeds of slow workers, claims the speed that they report.
	speed, claims map[string]float64
	jobs          int
}

type workDone struct {
	at, done, claimed time.Duration
}

const remotePenalty = 2.0

func newLoadPlay(t *testing.T, seed uint64, pools ...string) *loadPlay {
	p := &loadPlay{simulation: newSimulation(t), rng: rand.New(rand.NewPCG(seed, 1)), work: map[*fakeRun]*workDone{},
		slowdown: map[[2]string]float64{}, speed: map[string]float64{}, claims: map[string]float64{}}
	var queues []*estate.Queue
	var list []*estate.Pool
	for _, name := range pools {
		list = append(list, &estate.Pool{Name: name, RejectsOverload: true})
		queues = append(queues, &estate.Queue{Name: name, Host: "h", PathPrefix: "/" + name + "/", Pool: name, MaxAttempts: 3, Stretch: 1.6, LatencyTarget: 600 * time.Millisecond})
	}
	p.estateCatalog = estate.NewCatalog(1, queues, list, estate.Limits{})
	return p
}

func (p *loadPlay) newOwner(learn bool) *testOwner {
	owner := p.simulation.newOwner()
	owner.opts.LearnPerformance = learn
	return owner
}

func (p *loadPlay) addWorker(id, pool, rack string, cores float64) *fakeWorker {
	f := p.simulation.addWorker(id, pool, cores)
	f.Labels = []string{"a", rack}
	f.duration = func(id workload.TaskID) (time.Duration, platform.RunEnd) {
		for _, r := range f.running {
			if r.task == id {
				if d := p.advance(f, r); d.done < p.spec(r).Estimate || p.spec(r).LongRunning {
					return time.Hour, platform.EndDone
				}
			}
		}
		return 0, platform.EndDone
	}
	f.percentOf = func(r *fakeRun) float64 {
		if p.spec(r).LongRunning {
			return 100
		}
		return math.Floor(min(100*float64(p.advance(f, r).claimed)/float64(p.spec(r).Estimate), 100))
	}
	f.tailOf = func(r *fakeRun) float64 {
		return 0.5 * float64(p.spec(r).TailTarget.Milliseconds()) / p.rate(f, r) * math.Exp(0.05*p.rng.NormFloat64())
	}
	return f
}

func (p *loadPlay) spec(r *fakeRun) *workload.Step {
	return &p.records[r.task.Job].spec.Steps[r.task.Step]
}

// rate returns the speed of a run relative to one alone on a normal worker.
func (p *loadPlay) rate(f *fakeWorker, r *fakeRun) float64 {
	s, rate := p.spec(r), 1.0
	if s.Rack != "" && s.Rack != f.Rack() {
		rate /= remotePenalty
	}
	for _, other := range f.running {
		if factor := p.slowdown[[2]string{s.Image, p.spec(other).Image}]; factor > 0 && other != r {
			rate /= math.Pow(factor, float64(other.throttlePercent)/100)
		}
	}
	if speed := p.speed[f.ID]; speed > 0 {
		rate *= speed
	}
	return rate * float64(r.throttlePercent) / 100
}

// advance adds the work of a run since the last call.
func (p *loadPlay) advance(f *fakeWorker, r *fakeRun) *workDone {
	d := p.work[r]
	if d == nil {
		d = &workDone{at: r.startedAt}
		p.work[r] = d
	}
	rate := p.rate(f, r)
	claimed := rate
	if claim := p.claims[f.ID]; claim > 0 {
		claimed = claim
	}
	d.done += time.Duration(rate * float64(p.now-d.at))
	d.claimed += time.Duration(claimed * float64(p.now-d.at))
	d.at = p.now
	return d
}

// submitJob submits a job of one step.
func (p *loadPlay) submitJob(owner *testOwner, pool string, step workload.Step) *workload.Job {
	p.jobs++
	job := &workload.Job{ID: fmt.Sprintf("%016x", p.jobs), Queue: pool, Pool: pool, Spec: "spec", Steps: []workload.Step{step}}
	p.submit(owner, job)
	return job
}

// batchStep returns a step of tasks of 0.7 to 1.8 s on 1.5 to 3.3 cores.
func (p *loadPlay) batchStep() workload.Step {
	return workload.Step{
		Count: 8, Estimate: time.Duration(700+p.rng.IntN(1100)) * time.Millisecond,
		Size: placement.Resources{Processors: 1.5 + 1.8*p.rng.Float64(), MemoryMB: 100},
	}
}

// startsOn counts the starts on workers that the filter accepts since a time.
func (p *loadPlay) startsOn(since time.Duration, accept func(*workload.Step, startRecord) bool) (matching, all int) {
	for _, j := range p.records {
		for id, starts := range j.starts {
			for _, s := range starts {
				if s.at < since {
					continue
				}
				all++
				if accept(&j.spec.Steps[id.Step], s) {
					matching++
				}
			}
		}
	}
	return matching, all
}

// turns plays four pools with 20 workers each in turns of 3 s, the pool in its
// turn with a load below its capacity, and returns the share of starts on slow
// workers.
func turns(t *testing.T, learn bool, prepare func(*loadPlay), d time.Duration) (p *loadPlay, owner *testOwner) {
	pools := []string{"p0", "p1", "p2", "p3"}
	p = newLoadPlay(t, 1, pools...)
	for _, pool := range pools {
		for i := range 20 {
			p.addWorker(fmt.Sprintf("%s-w%02d", pool, i), pool, fmt.Sprintf("r%d", i%4), 16)
		}
	}
	prepare(p)
	owner = p.newOwner(learn)
	for p.now < d {
		p.submitJob(owner, pools[int(p.now/(3*time.Second))%len(pools)], p.batchStep())
		p.run(125*time.Millisecond, owner)
	}
	p.check()
	return p, owner
}

func slowWorkers(p *loadPlay) {
	for _, id := range []string{"p0-w03", "p1-w00", "p2-w01", "p3-w05"} {
		p.speed[id] = 0.125
	}
	p.claims["p2-w01"] = 1 // it lies about its progress
}

// TestSlowWorkersLoseTheirShareWhilePoolsTakeTurns guards against tasks that wait
// for workers at an eighth of their speed while others are free.
func TestSlowWorkersLoseTheirShareWhilePoolsTakeTurns(t *testing.T) {
	var share [2]float64
	for i, learn := range []bool{false, true} {
		p, owner := turns(t, learn, slowWorkers, 36*time.Second)
		slow, all := p.startsOn(12*time.Second, func(_ *workload.Step, s startRecord) bool { return p.speed[s.worker] > 0 })
		share[i] = float64(slow) / float64(all)
		if learn {
			for id := range p.speed {
				if x := owner.speeds.Estimate(id, p.now); x.Speed > 0.5 && owner.speeds.SlowFactor(id, p.now) < 2 && x.Trials == 0 {
					t.Errorf("%s is not found slow: %+v", id, x)
				}
			}
			if n := owner.Stats().SlowWorkers; n != 4 {
				t.Errorf("%d workers are slow, want 4", n)
			}
		}
	}
	if share[1] > share[0]/3 {
		t.Errorf("%.3f of the starts are on slow workers, %.3f without learning", share[1], share[0])
	}
}

// Runs whose ends are listed late seem to have taken long.
func TestPollsWithoutAnAnswerMakeNoWorkerSlow(t *testing.T) {
	_, owner := turns(t, true, func(p *loadPlay) {
		p.injectFault = func(o Order) orderFault {
			_, poll := o.(*PollOrder)
			return orderFault{lost: poll && p.rng.IntN(8) == 0}
		}
	}, 24*time.Second)
	for id := range owner.workers {
		if x := owner.speeds.Estimate(id, owner.sim.now); x.Class == workerspeed.Slow || x.Trials > 0 {
			t.Errorf("%s is found slow: %+v", id, x)
		}
	}
}

// TestWantedRackMakesNoWorkerSlow guards against workers that count as slow because
// the tasks there are far from their data.
func TestWantedRackMakesNoWorkerSlow(t *testing.T) {
	p := newLoadPlay(t, 2, "p0")
	for i := range 20 {
		p.addWorker(fmt.Sprintf("w%02d", i), "p0", fmt.Sprintf("r%d", i%4), 8)
	}
	owner := p.newOwner(true)
	for p.now < 30*time.Second {
		step := p.batchStep()
		if p.rng.Float64() < 0.35 {
			step.Rack = "r1"
		}
		p.submitJob(owner, "p0", step)
		p.run(170*time.Millisecond, owner)
		if n := owner.Stats().SlowWorkers; n > 0 {
			t.Fatalf("%d workers are slow at %v", n, p.now)
		}
	}
	if remote, all := p.startsOn(0, func(s *workload.Step, r startRecord) bool {
		return s.Rack != "" && p.workers[r.worker].Rack() != s.Rack
	}); remote < all/20 {
		t.Fatalf("%d of %d starts are far from their data: the load does not test it", remote, all)
	}
	if math.Abs(owner.remote-remotePenalty) > 0.4 {
		t.Errorf("a task far from its data takes %.2f times as long, want %.2f", owner.remote, remotePenalty)
	}
}

// imagePlay plays one pool with free capacity and tasks of four images, of which b
// slows a, and returns the share of starts of one beside the other.
func imagePlay(t *testing.T, learn bool) (p *loadPlay, owner *testOwner, share float64) {
	p = newLoadPlay(t, 3, "p0")
	for i := range 32 {
		p.addWorker(fmt.Sprintf("w%02d", i), "p0", "r0", 8)
	}
	p.slowdown[[2]string{"a", "b"}] = 1.8
	owner = p.newOwner(learn)
	beside, starts := 0, 0
	for _, f := range p.workers {
		f.started = func(id workload.TaskID) {
			image := p.records[id.Job].spec.Steps[id.Step].Image
			if p.now < 15*time.Second || (image != "a" && image != "b") {
				return
			}
			starts++
			if slices.ContainsFunc(f.runs(), func(r *fakeRun) bool {
				other := p.spec(r).Image
				return other != image && (other == "a" || other == "b")
			}) {
				beside++
			}
		}
	}
	for p.now < 40*time.Second {
		step := p.batchStep()
		step.Image = []string{"a", "b", "c", "d"}[p.rng.IntN(4)]
		p.submitJob(owner, "p0", step)
		p.run(160*time.Millisecond, owner)
	}
	p.check()
	return p, owner, float64(beside) / float64(starts)
}

// TestImagesThatSlowEachOtherArePlacedApart guards against a known pair that still
// shares workers while others have free capacity.
func TestImagesThatSlowEachOtherArePlacedApart(t *testing.T) {
	_, _, off := imagePlay(t, false)
	_, owner, on := imagePlay(t, true)
	if on > off/2 {
		t.Errorf("%.3f of the starts are beside a known neighbour, %.3f without learning; strongest: %s", on, off, owner.strongestPairs())
	}
}

// TestOnlyTheCauseIsThrottled guards against a harmless filler that is throttled
// though another one is known to be the cause, and against a serving task that stays
// over its target.
func TestOnlyTheCauseIsThrottled(t *testing.T) {
	p := newLoadPlay(t, 4, "p0")
	for i := range 8 {
		p.addWorker(fmt.Sprintf("w%d", i), "p0", "r0", 8)
	}
	p.slowdown[[2]string{"web", "noisy"}] = 3
	owner := p.newOwner(true)
	filler := func(image string, count int) workload.Step {
		return workload.Step{Count: count, Size: placement.Resources{Processors: 4, MemoryMB: 100}, Filler: true, LongRunning: true, Image: image, Estimate: time.Hour, MaxPerWorker: 1}
	}
	p.submitJob(owner, "p0", workload.Step{Count: 8, Size: placement.Resources{Processors: 2, MemoryMB: 100}, LongRunning: true, Image: "web",
		TailTarget: 100 * time.Millisecond, Estimate: time.Second, MaxPerWorker: 1})
	p.run(2*time.Second, owner)
	p.submitJob(owner, "p0", filler("quiet", 8))
	p.submitJob(owner, "p0", filler("noisy", 5))
	over, longest := map[string]time.Duration{}, time.Duration(0)
	quiet, total := 0, 0
	for p.now < 40*time.Second {
		p.run(50*time.Millisecond, owner)
		for id, f := range p.workers {
			for _, r := range f.runs() {
				switch s := p.spec(r); {
				case s.TailTarget > 0 && 0.5/p.rate(f, r) > 1:
					over[id] += 50 * time.Millisecond
					longest = max(longest, over[id])
				case s.TailTarget > 0:
					over[id] = 0
				case s.Image == "quiet" && p.now > 15*time.Second:
					total++
					if r.throttlePercent < 100 {
						quiet++
					}
				}
			}
		}
	}
	if longest > 3*time.Second {
		t.Errorf("a serving task was over its target for %v, the platform allows 4 s, less a margin of 1 s", longest)
	}
	if total == 0 || float64(quiet) > 0.1*float64(total) {
		t.Errorf("the harmless filler was throttled %d of %d times; stats %+v", quiet, total, owner.Stats())
	}
	if owner.Stats().ThrottlesKnownCause == 0 {
		t.Errorf("the cause was never known: %s", owner.strongestPairs())
	}
}

// TestFillersOfUnknownCauseAreStoppedInTime guards against a serving task that is
// over its target for long because its one filler has no known effect, or the
// known cause is not the real one.
func TestFillersOfUnknownCauseAreStoppedInTime(t *testing.T) {
	p := newLoadPlay(t, 5, "p0")
	f := p.addWorker("w0", "p0", "r0", 8)
	f.tailOf = func(*fakeRun) float64 {
		most := 0
		for _, r := range f.running {
			if p.spec(r).Filler {
				most = max(most, r.throttlePercent)
			}
		}
		return 90 + 100*min(float64(most), 5) // any share of it is too much
	}
	owner := p.newOwner(true)
	p.submitJob(owner, "p0", workload.Step{Count: 1, Size: placement.Resources{Processors: 2}, LongRunning: true, Image: "web", TailTarget: 100 * time.Millisecond, Estimate: time.Second})
	p.run(2*time.Second, owner)
	p.submitJob(owner, "p0", workload.Step{Count: 1, Size: placement.Resources{Processors: 4}, Filler: true, LongRunning: true, Image: "noisy", Estimate: time.Hour})
	p.run(100*time.Millisecond, owner)
	for began := p.now; f.tailOf(nil) > 100; {
		p.run(50*time.Millisecond, owner)
		if p.now-began > 3*time.Second {
			t.Fatalf("the tail is %.0f ms after 3 s, the target is 100 ms", f.tailOf(nil))
		}
	}
	if owner.Stats().ThrottlesOverTarget == 0 {
		t.Error("the filler was not stopped for the time over the target")
	}
}

// TestSuccessorLearnsSlowWorkersAnew guards against a change of owner, with the
// evidence half learned, after which a slow worker keeps its share.
func TestSuccessorLearnsSlowWorkersAnew(t *testing.T) {
	p, _ := turns(t, true, slowWorkers, 2*time.Second)
	owner := p.newOwner(true)
	pools := []string{"p0", "p1", "p2", "p3"}
	for began := p.now; p.now < began+24*time.Second; {
		p.submitJob(owner, pools[int(p.now/(3*time.Second))%len(pools)], p.batchStep())
		p.run(125*time.Millisecond, owner)
	}
	p.check()
	if n := owner.Stats().SlowWorkers; n != 4 {
		t.Errorf("%d workers are slow, want 4", n)
	}
}

// TestLearningChangesNothingWithoutImagesAndSlowWorkers compares all starts with
// and without learning where there is nothing to learn.
func TestLearningChangesNothingWithoutImagesAndSlowWorkers(t *testing.T) {
	var starts [2]map[workload.TaskID][]startRecord
	for i, learn := range []bool{false, true} {
		p, _ := turns(t, learn, func(*loadPlay) {}, 15*time.Second)
		starts[i] = map[workload.TaskID][]startRecord{}
		for _, j := range p.records {
			maps.Copy(starts[i], j.starts)
		}
	}
	if len(starts[0]) < 500 {
		t.Fatalf("only %d tasks were started", len(starts[0]))
	}
	for id, want := range starts[0] {
		if !slices.EqualFunc(want, starts[1][id], func(a, b startRecord) bool { return a.run == b.run && a.worker == b.worker && a.at == b.at }) {
			t.Errorf("%v starts as %v with learning, as %v without", id, starts[1][id], want)
		}
	}
}

// TestExpectedEndDecidesWhoGetsASlowWorker guards against steps on the critical path
// on slow workers, against others that end too late there, and against slow workers
// that get no work at all.
func TestExpectedEndDecidesWhoGetsASlowWorker(t *testing.T) {
	for _, c := range []struct {
		name      string
		speed     float64
		estimates []time.Duration // of parallel steps
		want      []string        // the workers of their tasks
	}{
		{"critical, in time on the slow one", 0.4, []time.Duration{400 * time.Millisecond}, []string{"w1"}},
		{"the short one is not critical, and in time", 0.4, []time.Duration{time.Second, 3 * time.Second}, []string{"w0", "w1"}},
		{"the short one would be too late", 0.1, []time.Duration{time.Second, 3 * time.Second}, []string{"w1", "w1"}},
	} {
		p := newLoadPlay(t, 1, "p0")
		for i := range 4 {
			p.addWorker(fmt.Sprintf("w%d", i), "p0", "r0", 8)
		}
		owner := p.newOwner(true)
		for i := range 40 {
			owner.speeds.Observe(workerspeed.Observation{Worker: fmt.Sprintf("w%d", i%4), Group: "g", Rate: []float64{c.speed, 1, 1, 1}[i%4], Weight: 1}, 0)
		}
		job := jobOf(1, 1, 2)
		job.Queue, job.Pool, job.Steps = "p0", "p0", nil
		for _, estimate := range c.estimates {
			job.Steps = append(job.Steps, workload.Step{Count: 1, Estimate: estimate, Size: placement.Resources{Processors: 2}})
		}
		p.submit(owner, job)
		p.run(100*time.Millisecond, owner)
		for i, want := range c.want {
			if starts := p.records[job.ID].starts[workload.TaskID{Job: job.ID, Step: i}]; len(starts) != 1 || starts[0].worker != want {
				t.Errorf("%s: step %d starts as %+v, want on %s", c.name, i, starts, want)
			}
		}
	}
}
