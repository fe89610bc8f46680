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

// Words of a task's command that say how the task behaves: "run=2s" ends it
// after a time (otherwise it runs until it is stopped), "use=1.5" has it use
// so much of what it declared, "fail" has it fail on every worker.
const (
	directiveRun  = "run="
	directiveUse  = "use="
	directiveFail = "fail"
)

// TaskFaults are the switches of a worker for tasks. The zero value has none.
type TaskFaults struct {
	// FailTasks fails every task as soon as it starts.
	FailTasks bool `json:"fail_tasks,omitempty"`
	// LoseStarts lets starts take effect and answers that the outcome is
	// unknown.
	LoseStarts bool `json:"lose_starts,omitempty"`
	// DropStarts gives starts no effect and answers the same.
	DropStarts bool `json:"drop_starts,omitempty"`
}

// TaskRun is the record of one task that began to run.
type TaskRun struct {
	ID    string `json:"id"`
	Host  string `json:"host"`
	Epoch uint64 `json:"epoch"`
	// Checkpoint is what it resumed from.
	Checkpoint string    `json:"checkpoint,omitempty"`
	Start      time.Time `json:"start"`
}

// taskKey names a task on a worker.
type taskKey struct{ host, id string }

// taskRecord is a task with its last use.
type taskRecord struct {
	task    platform.Task
	usage   platform.TaskUsage
	started time.Time
	renewed time.Time
}

// SetTaskFaults replaces the task switches of a worker.
func (f *Fleet) SetTaskFaults(hostName string, faults TaskFaults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.taskFaults[hostName] = faults
}

// TaskRuns returns a copy of the record of all tasks that began to run.
func (f *Fleet) TaskRuns() []TaskRun {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]TaskRun(nil), f.runs...)
}

// Start implements platform.Workers. A start with an epoch that is not above
// the highest seen has no effect.
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

// begin runs a task.
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

// refresh ends a task whose time or lease is over.
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

// update changes the record of a task that is not over.
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

// directive returns the rest of the command's directive with the prefix.
func directive(command, prefix string) (string, bool) {
	for _, w := range strings.Fields(command) {
		if rest, ok := strings.CutPrefix(w, prefix); ok {
			return rest, true
		}
	}
	return "", false
}

// hasDirective reports whether the command has the word.
func hasDirective(command, want string) bool {
	rest, ok := directive(command, want)
	return ok && rest == ""
}

// runTime returns how long the command runs, if it says so.
func runTime(command string) (time.Duration, bool) {
	rest, _ := directive(command, directiveRun)
	d, err := time.ParseDuration(rest)
	return d, err == nil
}

// usageFactor returns how much of what was declared the command uses.
func usageFactor(command string) float64 {
	rest, _ := directive(command, directiveUse)
	if factor, err := strconv.ParseFloat(rest, 64); err == nil {
		return factor
	}
	return 1
}
