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

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, table: &faultyTable{Table: standin.NewTable()}, specs: map[string]adminapi.JobSpec{},
		runs: map[string]int{}, cancelEpoch: map[string]uint64{}, placed: map[string]uint64{},
	}
	w.workers = &fakeWorkers{
		w: w, tasks: map[string]*platform.TaskUsage{}, ends: map[string]time.Time{}, highestEpoch: map[string]uint64{},
	}
	for i := range 3 {
		w.setPhase(fmt.Sprintf("kano-%d", i), host.Serving, nil)
	}
	w.takeOver()
	return w
}

// submit submits up to four jobs, some of which exceed the size of every
// worker.
func (w *world) submit() {
	var specs []adminapi.JobSpec
	for range rapid.IntRange(1, 4).Draw(w.t, "jobs") {
		spec := adminapi.JobSpec{
			ID: fmt.Sprintf("job-%d", len(w.ids)), Pool: testPool, Team: "sales", Command: "fold",
			Priority:   rapid.SampledFrom([]int{10, 90}).Draw(w.t, "priority"),
			Processors: rapid.SampledFrom([]int{1, 4, 8, 100}).Draw(w.t, "processors"),
			Idempotent: rapid.Bool().Draw(w.t, "idempotent"), Checkpoints: rapid.Bool().Draw(w.t, "checkpoints"),
		}
		w.ids = append(w.ids, spec.ID)
		w.specs[spec.ID] = spec
		specs = append(specs, spec)
	}
	if _, err := Submit(context.Background(), w.table.Table, specs, time.Now()); err != nil {
		w.t.Fatal(err)
	}
}

// cancel cancels up to the last four jobs.
func (w *world) cancel() {
	if len(w.ids) == 0 {
		return
	}
	ids := w.ids[rapid.IntRange(max(0, len(w.ids)-4), len(w.ids)-1).Draw(w.t, "from"):]
	before := w.rows()
	if _, err := Cancel(context.Background(), w.table.Table, ids); err != nil {
		w.t.Fatal(err)
	}
	for _, id := range ids {
		if _, ok := w.cancelEpoch[id]; !ok {
			w.cancelEpoch[id] = before[id].Epoch
		}
	}
}

// randomAction performs one randomly chosen action or injects a fault.
func (w *world) randomAction() {
	o := w.owners[rapid.IntRange(max(0, len(w.owners)-3), len(w.owners)-1).Draw(w.t, "owner")]
	hostName := fmt.Sprintf("kano-%d", rapid.IntRange(0, 2).Draw(w.t, "host"))
	switch rapid.SampledFrom([]string{
		"step", "call", "call", "call", "round", "round", "round", "round", "submit", "submit", "cancel", "take over",
		"pause", "pause", "drain", "finish", "finish", "return", "time", "time", "fault", "fault", "table", "workers", "late", "late",
		"succeed", "succeed", "lose", "forget",
	}).Draw(w.t, "action") {
	case "step":
		w.step(o, rapid.Bool().Draw(w.t, "reads"))
	case "call":
		if len(o.calls) > 0 {
			w.call(o, rapid.IntRange(0, len(o.calls)-1).Draw(w.t, "call"))
		}
	case "round":
		w.round(o)
	case "submit":
		w.submit()
	case "cancel":
		w.cancel()
	case "take over":
		w.takeOver()
	case "pause":
		w.pause(o)
	case "succeed":
		w.takeOverDuringPause(o, hostName)
	case "lose":
		if w.hostRows()[hostName].Phase == host.Serving {
			w.setPhase(hostName, host.Lost, nil)
		}
	case "forget":
		clear(w.workers.tasks) // the workers restart; the platform still has the epochs
	case "drain":
		if w.hostRows()[hostName].Phase == host.Serving {
			w.setPhase(hostName, host.Draining, nil)
		}
	case "finish":
		w.finishDrain(o, hostName)
	case "return":
		if p := w.hostRows()[hostName].Phase; p == host.Stopped || p == host.Lost {
			w.setPhase(hostName, host.Serving, nil)
		}
	case "time":
		time.Sleep(time.Duration(rapid.SampledFrom([]int{100, 1000, 9000, 31000}).Draw(w.t, "ms")) * time.Millisecond)
	case "fault":
		w.workers.fault = rapid.SampledFrom([]string{"lost", "late", "answer lost"}).Draw(w.t, "start fault")
		w.table.fault = rapid.SampledFrom([]string{"", "lost", "answer lost"}).Draw(w.t, "table fault")
	case "table":
		w.table.down = rapid.Bool().Draw(w.t, "down")
	case "workers":
		w.workers.down = rapid.Bool().Draw(w.t, "down")
	case "late":
		w.deliverLateStarts()
	}
}

// round lets an owner read its rows, run a step and make its calls.
func (w *world) round(o *owner) {
	w.step(o, true)
	for len(o.calls) > 0 {
		w.call(o, 0)
	}
}

// pause runs two steps of an owner and either leaves its starts or its commits
// unsent, or loses its first start.
func (w *world) pause(o *owner) {
	at := rapid.SampledFrom([]CallKind{CallStart, CallCommit, ""}).Draw(w.t, "at")
	if at == "" {
		w.workers.fault = "lost"
	}
	for range 2 {
		w.step(o, true)
		for i := 0; i < len(o.calls); {
			if o.calls[i].Kind == at {
				i++
				continue
			}
			w.call(o, i)
		}
	}
}

// takeOverDuringPause pauses an owner, lets a successor run for a while after
// a drain or a cancellation, and resumes the paused owner.
func (w *world) takeOverDuringPause(o *owner, hostName string) {
	w.table.down, w.workers.down = false, false
	w.pause(o)
	w.takeOver()
	next := w.owners[len(w.owners)-1]
	switch rapid.IntRange(0, 2).Draw(w.t, "meanwhile") {
	case 0:
		w.cancel()
	case 1:
		if w.hostRows()[hostName].Phase == host.Serving {
			w.setPhase(hostName, host.Draining, nil)
		}
	}
	for range rapid.IntRange(0, 20).Draw(w.t, "rounds") {
		w.round(next)
		time.Sleep(2500 * time.Millisecond)
	}
	w.finishDrain(next, hostName)
	for range 3 {
		for len(o.calls) > 0 {
			w.call(o, 0)
		}
		time.Sleep(retryInterval)
		w.step(o, false)
	}
}

// finishDrain completes the drain of a host without jobs, as control does.
func (w *world) finishDrain(o *owner, hostName string) {
	w.step(o, true)
	if w.table.down || o.view.Workers[hostName].Phase != host.Draining || o.pool.Active()[hostName] > 0 {
		return
	}
	w.setPhase(hostName, host.Stopped, o.shard)
}

// deliverLateStarts delivers delayed starts to their workers.
func (w *world) deliverLateStarts() {
	late := w.workers.late
	w.workers.late = nil
	for _, l := range late {
		if time.Now().Before(l.until) {
			_ = w.workers.deliver(l.task)
		}
	}
}

// runToCompletion ends all faults and runs a new owner until every job has
// ended, for at most 200 rounds.
func (w *world) runToCompletion() {
	w.table.down, w.table.fault = false, ""
	w.workers.down, w.workers.fault, w.workers.late = false, "", nil
	for name, h := range w.hostRows() {
		if h.Phase != host.Serving {
			w.setPhase(name, host.Serving, nil)
		}
	}
	w.takeOver()
	for range 200 {
		w.round(w.owners[len(w.owners)-1])
		time.Sleep(2 * time.Second)
		if len(w.unfinished()) == 0 {
			return
		}
	}
}

// unfinished returns the jobs that should have ended but have not.
func (w *world) unfinished() []Stored {
	var unfinished []Stored
	for id, row := range w.rows() {
		if !row.Terminal() && (row.State != adminapi.JobImpossible || w.specs[id].Processors <= 8) {
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
			w := newWorld(rt)
			for range rapid.IntRange(50, 300).Draw(rt, "actions") {
				w.randomAction()
			}
			w.runToCompletion()
			for _, row := range w.unfinished() {
				rt.Fatalf("job %s is still %s: %s", row.ID, row.State, row.Reason)
			}
			starts += w.starts
			cancelled += len(w.cancelEpoch)
		})
	})
	if starts == 0 || cancelled == 0 {
		t.Errorf("%d tasks ran and %d jobs were cancelled; want more than 0 of each", starts, cancelled)
	}
	t.Logf("%d tasks ran, %d jobs were cancelled", starts, cancelled)
}

// roundWithStaleView runs a step of an owner and makes its calls, without
// reading the table.
func (w *world) roundWithStaleView(o *owner) {
	w.step(o, false)
	for len(o.calls) > 0 {
		w.call(o, 0)
	}
}

// TestReplacedOwnerSendsNoStartAfterItsSuccessorGaveUp guards against starts
// by an owner that does not know that it was replaced. Its starts are lost one
// after the other, while its successor gives the task up and completes the
// drain of the host.
func TestReplacedOwnerSendsNoStartAfterItsSuccessorGaveUp(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rapid.SyncTest(rt, func(rt *rapid.T) {
			w := newWorld(rt)
			spec := adminapi.JobSpec{ID: "job", Pool: testPool, Processors: 1, Idempotent: rapid.Bool().Draw(rt, "idempotent")}
			w.specs[spec.ID] = spec
			if _, err := Submit(t.Context(), w.table.Table, []adminapi.JobSpec{spec}, time.Now()); err != nil {
				rt.Fatal(err)
			}
			old := w.owners[0]
			w.round(old)
			w.workers.fault = "lost"
			w.round(old)
			first := w.rows()[spec.ID].Host
			w.takeOver()
			w.setPhase(first, host.Draining, nil)
			for range rapid.IntRange(16, 20).Draw(rt, "rounds") {
				w.round(w.owners[1])
				w.workers.fault = "lost"
				w.roundWithStaleView(old)
				time.Sleep(2500 * time.Millisecond)
			}
			w.workers.fault = ""
			w.finishDrain(w.owners[1], first)
			if phase := w.hostRows()[first].Phase; phase != host.Stopped {
				rt.Fatalf("%s is %s; the successor did not complete its drain", first, phase)
			}
			for range 5 {
				w.roundWithStaleView(old)
				time.Sleep(retryInterval)
			}
		})
	})
}
