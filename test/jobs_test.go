package test

import (
	"encoding/json"
	"slices"
	"testing"

	"github.com/egretpitch/egretpitch/internal/adminapi"
	"github.com/egretpitch/egretpitch/internal/host"
	"github.com/egretpitch/egretpitch/internal/standin"
)

// jobs returns the jobs by ID as listed by the command-line tool.
func (f *fleet) jobs() map[string]adminapi.Job {
	f.t.Helper()
	out, code := f.cli("jobs", "list", "--output", "json")
	var list adminapi.Jobs
	if err := json.Unmarshal([]byte(out), &list); code != 0 || err != nil {
		f.t.Fatalf("jobs list: exit %d, %v: %s", code, err, out)
	}
	byID := map[string]adminapi.Job{}
	for _, j := range list.Jobs {
		byID[j.ID] = j
	}
	return byID
}

// submit submits a job of the sales team with the command-line tool.
func (f *fleet) submit(id, pool, processors, command string) {
	f.t.Helper()
	out, code := f.cli("jobs", "submit", "--id", id, "--team", "sales", "--pool", pool,
		"--processors", processors, "--memory-mb", "1024", "--", command)
	if code != 0 {
		f.t.Fatalf("jobs submit %s: exit %d: %s", id, code, out)
	}
}

// waitForJob waits until a job is in the given state, which must be one that it
// does not leave by itself, and returns the job.
func (f *fleet) waitForJob(id, state string) adminapi.Job {
	f.t.Helper()
	var job adminapi.Job
	eventually(f.t, "job "+id+" is "+state, func() bool {
		job = f.jobs()[id]
		return job.State == state
	})
	return job
}

// checkTasksOfLeavingHost lists a host with two tasks as leaving. The task that
// supports checkpoints must write one and resume from it on another host; the
// host's drain must wait for the end of the task that does not.
func (f *fleet) checkTasksOfLeavingHost() {
	f.t.Helper()
	if out, code := f.cli("jobs", "submit", "--id", "roll", "--team", "sales", "--pool", "kano-ordering", "--checkpoints",
		"--processors", "4", "--memory-mb", "1024", "--", "roll"); code != 0 {
		f.t.Fatalf("jobs submit: exit %d: %s", code, out)
	}
	f.submit("payout", "kano-ordering", "4", "payout run=8s")
	first := f.waitForJob("roll", adminapi.JobRunning).Host
	if second := f.waitForJob("payout", adminapi.JobRunning).Host; second != first {
		f.t.Fatalf("the tasks run on %s and %s, want them on one host", first, second)
	}
	f.put("/listed/"+first+"?state=leaving", struct{}{})
	var last standin.TaskRun
	eventually(f.t, "the task runs on another host", func() bool {
		var runs []standin.TaskRun
		f.getJSON("/tasks", &runs)
		last = runs[len(runs)-1]
		return last.ID == "kano-ordering/roll" && last.Host != first
	})
	if last.Checkpoint == "" {
		f.t.Error("the task restarted on another host without its checkpoint")
	}
	eventually(f.t, "the host is drained", func() bool {
		hosts, err := adminapi.NewClient(f.admin).Hosts(f.t.Context())
		return err == nil && slices.ContainsFunc(hosts.Hosts, func(h adminapi.Host) bool {
			return h.Row.Host == first && h.Row.Phase == host.Stopped
		})
	})
	if j := f.jobs()["payout"]; j.State != adminapi.JobDone {
		f.t.Errorf("the host's drain finished while its job is %s (%s)", j.State, j.Reason)
	}
}

// TestJobRunsOnceIsCancelledOrToldWhyNot submits jobs with the command-line tool
// and guards against a job that runs more than once, cannot be cancelled, or
// fails or cannot run without its reason being reported.
func TestJobRunsOnceIsCancelledOrToldWhyNot(t *testing.T) {
	f := startFleet(t, "testdata/small.yaml")
	f.submit("too-large", "kano-ordering", "1000", "fold run=1s")
	f.submit("ledger", "shared-administration", "4", "ledger run=1s")
	f.submit("ledger", "shared-administration", "4", "ledger run=1s")
	f.submit("endless", "kano-ordering", "4", "watch")
	f.submit("broken", "kano-ordering", "4", "broken fail")

	if j := f.waitForJob("ledger", adminapi.JobDone); j.Host != "admin-01" && j.Host != "admin-02" {
		t.Errorf("the ledger ran on %q, which is not in its pool", j.Host)
	}
	if j := f.waitForJob("too-large", adminapi.JobImpossible); j.Reason != "larger than what any worker of the pool gives to jobs" {
		t.Errorf("the reason of the impossible job is %q", j.Reason)
	}
	if j := f.waitForJob("broken", adminapi.JobFailed); j.Reason != "exit status 1" {
		t.Errorf("the reason of the failed job is %q", j.Reason)
	}
	f.waitForJob("endless", adminapi.JobRunning)
	if out, code := f.cli("jobs", "cancel", "endless", "too-large"); code != 0 {
		t.Fatalf("jobs cancel: exit %d: %s", code, out)
	}
	f.waitForJob("endless", adminapi.JobCancelled)
	f.waitForJob("too-large", adminapi.JobCancelled)

	f.checkTasksOfLeavingHost()

	var runs []standin.TaskRun
	f.getJSON("/tasks", &runs)
	started := map[string]int{}
	for _, r := range runs {
		started[r.ID]++
	}
	for _, id := range []string{"shared-administration/ledger", "kano-ordering/endless", "kano-ordering/broken"} {
		if started[id] != 1 {
			t.Errorf("%s started %d times, want once", id, started[id])
		}
	}
	if n := started["kano-ordering/too-large"]; n != 0 {
		t.Errorf("the impossible job started %d times", n)
	}
}
