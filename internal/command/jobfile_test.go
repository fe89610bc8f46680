package command

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/egretpitch/egretpitch/internal/adminapi"
	"github.com/egretpitch/egretpitch/internal/config"
)

// nightly is a valid job file of three steps and a schedule.
const nightly = `queue: ledger
command: close --full
steps:
  - {count: 4, processors: 0.5, memory_mb: 64, run: 900ms, checkpoints: true}
  - {count: 2, processors: 2, after: [0], gang: true, rack_local: true, requires: a, rack: r1, max_per_worker: 1}
  - {count: 3, long_running: true, max_unavailable: 1, image: web, tail_target: 80ms}
schedule: {start: "2026-07-12T05:00:00Z", interval: 1h, occurrences: 2}
`

// writeJobFile writes a job file and returns its path.
func writeJobFile(t *testing.T, text string) string {
	file := filepath.Join(t.TempDir(), "job.yaml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

func TestJobFileIsSubmittedAsWritten(t *testing.T) {
	f := &fakeAPI{}
	const id = "5c0e7a21d94b36f8"
	code, stdout, stderr := run(t, f, "jobs", "start", writeJobFile(t, nightly), "--id", id, server)
	if code != config.ExitDone || stdout != "job "+id+" submitted\n" {
		t.Fatalf("exit %d, %q, %s", code, stdout, stderr)
	}
	want := []adminapi.JobSpec{{
		ID: id, Queue: "ledger", Command: "close --full",
		Steps: []adminapi.JobStep{
			{Count: 4, Processors: 0.5, MemoryMB: 64, RunMS: 900, Checkpoints: true},
			{Count: 2, Processors: 2, After: []int{0}, Gang: true, RackLocal: true, Requires: "a", Rack: "r1", MaxPerWorker: 1},
			{Count: 3, LongRunning: true, MaxUnavailable: 1, Image: "web", TailTargetMS: 80},
		},
		Schedule: &adminapi.JobSchedule{StartMS: 1783832400000, IntervalMS: 3600000, Occurrences: 2},
	}}
	if diff := cmp.Diff(want, f.submitted); diff != "" {
		t.Errorf("submitted (-want +got):\n%s", diff)
	}
}

// A job file with an error must not be submitted.
func TestBadJobFilesAreRefused(t *testing.T) {
	for _, c := range []struct {
		old, now, problem string
		code              int
	}{
		{"queue: ledger\n", "", "needs a queue", config.ExitUsage},
		{"gang: true", "gnag: true", "gnag", config.ExitFailed},
		{"run: 900ms", "run: soon", "run", config.ExitFailed},
		{"2026-07-12T05:00:00Z", "tomorrow", "bad start", config.ExitUsage},
	} {
		f := &fakeAPI{}
		code, _, stderr := run(t, f, "jobs", "start", writeJobFile(t, strings.Replace(nightly, c.old, c.now, 1)), server)
		if code != c.code || !strings.Contains(stderr, c.problem) || len(f.submitted) > 0 {
			t.Errorf("%q: exit %d, %q; want %d and %q", c.now, code, stderr, c.code, c.problem)
		}
	}
}

func TestPendingJobsAreCountedByQueue(t *testing.T) {
	f := &fakeAPI{jobs: adminapi.Jobs{Pending: map[string]int{"ledger": 3, "quotes": 1}}}
	code, stdout, stderr := run(t, f, "jobs", "pending", "--queue", "ledger", server)
	if code != config.ExitDone || !strings.Contains(stdout, "ledger") || strings.Contains(stdout, "quotes") {
		t.Errorf("exit %d, %q, %s", code, stdout, stderr)
	}
}

func TestExampleJobFileIsValid(t *testing.T) {
	if spec, err := readJob("../../examples/job.yaml"); err != nil || len(spec.Steps) != 3 {
		t.Errorf("%d steps, %v", len(spec.Steps), err)
	}
}
