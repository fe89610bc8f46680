package soak

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/egretpitch/egretpitch/internal/placement"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/workload"
	"github.com/egretpitch/egretpitch/platform/standin"
)

// BenchmarkOwner measures the processor time of the owner of the control work,
// in cores, while 120 jobs of 8 tasks a second are submitted to a pool of 150
// workers:
//
//	go test ./test/soak -run xxx -bench Owner -benchtime 1x
func BenchmarkOwner(b *testing.B) {
	const workers, perSecond, seconds = 150, 120, 10
	for b.Loop() {
		p := standin.New(standin.Estate{
			Pools:  []standin.Pool{{Name: "pool", Workers: workers, Capacity: placement.Resources{Processors: 64, MemoryMB: 131072}}},
			Queues: []standin.Queue{{Name: "q", Host: queueHost, PathPrefix: queuePrefix, Pool: "pool", MaxAttempts: maxAttempts}},
		})
		p.Size = func(t workload.TaskID) placement.Resources {
			return placement.Resources{Processors: float64(2 + int(t.Job[15])%11), MemoryMB: 1024}
		}
		p.RunOutcome = func(workload.TaskID) (time.Duration, platform.RunEnd) {
			return 800 * time.Millisecond, platform.EndDone
		}
		addresses, err := p.Start()
		if err != nil {
			b.Fatal(err)
		}
		w := &world{t: b, platform: p, checker: newChecker()}
		n := &node{name: "front-0", storeProxy: newProxy(b, addresses.Store), fleetProxy: newProxy(b, addresses.Fleet)}
		n.configure(b, b.TempDir())
		w.nodes = []*node{n}
		n.start(b)
		c := newCallers(w)
		time.Sleep(time.Second)
		before := processorTime(b, n.cmd.Process.Pid)
		rng := rand.New(rand.NewPCG(1, 1))
		for i := range perSecond * seconds {
			cores := 2 + i%16%11
			body := fmt.Sprintf(`{"task_spec":"soak","steps":[{"count":8,"cpu":%d,"mem_mb":1024,"estimated_ms":800}]}`, 1000*cores)
			go c.call("POST", n.callerAddress, fmt.Sprintf("%015x%x", i, i%16), []byte(body))
			time.Sleep(time.Duration(rng.ExpFloat64() * float64(time.Second) / perSecond))
		}
		used := processorTime(b, n.cmd.Process.Pid) - before
		b.ReportMetric(used.Seconds()/seconds, "cores")
		n.signal(15)
		<-n.ended
		p.Stop()
	}
}

// processorTime returns the processor time that a process has used, in user mode
// and in the kernel.
func processorTime(b *testing.B, pid int) time.Duration {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		b.Fatal(err)
	}
	const ticksPerSecond = 100 // USER_HZ on Linux
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')'):]))
	ticks := 0
	for _, f := range fields[12:14] { // utime and stime
		n, err := strconv.Atoi(f)
		if err != nil {
			b.Fatal(err)
		}
		ticks += n
	}
	return time.Duration(ticks) * time.Second / ticksPerSecond
}
