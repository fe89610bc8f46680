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
	// troubleFor is how long faults come, and calmFor how long after it every
	// accepted job has to be over.
	troubleFor = 10 * time.Second
	calmFor    = 25 * time.Second
	// jobEvery is the mean time between two jobs.
	jobEvery = 60 * time.Millisecond
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
	seeds := keptSeeds(t)
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

// keptSeeds reads the seeds that are played each time: the number is the first
// word of a line, the rest says why it is kept.
func keptSeeds(t *testing.T) []uint64 {
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
	ctx, cancel := context.WithTimeout(context.Background(), troubleFor+calmFor)
	defer cancel()
	time.Sleep(time.Second) // nodes start and find an owner
	var jobs, troubles sync.WaitGroup
	trouble, calm := context.WithTimeout(ctx, troubleFor)
	defer calm()
	for i := range 3 {
		troubles.Go(func() { w.trouble(trouble, rand.New(rand.NewPCG(seed, uint64(100+i)))) })
	}
	rng := rand.New(rand.NewPCG(seed, 1))
	for n := 0; trouble.Err() == nil; n++ {
		own := rand.New(rand.NewPCG(seed, uint64(1000+n)))
		jobs.Go(func() { c.live(ctx, jobID(seed, n), own) })
		time.Sleep(time.Duration(rng.ExpFloat64() * float64(jobEvery)))
	}
	troubles.Wait()
	jobs.Wait()
	if found := w.checker.finish(); len(found) > 0 {
		t.Errorf("seed %d: %d faults, the first: %s", seed, len(found), strings.Join(found[:min(5, len(found))], "\n"))
	}
	if done := w.checker.completed(); done == 0 {
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

// trouble injects faults one after the other; several of these overlap. Each
// fault is taken back at its end.
func (w *world) trouble(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		pause := time.Duration(100+rng.IntN(600)) * time.Millisecond
		lasts := time.Duration(100+rng.IntN(2500)) * time.Millisecond
		kind := rng.IntN(10)
		n := w.nodes[rng.IntN(nodes)]
		time.Sleep(pause)
		switch kind {
		case 0:
			n.kill()
			time.Sleep(lasts / 4)
			n.start(w.t)
		case 1:
			w.restart(n)
		case 2, 3:
			n.signal(syscall.SIGSTOP)
			time.Sleep(lasts)
			n.signal(syscall.SIGCONT)
		case 4:
			n.signal(syscall.SIGHUP)
			_ = w.platform.Configure() // the table service may be made to fail just now
		case 5:
			w.platform.Crash(rng.IntN(workersPerPool), lasts)
		case 6:
			w.store(rng, lasts)
		default:
			way := w.anyWay(rng)
			way.set(fault(1 + rng.IntN(int(faults)-1)))
			time.Sleep(lasts)
			way.set(pass)
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

// store lets the table service misbehave for a time.
func (w *world) store(rng *rand.Rand, lasts time.Duration) {
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
	time.Sleep(lasts)
	rows.SetFaults(standin.Faults{})
}
