// Package soak is a randomized fault-injection test. It runs egretpitch-node as
// separate processes against a stand-in of the users' platform, injects process,
// network and storage faults from outside, and checks what callers and workers
// observe against the platform's rules.
//
//	go test ./test/soak                                        runs the seeds of testdata/seeds.txt
//	EGRETPITCH_SOAK_SEEDS=50 go test -timeout 1h ./test/soak   runs 50 new seeds as well,
//	                                                           from EGRETPITCH_SOAK_FIRST on if it is set
//
// EGRETPITCH_SOAK_NODES sets the number of processes of a run.
//
// The settings and logs of the processes go to a directory of each test below
// EGRETPITCH_SOAK_LOGS if it is set, and to a temporary one otherwise.
package soak

import (
	"cmp"
	"context"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/egretpitch/egretpitch/internal/standin"
	"github.com/egretpitch/egretpitch/internal/testkit"
)

const (
	// faultPeriod is how long faults are injected and jobs submitted.
	// recoveryTimeout is the time after it within which every accepted job has
	// to end.
	faultPeriod     = 10 * time.Second
	recoveryTimeout = 25 * time.Second
	// longJobs is the number of long-running jobs, and firstLongJob the number of
	// the first.
	longJobs     = 3
	firstLongJob = 1 << 20
)

// binary is the path of the egretpitch-node that TestMain builds.
var binary string

func TestMain(m *testing.M) { os.Exit(testkit.RunTests(m, &binary, testkit.BuildNode)) }

// TestSoak injects faults of all kinds. It runs the regression seeds, and as many
// new seeds as the variable EGRETPITCH_SOAK_SEEDS says.
func TestSoak(t *testing.T) { playSeeds(t, faultPeriod, 60*time.Millisecond, (*world).injectFaults) }

// TestSoakPlannedWork runs the same seeds with planned work beside lost workers
// and killed owners. Fewer jobs leave capacity for lost tasks.
func TestSoakPlannedWork(t *testing.T) {
	playSeeds(t, plannedPeriod, 150*time.Millisecond, (*world).injectPlannedWork)
}

// injector injects faults one after the other until the context is done.
type injector func(*world, context.Context, *rand.Rand)

func playSeeds(t *testing.T, period, meanJobInterval time.Duration, inject injector) {
	seeds := regressionSeeds(t)
	first := cmp.Or(numberFrom("EGRETPITCH_SOAK_FIRST"), int(time.Now().UnixNano()%1e9))
	for i := range numberFrom("EGRETPITCH_SOAK_SEEDS") {
		seeds = append(seeds, uint64(first+i))
	}
	t.Parallel()
	for _, seed := range seeds {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			play(t, seed, period, meanJobInterval, inject)
		})
	}
}

// numberFrom returns the number in an environment variable, 0 for none.
func numberFrom(variable string) int {
	n, _ := strconv.Atoi(os.Getenv(variable))
	return n
}

// regressionSeeds reads the seeds that every run of the test includes. Each line
// of the file starts with a seed; the rest is the reason why it is kept.
func regressionSeeds(t *testing.T) []uint64 {
	data, err := os.ReadFile("testdata/seeds.txt")
	if err != nil {
		t.Fatal(err)
	}
	var seeds []uint64
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) == 0 || fields[0] == "#" {
			continue
		}
		seed, err := strconv.ParseUint(fields[0], 10, 64)
		if err != nil {
			t.Fatalf("seeds.txt: %v", err)
		}
		seeds = append(seeds, seed)
	}
	return seeds
}

// play runs one seed: it injects faults while jobs are submitted, waits until the
// jobs end, and reports violations. The seed fixes the random draws but not the
// timing of the processes, so a run is not fully reproducible.
func play(t *testing.T, seed uint64, period, meanJobInterval time.Duration, inject injector) {
	w := newWorld(t, seed)
	c := newCallers(w)
	ctx, cancel := context.WithTimeout(context.Background(), period+recoveryTimeout)
	defer cancel()
	time.Sleep(time.Second) // the nodes start and one acquires the control work
	var jobs, injectors sync.WaitGroup
	faultCtx, stopFaults := context.WithTimeout(ctx, period)
	defer stopFaults()
	endLongJobs := make(chan struct{})
	for i := range longJobs {
		jobRNG := rand.New(rand.NewPCG(seed, uint64(500+i)))
		jobs.Go(func() { c.runLongJob(ctx, endLongJobs, jobID(seed, firstLongJob+i), 1+i, jobRNG) })
	}
	go func() {
		w.watchLongRunning(faultCtx)
		injectors.Wait()
		close(endLongJobs)
	}()
	for i := range max(3, len(w.nodes)/4) {
		injectors.Go(func() { inject(w, faultCtx, rand.New(rand.NewPCG(seed, uint64(100+i)))) })
	}
	c.withdrawKey()
	jobs.Go(func() { c.lowerQuotas(ctx, period/3) })
	rng := rand.New(rand.NewPCG(seed, 1))
	for n := 0; faultCtx.Err() == nil; n++ {
		if n%wrongKeyInterval == 0 {
			keyRNG := rand.New(rand.NewPCG(seed, uint64(firstWrongKeyJob+n)))
			jobs.Go(func() { c.submitWithWrongKey(jobID(seed, firstWrongKeyJob+n), keyRNG) })
		}
		jobRNG := rand.New(rand.NewPCG(seed, uint64(1000+n)))
		jobs.Go(func() { c.runJob(ctx, jobID(seed, n), jobRNG) })
		time.Sleep(time.Duration(rng.ExpFloat64() * float64(meanJobInterval)))
	}
	injectors.Wait()
	for _, n := range w.nodes {
		n.start(t) // a signal ends a process that has not begun to handle it
	}
	jobs.Wait()
	w.checkLogsForKeys()
	violations := w.checker.finish()
	t.Logf("seed %d: connections that ended with a request: %v; longest time of a long-running task without a run: %v; starts that reached a quota, by team: %v",
		seed, w.checker.closed, w.checker.longestIdle, w.checker.startsAtQuota)
	if len(violations) > 0 {
		t.Errorf("seed %d: %d violations, the first: %s", seed, len(violations), strings.Join(violations[:min(5, len(violations))], "\n"))
	}
	if w.checker.unauthorized == 0 {
		t.Errorf("seed %d: no request with a wrong key was answered 401", seed)
	}
	if reached := w.checker.startsAtQuota; reached == [2]int{} {
		t.Errorf("seed %d: no team reached its quota", seed)
	}
	if count := w.checker.completed(); count == 0 {
		t.Errorf("seed %d: no job was reported as completed", seed)
	}
}

// completed returns the number of jobs last reported as completed.
func (c *checker) completed() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, j := range c.jobs {
		if j.state == "completed" {
			n++
		}
	}
	return n
}

// injectFaults injects random faults one after the other until ctx is done, and
// removes each at its end. play runs several at a time, so that faults overlap.
func (w *world) injectFaults(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		delay := time.Duration(100+rng.IntN(600)) * time.Millisecond
		duration := time.Duration(100+rng.IntN(2500)) * time.Millisecond
		kind := rng.IntN(10)
		n := w.nodes[rng.IntN(len(w.nodes))]
		time.Sleep(delay)
		end := func() {}
		if kind != 1 && kind != 4 {
			end = w.beginFault()
		}
		switch kind {
		case 0:
			n.kill()
			time.Sleep(duration / 4)
			n.start(w.t)
		case 1:
			w.restart(n)
		case 2, 3:
			n.signal(syscall.SIGSTOP)
			time.Sleep(duration)
			n.signal(syscall.SIGCONT)
		case 4:
			n.signal(syscall.SIGHUP)
			_ = w.platform.Configure() // may fail because of another injector's store fault
		case 5:
			w.platform.Crash(rng.IntN(workersPerPool), duration)
		case 6:
			w.injectStoreFault(rng, duration)
		default:
			p := w.anyProxy(rng)
			p.set(fault(1 + rng.IntN(int(faultCount)-1)))
			time.Sleep(duration)
			p.set(pass)
		}
		end()
	}
}

// restart stops a node with SIGTERM, as the platform does, kills it if it has not
// ended after 3 s, and starts it again.
func (w *world) restart(n *node) {
	n.signal(syscall.SIGTERM)
	n.mu.Lock()
	ended := n.ended
	n.mu.Unlock()
	select {
	case <-ended:
	case <-time.After(3 * time.Second):
		defer w.beginFault()()
		n.kill()
	}
	n.start(w.t)
}

// injectStoreFault makes the table service unavailable or slow, loses its answers
// to commits, or drops its history of changes. It removes the fault after
// duration; the history stays dropped.
func (w *world) injectStoreFault(rng *rand.Rand, duration time.Duration) {
	rows := w.platform.Rows
	switch rng.IntN(4) {
	case 0:
		rows.SetFaults(standin.Faults{Down: true})
	case 1:
		rows.SetFaults(standin.Faults{Latency: 250 * time.Millisecond})
	case 2:
		rows.SetFaults(standin.Faults{LoseAnswers: 1 + rng.IntN(10)})
	case 3:
		rows.Forget()
	}
	time.Sleep(duration)
	rows.SetFaults(standin.Faults{})
}
