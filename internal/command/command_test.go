package command

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/google/go-cmp/cmp"

	"github.com/egretpitch/egretpitch/internal/adminapi"
	"github.com/egretpitch/egretpitch/internal/config"
	"github.com/egretpitch/egretpitch/internal/host"
	"github.com/egretpitch/egretpitch/internal/settings"
)

const exampleTree = "../../examples/ikenna.yaml"

// fakeAPI answers from its fields and records changes. Methods that no test
// needs are those of the embedded nil API, and panic.
type fakeAPI struct {
	API
	applied  []adminapi.ApplyRequest
	applyErr error
	// polls are the answers of Instances in order; the last one is repeated.
	polls     []adminapi.Instances
	jobs      adminapi.Jobs
	submitted []adminapi.JobSpec
	cancelled []string
}

func (f *fakeAPI) SubmitJobs(_ context.Context, jobs []adminapi.JobSpec) (*adminapi.JobsReply, error) {
	f.submitted = append(f.submitted, jobs...)
	return &adminapi.JobsReply{Changed: len(jobs)}, nil
}

func (f *fakeAPI) Settings(context.Context) (*adminapi.Settings, error) {
	data, err := os.ReadFile(exampleTree)
	return &adminapi.Settings{Version: 41, YAML: string(data)}, err
}

func (f *fakeAPI) Apply(_ context.Context, req adminapi.ApplyRequest) (uint64, error) {
	f.applied = append(f.applied, req)
	return req.ExpectedVersion + 1, f.applyErr
}

func (f *fakeAPI) Instances(ctx context.Context) (*adminapi.Instances, error) {
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	now := f.polls[0]
	if len(f.polls) > 1 {
		f.polls = f.polls[1:]
	}
	return &now, nil
}

func (f *fakeAPI) Hosts(context.Context) (*adminapi.Hosts, error) {
	serving := adminapi.Host{Host: host.Host{Name: "kano-01"}, Row: host.Row{Pool: "kano", Phase: host.Serving}}
	draining := adminapi.Host{Host: host.Host{Name: "aba-01"}, Row: host.Row{Pool: "aba", Phase: host.Draining}}
	return &adminapi.Hosts{Hosts: []adminapi.Host{serving, draining}}, nil
}

func (f *fakeAPI) Jobs(context.Context) (*adminapi.Jobs, error) { return &f.jobs, nil }

func (f *fakeAPI) CancelJobs(_ context.Context, ids []string) (*adminapi.JobsReply, error) {
	f.cancelled = ids
	return &adminapi.JobsReply{Changed: len(ids)}, nil
}

func (f *fakeAPI) Report(_ context.Context, media string) ([]byte, error) {
	return []byte("report as " + media), nil
}

// run runs the command line against the fake and returns its exit code, its
// standard output and its standard error.
func run(t *testing.T, f *fakeAPI, args ...string) (code int, stdout, stderr string) {
	t.Helper()
	var out, errOut bytes.Buffer
	code = Run(t.Context(), args, Environment{
		Stdout: &out, Stderr: &errOut, Connect: func(string) API { return f },
	})
	return code, out.String(), errOut.String()
}

// server is the flag that selects the fake; any valid address does.
const server = "--server=127.0.0.1:1"

func TestExitCodesAndOutput(t *testing.T) {
	t.Setenv("EGRETPITCH_SERVER", "")
	broken := filepath.Join(t.TempDir(), "broken.yaml")
	if err := os.WriteFile(broken, []byte("estate: x\npools: []\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	html := filepath.Join(t.TempDir(), "report.html")
	for _, c := range []struct {
		args   []string
		code   int
		stdout string
		stderr string
	}{
		{[]string{"--help"}, config.ExitDone, "Exit codes: 0 done", ""},
		{[]string{"--version"}, config.ExitDone, "egretpitch ", ""},
		{nil, config.ExitUsage, "", "no command"},
		{[]string{"fly"}, config.ExitUsage, "", "unknown command fly"},
		{[]string{"status", "--fast"}, config.ExitUsage, "", "unknown flag"},
		{[]string{"hosts"}, config.ExitUsage, "", "give --server IP:PORT or set EGRETPITCH_SERVER"},
		{[]string{"hosts", "--server", "here"}, config.ExitUsage, "", "bad server here; allowed: an IP address and port"},
		{[]string{"settings", "check", exampleTree}, config.ExitDone, "accepted: estate ikenna with 5 pools", ""},
		{[]string{"settings", "check", broken}, config.ExitFailed, "", broken + ":2:1: pools: unknown key; allowed here: estate"},
		{[]string{"settings", "check", "none.yaml"}, config.ExitFailed, "", "command: read tree"},
		{[]string{"settings", "diff", exampleTree, "--against-server", server}, config.ExitDone, "no change", ""},
		{[]string{"settings", "diff", exampleTree}, config.ExitUsage, "", "give OLD and NEW, or NEW and --against-server"},
		{[]string{"settings", "show", server}, config.ExitDone, "# Ikenna Lantern Mantles Holdings.", ""},
		{[]string{"settings", "show", "--effective", "--service", "kano-orders", server}, config.ExitDone, "priority           90       service  kano-orders", ""},
		{[]string{"settings", "show", "--effective", "--service", "none", server}, config.ExitFailed, "", `no service "none"`},
		{[]string{"hosts", "--phase", "draining", server}, config.ExitDone, "aba-01  aba   draining", ""},
		{[]string{"jobs", "cancel", server}, config.ExitUsage, "", "give ids or --team"},
		{[]string{"report", server}, config.ExitDone, "report as text/plain", ""},
		{[]string{"report", "--output", "json", server}, config.ExitDone, "report as application/json", ""},
		{[]string{"report", "--html", html, server}, config.ExitDone, "report written to " + html, ""},
	} {
		code, stdout, stderr := run(t, &fakeAPI{}, c.args...)
		if code != c.code || !strings.Contains(stdout, c.stdout) || !strings.Contains(stderr, c.stderr) || (stderr != "") != (c.stderr != "") {
			t.Errorf("%v: exit %d, want %d; stdout %q, want %q; stderr %q, want %q",
				c.args, code, c.code, stdout, c.stdout, stderr, c.stderr)
		}
	}
	if data, err := os.ReadFile(html); err != nil || string(data) != "report as text/html" {
		t.Errorf("got report file %q, %v", data, err)
	}
}

func TestEveryCommandHasHelpWithExamples(t *testing.T) {
	for _, command := range []string{"settings", "settings check", "settings diff", "settings apply", "settings show", "status",
		"hosts", "maintenance", "jobs", "jobs list", "jobs submit", "jobs start", "jobs pending", "jobs cancel", "report"} {
		code, stdout, _ := run(t, nil, append(strings.Fields(command), "--help")...)
		if code != config.ExitDone || !strings.Contains(stdout, "Examples:\negretpitch "+strings.Fields(command)[0]) {
			t.Errorf("%s: exit %d, no examples in the help:\n%s", command, code, stdout)
		}
	}
}

// instancesAt returns one entry and one control process with the given settings
// versions.
func instancesAt(entry, control uint64) adminapi.Instances {
	return adminapi.Instances{SettingsVersion: 42, Instances: []adminapi.Instance{
		{Name: "entry-1", Kind: adminapi.KindEntry, SettingsVersion: entry},
		{Name: "control-1", Kind: adminapi.KindControl, SettingsVersion: control},
	}}
}

// apply --wait must not end before the last process has the version, nor end at
// once when no process is listed yet.
func TestApplyWaitNamesEachProcessOnceAndEndsAtTheLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeAPI{polls: []adminapi.Instances{{}, instancesAt(41, 41), instancesAt(41, 42), instancesAt(41, 42), instancesAt(42, 42)}}
		code, stdout, stderr := run(t, f, "settings", "apply", exampleTree, "--wait", server)
		change := f.applied[0].ChangeID
		want := "accepted as version 42 (change " + change + ")\ncontrol-1 (control): version 42\n" +
			"entry-1 (entry): version 42\nin force at all 2 processes after 800ms\n"
		if diff := cmp.Diff(want, stdout); code != config.ExitDone || diff != "" {
			t.Errorf("exit %d %s\n%s", code, stderr, diff)
		}
		if f.applied[0].ExpectedVersion != 41 {
			t.Errorf("sent expected version %d, want 41, the version in force", f.applied[0].ExpectedVersion)
		}
	})
}

func TestApplyWaitNamesTheProcessesWithoutTheVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		unseen := adminapi.Instance{Name: "entry-2", Kind: adminapi.KindEntry, SeenMSAgo: -1}
		poll := instancesAt(41, 42)
		poll.Instances = append(poll.Instances, unseen)
		f := &fakeAPI{polls: []adminapi.Instances{poll}}
		code, _, stderr := run(t, f, "settings", "apply", exampleTree, "--wait", "--timeout", "3s", server)
		if want := "version 42 is accepted, but these processes lack it: entry-1 (version 41, last seen 0ms ago), entry-2 (never seen)"; code != config.ExitFailed || !strings.Contains(stderr, want) {
			t.Errorf("exit %d, stderr %q, want %q", code, stderr, want)
		}
	})
}

func TestRefusedApplyPrintsItsReason(t *testing.T) {
	conflict := &adminapi.StatusError{Status: http.StatusConflict, Problem: adminapi.Problem{Message: "version moved", CurrentVersion: 44}}
	f := &fakeAPI{applyErr: conflict}
	code, stdout, _ := run(t, f, "settings", "apply", exampleTree, "--expect", "40", "--output", "json", server)
	var got adminapi.Problem
	if err := json.Unmarshal([]byte(stdout), &got); err != nil {
		t.Fatal(err)
	}
	if code != config.ExitFailed || got.CurrentVersion != 44 || f.applied[0].ExpectedVersion != 40 {
		t.Errorf("exit %d, problem %+v, request %+v", code, got, f.applied[0].ExpectedVersion)
	}
	invalid := &adminapi.StatusError{Status: http.StatusUnprocessableEntity, Problem: adminapi.Problem{
		Message: "refused", Errors: settings.Errors{{File: "f", Line: 3, Column: 1, Path: "pools[kano]", Problem: "jobs run"}},
	}}
	code, _, stderr := run(t, &fakeAPI{applyErr: invalid}, "settings", "apply", exampleTree, server)
	if code != config.ExitFailed || stderr != "f:3:1: pools[kano]: jobs run\n" {
		t.Errorf("exit %d, stderr %q", code, stderr)
	}
	code, _, _ = run(t, &fakeAPI{applyErr: errors.New("unreached")}, "settings", "apply", "../../go.mod", server)
	if code != config.ExitFailed {
		t.Errorf("an invalid tree was sent: exit %d", code)
	}
}

// Cancelling a team's jobs must not touch ended jobs or those of other teams.
func TestCancelOfATeamTakesItsWaitingAndRunningJobsOnly(t *testing.T) {
	job := func(id, team, state string) adminapi.Job {
		return adminapi.Job{JobSpec: adminapi.JobSpec{ID: id, Team: team}, State: state}
	}
	f := &fakeAPI{jobs: adminapi.Jobs{Jobs: []adminapi.Job{
		job("a", "finance", adminapi.JobPending), job("b", "finance", adminapi.JobRunning),
		job("c", "finance", adminapi.JobDone), job("d", "depot", adminapi.JobRunning),
	}}}
	code, _, stderr := run(t, f, "jobs", "cancel", "--team", "finance", server)
	if diff := cmp.Diff([]string{"a", "b"}, f.cancelled); code != config.ExitDone || diff != "" {
		t.Errorf("exit %d %s\n%s", code, stderr, diff)
	}
}
