package command

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/egretpitch/egretpitch/internal/adminapi"
	"github.com/egretpitch/egretpitch/internal/config"
)

// explaining answers with an explanation and records the request.
type explaining struct {
	fakeAPI
	asked  adminapi.ExplainRequest
	answer adminapi.Explanation
}

func (f *explaining) Explain(_ context.Context, req *adminapi.ExplainRequest) (*adminapi.Explanation, error) {
	f.asked = *req
	return &f.answer, nil
}

// runExplain runs the command line against an API and returns exit code and outputs.
func runExplain(t *testing.T, f *explaining, args ...string) (code int, stdout, stderr string) {
	t.Helper()
	var out, errOut strings.Builder
	code = Run(t.Context(), args, Environment{Stdout: &out, Stderr: &errOut, Connect: func(string) API { return f }})
	return code, out.String(), errOut.String()
}

func TestExplanationIsShown(t *testing.T) {
	f := &explaining{answer: adminapi.Explanation{
		Version: 12, AgeMS: 800, Queue: "ledger", Pool: "p", Team: "a", Fingerprint: "01234567", Owner: "front-1", OwnerAddress: "10.0.0.1:80", Owned: true,
		Admission: &adminapi.ExplainedAdmission{Decision: adminapi.AdmissionRefused, Reason: "full", AgeMS: 300, Capacity: 8, AheadTimely: 50, Ahead: 100, Admitted: 2.5, TimelyMS: 1000, UsefulMS: 5000, RetryAfterMS: 2000},
		Workers: &adminapi.ExplainedWorkers{CancelsAgeMS: 20, EntriesAgeMS: 30, Held: "held", Total: 13, Explained: 13, WaitingSteps: 4, Steps: []adminapi.ExplainedStep{
			{Chosen: []string{"w1"}, Reasons: []adminapi.ExplainedReason{{Count: 1, Workers: []string{"w1"}}, {Reason: "draining", Count: 12, Workers: []string{"w2", "w3"}}}},
			{Waits: true},
		}},
	}}
	const text = `configuration version 12, known to be the newest 800ms ago
key: fingerprint 01234567, team a
queue: ledger, not public, pool p
admission: refused, full; capacity 8 cores; ahead until the last timely start in 1s 50 core-seconds, until the last useful one in 5s 100, of these 2.5 admitted here since; retry after 2s; load published for 300ms ago
owner of the control work: front-1 at 10.0.0.1:80, the process that answers
workers: 13, of which 13 are explained; 4 steps wait for capacity in the pool; cancellations known as of 20ms ago, entries of workers as of 30ms ago
nothing starts now: held
step 0: would go to w1
  1 could start it: w1
  12 draining: w2, w3, ...
step 1 (waits for other steps): would go to -
`
	if code, stdout, stderr := runExplain(t, f, "explain", "job", writeJobFile(t, nightly), server); code != config.ExitDone || stdout != text {
		t.Errorf("exit code %d, %s, output\n%s\nwant\n%s", code, stderr, stdout, text)
	}
	if f.asked.Job == nil || f.asked.Job.Queue != "ledger" || len(f.asked.Job.Steps) != 3 {
		t.Errorf("asked %+v", f.asked)
	}
	f.answer = adminapi.Explanation{Version: 1, AgeMS: -1, NoQueue: "no queue has the host h"}
	code, stdout, _ := runExplain(t, f, "explain", "route", "h", "/x", server)
	if code != config.ExitDone || stdout != "configuration version 1, never known to be the newest\nqueue: none, no queue has the host h\n" || f.asked.Host != "h" || f.asked.Path != "/x" {
		t.Errorf("exit code %d, output %s, asked %+v", code, stdout, f.asked)
	}
	f.answer = adminapi.Explanation{Version: 1, Queue: "q", Pool: "p", Owner: "front-2", OwnerAddress: "10.0.0.2:80", OwnerAgeMS: 400, NoWorkers: "this process does not own the control work"}
	if _, stdout, _ := runExplain(t, f, "explain", "route", "h", "/x", server); !strings.Contains(stdout, "front-2 at 10.0.0.2:80, last seen 400ms ago\nworkers: not shown, this process") {
		t.Errorf("output %s", stdout)
	}
	if code, stdout, _ := runExplain(t, f, "explain", "route", "h", "/x", "--output", "json", server); code != config.ExitDone || !strings.Contains(stdout, `"owner": "front-2"`) {
		t.Errorf("exit code %d, output %s", code, stdout)
	}
}

func TestKeyIsNeitherShownNorSent(t *testing.T) {
	const key = "secret-key-of-team-a"
	file := filepath.Join(t.TempDir(), "key.txt")
	if err := os.WriteFile(file, []byte(key+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	f := &explaining{answer: adminapi.Explanation{Queue: "q", Fingerprint: "01234567"}}
	for _, output := range []string{"text", "json"} {
		code, stdout, stderr := runExplain(t, f, "explain", "route", "h", "/x", "--key-file", file, "--output", output, server)
		shown := stdout + stderr
		if code != config.ExitDone || len(f.asked.KeyDigest) != 64 || strings.Contains(shown, key) || strings.Contains(shown, f.asked.KeyDigest) {
			t.Errorf("exit code %d, digest %q, output %s", code, f.asked.KeyDigest, shown)
		}
		if strings.Contains(f.asked.Host+f.asked.Path+f.asked.KeyDigest, key) || f.asked.Job != nil {
			t.Errorf("the key is sent: %+v", f.asked)
		}
	}
}

func TestExitCodesOfExplain(t *testing.T) {
	t.Setenv("EGRETPITCH_SERVER", "")
	empty := filepath.Join(t.TempDir(), "key.txt")
	if err := os.WriteFile(empty, []byte(" \n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args []string
		code int
	}{
		{[]string{"route", "--help"}, config.ExitDone},
		{[]string{"job", "--help"}, config.ExitDone},
		{[]string{"route", "h", server}, config.ExitUsage},
		{[]string{"route", "h", "x", server}, config.ExitUsage},
		{[]string{"route", "h", "/x"}, config.ExitUsage},
		{[]string{"route", "h", "/x", "--key-file", empty, server}, config.ExitUsage},
		{[]string{"route", "h", "/x", "--key-file", empty + "x", server}, config.ExitFailed},
		{[]string{"job", empty + "x", server}, config.ExitFailed},
	} {
		code, stdout, stderr := runExplain(t, &explaining{}, append([]string{"explain"}, c.args...)...)
		if code != c.code || (c.code == config.ExitDone && (!strings.Contains(stdout, "Examples:") || !strings.Contains(stdout, "Exit codes: 0 done"))) {
			t.Errorf("%v: exit code %d, %s%s, want %d", c.args, code, stdout, stderr, c.code)
		}
	}
}
