package scheduler

import (
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/egretpitch/egretpitch/internal/event"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/workload"
)

// TestObservedProgressAndTailsAreReported guards against progress that includes
// start-up, and against tails that are counted while a serving task starts.
func TestObservedProgressAndTailsAreReported(t *testing.T) {
	core, logs := observer.New(zapcore.InfoLevel)
	sim := newSimulation(t)
	f := sim.addWorker("w1", "p", 8)
	f.tailLatency = 80
	f.duration = func(id workload.TaskID) (time.Duration, platform.RunEnd) {
		if id.Step == 0 {
			return time.Hour, platform.EndDone
		}
		return 4 * time.Second, platform.EndDone
	}
	owner := sim.newOwner()
	owner.opts.LearnPerformance, owner.opts.Log = true, zap.New(core)
	job := jobOf(1, 1, 2)
	job.Steps[0].LongRunning, job.Steps[0].TailTarget, job.Steps[0].Image = true, 100*time.Millisecond, "web"
	batch := jobOf(2, 1, 2)
	batch.Steps[0].Estimate, batch.Steps[0].Image = 2*time.Second, "batch" // takes twice as long
	batch.Steps = append([]workload.Step{{Count: 1, After: nil, Size: batch.Steps[0].Size, LongRunning: true}}, batch.Steps[0])
	sim.submit(owner, job)
	sim.submit(owner, batch)
	sim.run(5*time.Second, owner)
	progress, tail := 0.0, 0.0
	for _, line := range logs.All() {
		fields := line.ContextMap()
		switch {
		case fields["event"] == int64(event.ImageObserved.Number) && fields["image"] == "batch":
			progress, _ = fields["progress"].(float64)
		case fields["event"] == int64(event.ImageObserved.Number) && fields["image"] == "web":
			tail, _ = fields["tail_of_target"].(float64)
			if others := fields["others"].(string); !strings.HasPrefix(others, "1-3 t0.80/") {
				t.Errorf("tails by other runs are %q, want those beside one to three", others)
			}
		}
	}
	if progress < 0.48 || progress > 0.52 || tail < 0.79 || tail > 0.81 {
		t.Errorf("progress is %.2f, want 0.5; the tail is %.2f of its target, want 0.8", progress, tail)
	}
}
