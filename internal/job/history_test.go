package job

import (
	"context"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/egretpitch/egretpitch/internal/adminapi"
	"github.com/egretpitch/egretpitch/internal/host"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/standin"
)

// faultyTable can be unavailable, lose commits or lose their answers. The test
// itself accesses the rows without faults through Table.
type faultyTable struct {
	*standin.Table
	down  bool
	fault string
}

func (f *faultyTable) Commit(ctx context.Context, t platform.Txn) (int64, error) {
	fault := f.fault
	f.fault = ""
	if f.down {
		return 0, platform.ErrUnavailable
	}
	if fault == "lost" {
		return 0, platform.ErrUnknown
	}
	version, err := f.Table.Commit(ctx, t)
	if fault == "answer lost" {
		f.down = true // so that reading the outcome back fails too
		return 0, platform.ErrUnknown
	}
	return version, err
}

func (f *faultyTable) Scan(ctx context.Context, prefix string, after int64) ([]platform.Row, error) {
	if f.down {
		return nil, platform.ErrUnavailable
	}
	return f.Table.Scan(ctx, prefix, after)
}

func (f *faultyTable) Read(ctx context.Context, keys ...string) ([]platform.Row, error) {
	if f.down {
		return nil, platform.ErrUnavailable
	}
	return f.Table.Read(ctx, keys...)
}

func newSimulation(t *rapid.T) *simulation {
	sim := &simulation{
		t: t, table: &faultyTable{Table: standin.NewTable()}, specs: map[string]adminapi.JobSpec{},
		runs: map[string]int{}, cancelEpoch: map[string]uint64{}, placed: map[string]uint64{},
	}
	sim.workers = &fakeWorkers{
		sim: sim, tasks: map[string]*platform.TaskUsage{}, ends: map[string]time.Time{}, highestEpoch: map[string]uint64{},
	}
	for i := range 3 {
		sim.setPhase(fmt.Sprintf("kano-%d", i), host.Serving, nil)
	}
	sim.takeOver()
	return sim
}

// submit submits up to four jobs, some of which exceed the size of every
// worker.
func (sim *simulation) submit() {
	var specs []adminapi.JobSpec
	for range rapid.IntRange(1, 4).Draw(sim.t, "jobs") {
		spec := adminapi.JobSpec{
			ID: fmt.Sprintf("job-%d", len(sim.ids)), Pool: testPool, Team: "sales", Command: "fold",
			Priority:   rapid.SampledFrom([]int{10, 90}).Draw(sim.t, "priority"),
			Processors: rapid.SampledFrom([]int{1, 4, 8, 100}).Draw(sim.t, "processors"),
			Idempotent: rapid.Bool().Draw(sim.t, "idempotent"), Checkpoints: rapid.Bool().Draw(sim.t, "checkpoints"),
		}
		sim.ids = append(sim.ids, spec.ID)
		sim.specs[spec.ID] = spec
		specs = append(specs, spec)
	}
	if _, err := Submit(context.Background(), sim.table.Table, specs, time.Now()); err != nil {
		sim.t.Fatal(err)
	}
}

// cancel cancels up to the last four jobs.
func (sim *simulation) cancel() {
	if len(sim.ids) == 0 {
		return
	}
	ids := sim.ids[rapid.IntRange(max(0, len(sim.ids)-4), len(sim.ids)-1).Draw(sim.t, "from"):]
	before := sim.rows()
	if _, err := Cancel(context.Background(), sim.table.Table, ids); err != nil {
		sim.t.Fatal(err)
	}
	for _, id := range ids {
		if _, ok := sim.cancelEpoch[id]; !ok {
			sim.cancelEpoch[id] = before[id].Epoch
		}
	}
}

// randomAction performs one randomly chosen action or injects a fault.
func (sim *simulation) randomAction() {
	o := sim.owners[rapid.IntRange(max(0, len(sim.owners)-3), len(sim.owners)-1).Draw(sim.t, "owner")]
	hostName := fmt.Sprintf("kano-%d", rapid.IntRange(0, 2).Draw(sim.t, "host"))
	switch rapid.SampledFrom([]string{
		"step", "call", "call", "call", "round", "round", "round", "round", "submit", "submit", "cancel", "take over",
		"pause", "pause", "drain", "finish", "finish", "return", "time", "time", "fault", "fault", "table", "workers", "late", "late",
		"succeed", "succeed", "lose", "forget",
	}).Draw(sim.t, "action") {
	case "step":
		sim.step(o, rapid.Bool().Draw(sim.t, "reads"))
	case "call":
		if len(o.calls) > 0 {
			sim.call(o, rapid.IntRange(0, len(o.calls)-1).Draw(sim.t, "call"))
		}
	case "round":
		sim.round(o)
	case "submit":
		sim.submit()
	case "cancel":
		sim.cancel()
	case "take over":
		sim.takeOver()
	case "pause":
		sim.pause(o)
	case "succeed":
		sim.takeOverDuringPause(o, hostName)
	case "lose":
		if sim.hostRows()[hostName].Phase == host.Serving {
			sim.setPhase(hostName, host.Lost, nil)
		}
	case "forget":
		clear(sim.workers.tasks) // the workers restart; the platform still has the epochs
	case "drain":
		if sim.hostRows()[hostName].Phase == host.Serving {
			sim.setPhase(hostName, host.Draining, nil)
		}
	case "finish":
		sim.finishDrain(o, hostName)
	case "return":
		if p := sim.hostRows()[hostName].Phase; p == host.Stopped || p == host.Lost {
			sim.setPhase(hostName, host.Serving, nil)
		}
	case "time":
		time.Sleep(time.Duration(rapid.SampledFrom([]int{100, 1000, 9000, 31000}).Draw(sim.t, "ms")) * time.Millisecond)
	case "fault":
		sim.workers.fault = rapid.SampledFrom([]string{"lost", "late", "answer lost"}).Draw(sim.t, "start fault")
		sim.table.fault = rapid.SampledFrom([]string{"", "lost", "answer lost"}).Draw(sim.t, "table fault")
	case "table":
		sim.table.down = rapid.Bool().Draw(sim.t, "down")
	case "workers":
		sim.workers.down = rapid.Bool().Draw(sim.t, "down")
	case "late":
		sim.deliverLateStarts()
	}
}

// round lets an owner read its rows, run a step and make its calls.
func (sim *simulation) round(o *owner) {
	sim.step(o, true)
	for len(o.calls) > 0 {
		sim.call(o, 0)
	}
}

// pause runs two steps of an owner and either leaves its starts or its commits
// unsent, or loses its first start.
func (sim *simulation) pause(o *owner) {
	at := rapid.SampledFrom([]CallKind{CallStart, CallCommit, ""}).Draw(sim.t, "at")
	if at == "" {
		sim.workers.fault = "lost"
	}
	for range 2 {
		sim.step(o, true)
		for i := 0; i < len(o.calls); {
			if o.calls[i].Kind == at {
				i++
				continue
			}
			sim.call(o, i)
		}
	}
}

// takeOverDuringPause pauses an owner, lets a successor run for a while after
// a drain or a cancellation, and resumes the paused owner.
func (sim *simulation) takeOverDuringPause(o *owner, hostName string) {
	sim.table.down, sim.workers.down = false, false
	sim.pause(o)
	sim.takeOver()
	next := sim.owners[len(sim.owners)-1]
	switch rapid.IntRange(0, 2).Draw(sim.t, "meanwhile") {
	case 0:
		sim.cancel()
	case 1:
		if sim.hostRows()[hostName].Phase == host.Serving {
			sim.setPhase(hostName, host.Draining, nil)
		}
	}
	for range rapid.IntRange(0, 20).Draw(sim.t, "rounds") {
		sim.round(next)
		time.Sleep(2500 * time.Millisecond)
	}
	sim.finishDrain(next, hostName)
	for range 3 {
		for len(o.calls) > 0 {
			sim.call(o, 0)
		}
		time.Sleep(retryInterval)
		sim.step(o, false)
	}
}

// finishDrain completes the drain of a host without jobs, as control does.
func (sim *simulation) finishDrain(o *owner, hostName string) {
	sim.step(o, true)
	if sim.table.down || o.view.Workers[hostName].Phase != host.Draining || o.pool.Active()[hostName] > 0 {
		return
	}
	sim.setPhase(hostName, host.Stopped, o.shard)
}

// deliverLateStarts delivers delayed starts to their workers.
func (sim *simulation) deliverLateStarts() {
	late := sim.workers.late
	sim.workers.late = nil
	for _, l := range late {
		if time.Now().Before(l.until) {
			_ = sim.workers.deliver(l.task)
		}
	}
}

// runToCompletion ends all faults and runs a new owner until every job has
// ended, for at most 200 rounds.
func (sim *simulation) runToCompletion() {
	sim.table.down, sim.table.fault = false, ""
	sim.workers.down, sim.workers.fault, sim.workers.late = false, "", nil
	for name, h := range sim.hostRows() {
		if h.Phase != host.Serving {
			sim.setPhase(name, host.Serving, nil)
		}
	}
	sim.takeOver()
	for range 200 {
		sim.round(sim.owners[len(sim.owners)-1])
		time.Sleep(2 * time.Second)
		if len(sim.unfinished()) == 0 {
			return
		}
	}
}

// unfinished returns the jobs that should have ended but have not.
func (sim *simulation) unfinished() []Stored {
	var unfinished []Stored
	for id, row := range sim.rows() {
		if !row.Terminal() && (row.State != adminapi.JobImpossible || sim.specs[id].Processors <= 8) {
			unfinished = append(unfinished, row)
		}
	}
	return unfinished
}

// TestJobRunsAtMostOnceAndNeverAfterCancelOrDrain guards against a second run
// of a job and against a start after its cancellation or after the drain of
// its worker. Owners are paused and replaced in random histories with lost
// answers, late starts, outages, drains and mass cancellations. In the end
// every job must have ended, except those that fit no worker.
func TestJobRunsAtMostOnceAndNeverAfterCancelOrDrain(t *testing.T) {
	starts, cancelled := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		rapid.SyncTest(rt, func(rt *rapid.T) {
			sim := newSimulation(rt)
			for range rapid.IntRange(50, 300).Draw(rt, "actions") {
				sim.randomAction()
			}
			sim.runToCompletion()
			for _, row := range sim.unfinished() {
				rt.Fatalf("job %s is still %s: %s", row.ID, row.State, row.Reason)
			}
			starts += sim.starts
			cancelled += len(sim.cancelEpoch)
		})
	})
	if starts == 0 || cancelled == 0 {
		t.Errorf("%d tasks ran and %d jobs were cancelled; want more than 0 of each", starts, cancelled)
	}
	t.Logf("%d tasks ran, %d jobs were cancelled", starts, cancelled)
}

// roundWithStaleView runs a step of an owner and makes its calls, without
// reading the table.
func (sim *simulation) roundWithStaleView(o *owner) {
	sim.step(o, false)
	for len(o.calls) > 0 {
		sim.call(o, 0)
	}
}

// TestReplacedOwnerSendsNoStartAfterItsSuccessorGaveUp guards against starts
// by an owner that does not know that it was replaced. Its starts are lost one
// after the other, while its successor gives the task up and completes the
// drain of the host.
func TestReplacedOwnerSendsNoStartAfterItsSuccessorGaveUp(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rapid.SyncTest(rt, func(rt *rapid.T) {
			sim := newSimulation(rt)
			spec := adminapi.JobSpec{ID: "job", Pool: testPool, Processors: 1, Idempotent: rapid.Bool().Draw(rt, "idempotent")}
			sim.specs[spec.ID] = spec
			if _, err := Submit(t.Context(), sim.table.Table, []adminapi.JobSpec{spec}, time.Now()); err != nil {
				rt.Fatal(err)
			}
			old := sim.owners[0]
			sim.round(old)
			sim.workers.fault = "lost"
			sim.round(old)
			first := sim.rows()[spec.ID].Host
			sim.takeOver()
			sim.setPhase(first, host.Draining, nil)
			for range rapid.IntRange(16, 20).Draw(rt, "rounds") {
				sim.round(sim.owners[1])
				sim.workers.fault = "lost"
				sim.roundWithStaleView(old)
				time.Sleep(2500 * time.Millisecond)
			}
			sim.workers.fault = ""
			sim.finishDrain(sim.owners[1], first)
			if phase := sim.hostRows()[first].Phase; phase != host.Stopped {
				rt.Fatalf("%s is %s; the successor did not complete its drain", first, phase)
			}
			for range 5 {
				sim.roundWithStaleView(old)
				time.Sleep(retryInterval)
			}
		})
	})
}
