// Package soak plays egretpitch-node as separate processes against a stand-in
// of the users' platform, injects faults from outside, and holds what callers
// and workers see against the platform's rules while it runs.
//
//	go test ./test/soak                                   the seeds of testdata/seeds.txt, a short run each
//	EGRETPITCH_SOAK_SEEDS=50 go test -timeout 1h ./test/soak   fresh seeds besides
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/egretpitch/egretpitch/internal/standin"
)

const (
	// faultPeriod is how long faults come, and calmFor how long after it every
	// accepted job has to be over.
	faultPeriod     = 10 * time.Second
	recoveryTimeout = 25 * time.Second
	// meanJobInterval is the mean time between two jobs.
	meanJobInterval = 60 * time.Millisecond
)

// binary is the program that is played.
var binary string

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binary = filepath.Join(dir, "egretpitch-node")
	build := exec.Command("go", "build", "-o", binary, "../../cmd/egretpitch-node")
	build.Stdout, build.Stderr = os.Stdout, os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build:", err)
		return 1
	}
	return m.Run()
}

// TestSoak plays the kept seeds, and fresh ones if the environment asks for
// some.
func TestSoak(t *testing.T) {
	seeds := regressionSeeds(t)
	if n, err := strconv.Atoi(os.Getenv("EGRETPITCH_SOAK_SEEDS")); err == nil {
		first := uint64(time.Now().UnixNano()) % 1e9
		for i := range n {
			seeds = append(seeds, first+uint64(i))
		}
	}
	for _, seed := range seeds {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			play(t, seed)
		})
	}
}

// regressionSeeds reads the seeds that are played each time: the number is the first
// word of a line, the rest says why it is kept.
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

// play runs one seed.
func play(t *testing.T, seed uint64) {
	w := newWorld(t, seed)
	c := newCallers(w)
	ctx, cancel := context.WithTimeout(context.Background(), faultPeriod+recoveryTimeout)
	defer cancel()
	time.Sleep(time.Second) // nodes start and find an owner
	var jobs, injectors sync.WaitGroup
	faultCtx, stopFaults := context.WithTimeout(ctx, faultPeriod)
	defer stopFaults()
	for i := range 3 {
		injectors.Go(func() { w.injectFaults(faultCtx, rand.New(rand.NewPCG(seed, uint64(100+i)))) })
	}
	rng := rand.New(rand.NewPCG(seed, 1))
	for n := 0; faultCtx.Err() == nil; n++ {
		jobRNG := rand.New(rand.NewPCG(seed, uint64(1000+n)))
		jobs.Go(func() { c.runJob(ctx, jobID(seed, n), jobRNG) })
		time.Sleep(time.Duration(rng.ExpFloat64() * float64(meanJobInterval)))
	}
	injectors.Wait()
	jobs.Wait()
	if violations := w.checker.finish(); len(violations) > 0 {
		t.Errorf("seed %d: %d faults, the first: %s", seed, len(violations), strings.Join(violations[:min(5, len(violations))], "\n"))
	}
	if count := w.checker.completed(); count == 0 {
		t.Errorf("seed %d: no job was completed", seed)
	}
}

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

// injectFaults injects faults one after the other; several of these overlap. Each
// fault is taken back at its end.
func (w *world) injectFaults(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		delay := time.Duration(100+rng.IntN(600)) * time.Millisecond
		duration := time.Duration(100+rng.IntN(2500)) * time.Millisecond
		kind := rng.IntN(10)
		n := w.nodes[rng.IntN(nodes)]
		time.Sleep(delay)
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
			_ = w.platform.Configure() // the table service may be made to fail just now
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
	}
}

// restart ends a node as the platform does, and starts it again.
func (w *world) restart(n *node) {
	n.signal(syscall.SIGTERM)
	n.mu.Lock()
	ended := n.ended
	n.mu.Unlock()
	select {
	case <-ended:
	case <-time.After(3 * time.Second):
		n.kill()
	}
	n.start(w.t)
}

// injectStoreFault lets the table service misbehave for a time.
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
