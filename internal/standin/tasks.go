package standin

import (
	"context"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/egretpitch/egretpitch/internal/operr"
	"github.com/egretpitch/egretpitch/internal/platform"
)

// Directives in a task's command, separated by spaces, that set how the simulated
// task behaves: "run=2s" ends it after that time (without it the task runs until
// it is stopped), "use=1.5" makes it use that multiple of its declared resources,
// "fail" makes it fail on every worker.
const (
	directiveRun  = "run="
	directiveUse  = "use="
	directiveFail = "fail"
)

// TaskFaults holds the faults injected into the tasks of a worker. The zero value
// injects none.
type TaskFaults struct {
	// FailTasks fails every task as soon as it starts.
	FailTasks bool `json:"fail_tasks,omitempty"`
	// LoseStarts lets starts take effect and fail with platform.ErrUnknown.
	LoseStarts bool `json:"lose_starts,omitempty"`
	// DropStarts lets starts have no effect and fail with platform.ErrUnknown.
	DropStarts bool `json:"drop_starts,omitempty"`
}

// TaskRun is the record of one start of a task.
type TaskRun struct {
	ID    string `json:"id"`
	Host  string `json:"host"`
	Epoch uint64 `json:"epoch"`
	// Checkpoint is the checkpoint it resumed from, empty for a fresh start.
	Checkpoint string    `json:"checkpoint,omitempty"`
	Start      time.Time `json:"start"`
}

// taskKey identifies a task on a worker.
type taskKey struct{ host, id string }

// taskRecord is a task with its last reported usage.
type taskRecord struct {
	task    platform.Task
	usage   platform.TaskUsage
	started time.Time
	renewed time.Time
}

// SetTaskFaults replaces the faults injected into the tasks of a worker.
func (f *Fleet) SetTaskFaults(hostName string, faults TaskFaults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.taskFaults[hostName] = faults
}

// TaskRuns returns a copy of the records of all starts, in order.
func (f *Fleet) TaskRuns() []TaskRun {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]TaskRun(nil), f.runs...)
}

// Start implements platform.Workers. A start whose epoch is not above the highest
// one of the task fails with platform.ErrConflict.
func (f *Fleet) Start(_ context.Context, task platform.Task) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.workers[task.Host]; !ok {
		return operr.Wrap(platform.ErrNotFound, "workers: start", task.Host)
	}
	faults := f.taskFaults[task.Host]
	if faults.DropStarts {
		return operr.Wrap(platform.ErrUnknown, "workers: start", task.Host)
	}
	if f.epochs[task.ID] >= task.Epoch {
		return operr.Wrap(platform.ErrConflict, "workers: start", task.Host)
	}
	f.epochs[task.ID] = task.Epoch
	f.begin(task, faults)
	if faults.LoseStarts {
		return operr.Wrap(platform.ErrUnknown, "workers: start", task.Host)
	}
	return nil
}

// begin records the start of a task. The caller holds f.mu.
func (f *Fleet) begin(task platform.Task, faults TaskFaults) {
	now := f.now()
	usage := platform.TaskUsage{
		ID: task.ID, Host: task.Host, Epoch: task.Epoch, State: platform.TaskRunning,
		Processors: usageFactor(task.Command) * float64(task.Processors),
		MemoryMB:   int(usageFactor(task.Command) * float64(task.MemoryMB)), AsOf: now,
	}
	if faults.FailTasks || hasDirective(task.Command, directiveFail) {
		usage.State = platform.TaskFailed
		usage.Reason = "exit status 1"
	}
	f.tasks[taskKey{task.Host, task.ID}] = &taskRecord{task: task, usage: usage, started: now, renewed: now}
	f.runs = append(f.runs, TaskRun{
		ID: task.ID, Host: task.Host, Epoch: task.Epoch, Checkpoint: task.Checkpoint, Start: now,
	})
}

// refresh ends a task whose run time or lease is over.
func (r *taskRecord) refresh(now time.Time) {
	if r.usage.State != platform.TaskRunning && r.usage.State != platform.TaskThrottled {
		return
	}
	run, limited := runTime(r.task.Command)
	leaseEnd := r.renewed.Add(r.task.Lease)
	switch end := r.started.Add(run); {
	case limited && !now.Before(end) && (r.task.Lease == 0 || end.Before(leaseEnd)):
		r.usage.State = platform.TaskDone
	case r.task.Lease > 0 && now.After(leaseEnd):
		r.usage.State = platform.TaskFailed
		r.usage.Reason = "lease lapsed"
	}
	r.usage.AsOf = now
}

// Renew implements platform.Workers.
func (f *Fleet) Renew(_ context.Context, hostName string, ids []string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range ids {
		if r := f.tasks[taskKey{hostName, id}]; r != nil {
			r.refresh(f.now())
			r.renewed = f.now()
		}
	}
	return nil
}

// Checkpoint implements platform.Workers.
func (f *Fleet) Checkpoint(_ context.Context, hostName, id string) error {
	return f.update("workers: checkpoint", hostName, id, func(r *taskRecord) { r.usage.Checkpoint = "checkpoint/" + id })
}

// Throttle implements platform.Workers.
func (f *Fleet) Throttle(_ context.Context, hostName, id string, share float64) error {
	return f.update("workers: throttle", hostName, id, func(r *taskRecord) {
		r.usage.State = platform.TaskThrottled
		if share >= 1 {
			r.usage.State = platform.TaskRunning
		}
		r.usage.Processors = share * usageFactor(r.task.Command) * float64(r.task.Processors)
	})
}

// Stop implements platform.Workers.
func (f *Fleet) Stop(_ context.Context, hostName, id string) error {
	return f.update("workers: stop", hostName, id, func(r *taskRecord) { r.usage.State = platform.TaskStopped })
}

// update applies a change to the record of a task, unless the task has ended.
func (f *Fleet) update(step, hostName, id string, change func(*taskRecord)) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, ok := f.tasks[taskKey{hostName, id}]
	if !ok {
		return operr.Wrap(platform.ErrNotFound, step, hostName+"/"+id)
	}
	r.refresh(f.now())
	if r.usage.State == platform.TaskRunning || r.usage.State == platform.TaskThrottled {
		change(r)
	}
	return nil
}

// Usage implements platform.Workers.
func (f *Fleet) Usage(_ context.Context, hostName string) ([]platform.TaskUsage, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []platform.TaskUsage
	for k, r := range f.tasks {
		if k.host == hostName {
			r.refresh(f.now())
			list = append(list, r.usage)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list, nil
}

// directive returns the first word of the command that has the prefix, without
// the prefix.
func directive(command, prefix string) (string, bool) {
	for _, w := range strings.Fields(command) {
		if rest, ok := strings.CutPrefix(w, prefix); ok {
			return rest, true
		}
	}
	return "", false
}

// hasDirective reports whether the command contains the directive.
func hasDirective(command, want string) bool {
	rest, ok := directive(command, want)
	return ok && rest == ""
}

// runTime returns the command's run time, and false if it has none.
func runTime(command string) (time.Duration, bool) {
	rest, _ := directive(command, directiveRun)
	d, err := time.ParseDuration(rest)
	return d, err == nil
}

// usageFactor returns the factor of the declared resources that the command uses,
// 1 by default.
func usageFactor(command string) float64 {
	rest, _ := directive(command, directiveUse)
	if factor, err := strconv.ParseFloat(rest, 64); err == nil {
		return factor
	}
	return 1
}
