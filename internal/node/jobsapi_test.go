package node

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/labstack/echo/v4"

	"github.com/egretpitch/egretpitch/internal/adminapi"
	"github.com/egretpitch/egretpitch/internal/workload"
)

const stepsJob = `{"id":"` + testID + `","queue":"q","command":"close","steps":[` +
	`{"count":4,"processors":0.5,"memory_mb":64,"run_ms":300,"checkpoints":true,"max_per_worker":2},` +
	`{"count":2,"processors":2,"after":[0],"gang":true,"rack_local":true,"requires":"a","rack":"r1"}],` +
	`"schedule":{"start_ms":1000,"interval_ms":500,"occurrences":3}}`

// testJobsAPI returns a process and a server of its administration API.
func testJobsAPI(t *testing.T) (*Node, *echo.Echo) {
	n, _, _ := testNode(t)
	e := echo.New()
	NewJobsAPI(n).Register(e)
	return n, e
}

// requestJSON sends a JSON request to the jobs path and decodes the answer.
func requestJSON(e *echo.Echo, method, body string, out any) (int, error) {
	status, text := requestWithType(e, method, adminapi.PathJobs, body, "application/json")
	return status, json.Unmarshal([]byte(text), out)
}

func TestJobsOfStepsAreSubmittedListedAndCancelled(t *testing.T) {
	n, e := testJobsAPI(t)
	var reply adminapi.JobsReply
	if status, err := requestJSON(e, http.MethodPost, `{"jobs":[`+stepsJob+`]}`, &reply); status != http.StatusOK || err != nil || reply.Changed != 1 {
		t.Fatalf("status %d, %v, reply %+v", status, err, reply)
	}
	rows, _, err := n.readJobParts(t.Context(), jobTable)
	if err != nil || len(rows) != 1 {
		t.Fatalf("%d rows, %v", len(rows), err)
	}
	j, err := workload.DecodeJob(rows[0].Value)
	if err != nil || len(j.Steps) != 2 || !j.Steps[1].Gang || j.Steps[0].Size.Processors != 0.5 || j.Schedule.Occurrences != 3 || j.Pool != "p" {
		t.Errorf("stored job %+v, %v", j, err)
	}
	reply = adminapi.JobsReply{}
	if _, err := requestJSON(e, http.MethodPost, `{"jobs":[`+stepsJob+`]}`, &reply); err != nil || reply.Changed != 0 || len(reply.Unchanged) != 1 {
		t.Errorf("second submission: %+v, %v", reply, err)
	}
	var list adminapi.Jobs
	if _, err := requestJSON(e, http.MethodGet, "", &list); err != nil {
		t.Fatal(err)
	}
	want := adminapi.Jobs{
		Jobs:    []adminapi.Job{{JobSpec: adminapi.JobSpec{ID: testID, Queue: "q"}, State: adminapi.JobPending}},
		Pending: map[string]int{"q": 1},
	}
	if diff := cmp.Diff(want, list); diff != "" {
		t.Errorf("list (-want +got):\n%s", diff)
	}
	reply = adminapi.JobsReply{}
	if _, err := requestJSON(e, http.MethodDelete, `{"ids":["`+testID+`","00000000000000bb"]}`, &reply); err != nil || reply.Changed != 1 || len(reply.Unchanged) != 1 {
		t.Errorf("cancellation: %+v, %v", reply, err)
	}
}

// TestBadJobsOfStepsAreRefused checks that one invalid job makes the whole
// submission fail with an error that names the fault, and that the valid job
// beside it is not stored.
func TestBadJobsOfStepsAreRefused(t *testing.T) {
	n, e := testJobsAPI(t)
	for _, c := range []struct{ old, now, problem string }{
		{testID, "job-7", "bad id"},
		{`"queue":"q"`, `"queue":"x"`, "no such queue"},
		{`"queue":"q"`, `"queue":"q","pool":"p"`, "give queue and steps"},
		{`"after":[0]`, `"after":[1]`, "step 1: after names step 1"},
		{`"count":4`, `"count":0`, "step 0: count is 0"},
		{`"run_ms":300`, `"run_ms":99999999999999999`, "must not be negative"},
		{`"occurrences":3`, `"occurrences":0`, "at least one occurrence"},
		{`"occurrences":3`, `"occurrences":30000`, "tasks over all occurrences"},
	} {
		bad := strings.Replace(stepsJob, c.old, c.now, 1)
		good := strings.Replace(stepsJob, testID, "00000000000000cc", 1)
		var problem adminapi.Problem
		status, err := requestJSON(e, http.MethodPost, `{"jobs":[`+good+`,`+bad+`]}`, &problem)
		if status != http.StatusUnprocessableEntity || err != nil || !strings.Contains(problem.Message, c.problem) {
			t.Errorf("%s: status %d, %v, %q; want 422 and %q", c.now, status, err, problem.Message, c.problem)
		}
	}
	if rows, _, err := n.readJobParts(t.Context(), jobTable); err != nil || len(rows) > 0 {
		t.Errorf("%d rows are stored, %v", len(rows), err)
	}
}

// The submission is still on its way when the operator cancels the job.
func TestJobOfStepsIsNotStoredAfterItsCancellation(t *testing.T) {
	n, e := testJobsAPI(t)
	var reply adminapi.JobsReply
	if _, err := requestJSON(e, http.MethodDelete, `{"ids":["`+testID+`","no id"]}`, &reply); err != nil || reply.Changed != 0 || len(reply.Unchanged) != 2 {
		t.Errorf("cancellation: %+v, %v; want both unchanged", reply, err)
	}
	var problem adminapi.Problem
	if status, err := requestJSON(e, http.MethodPost, `{"jobs":[`+stepsJob+`]}`, &problem); status != http.StatusConflict || err != nil {
		t.Errorf("submission: status %d, %v, %+v; want 409", status, err, problem)
	}
	if got := storedJobs(t, n); got != 0 {
		t.Errorf("%d jobs are stored, want none", got)
	}
}
