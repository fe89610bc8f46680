// Package test holds end-to-end tests that run egretpitch's programs as separate
// processes against the stand-in platform.
package test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/egretpitch/egretpitch/internal/adminapi"
	"github.com/egretpitch/egretpitch/internal/standin"
)

// waitTimeout is the longest wait for a state; the test fails when it passes.
const waitTimeout = 60 * time.Second

// binaries is the directory of the built programs.
var binaries string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

// runTests builds the programs, runs the tests and returns the exit code.
func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "egretpitch")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binaries = dir
	args := append([]string{"build", "-o", dir}, raceFlags...)
	build := exec.Command("go", append(args, "../cmd/...")...)
	build.Stdout, build.Stderr = os.Stdout, os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build:", err)
		return 1
	}
	return m.Run()
}

// process is a started program and its log output.
type process struct {
	name string
	cmd  *exec.Cmd
	log  *lineBuffer
}

// start starts a program and registers a cleanup that kills it at the end of the
// test. The test fails if the program reports a data race.
func start(t *testing.T, name, binary string, args ...string) *process {
	t.Helper()
	p := &process{name: name, log: &lineBuffer{}}
	p.cmd = exec.Command(filepath.Join(binaries, binary), args...)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
		if strings.Contains(p.log.all(), "DATA RACE") {
			t.Errorf("%s has a data race", name)
		}
		if t.Failed() {
			t.Logf("log of %s:\n%s", name, p.log.tail(12))
		}
	})
	return p
}

// signal sends a signal to the process.
func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		t.Fatal(err)
	}
}

// field waits for a pattern in the log and returns the first group of its first
// match.
func (p *process) field(t *testing.T, pattern string) string {
	t.Helper()
	re := regexp.MustCompile(pattern)
	var found string
	eventually(t, p.name+" logs "+pattern, func() bool {
		if m := re.FindStringSubmatch(p.log.all()); m != nil {
			found = m[1]
		}
		return found != ""
	})
	return found
}

// admin waits until the process has logged the address of its administration API
// and returns the address.
func (p *process) admin(t *testing.T) string {
	t.Helper()
	return p.field(t, `"admin":"([^"]+)"`)
}

// eventually polls until ok returns true and fails the test after waitTimeout.
// The state must be one that persists, since polling may miss a short one.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%s: not reached within %v", what, waitTimeout)
}

// fleet is a stand-in platform with control and entry processes.
type fleet struct {
	t *testing.T
	// platform is the base URL of the stand-in.
	platform string
	controls []*process
	entries  []*process
	// rpcAddresses are the drpc addresses of the controls that entries are
	// configured with.
	rpcAddresses []string
	admin        string
	entryURLs    []string
}

// startFleet starts the stand-in, two controls and two entries, applies the
// settings and waits until both entries are ready.
func startFleet(t *testing.T, settingsFile string) *fleet {
	t.Helper()
	f := &fleet{t: t}
	s := start(t, "stand-in", "egretpitch-standin", "--settings", settingsFile, "--listen", "127.0.0.1:0",
		"--entry", "entry-1", "--entry", "entry-2")
	f.platform = "http://" + s.field(t, `stand-in listens on (\S+)`)
	for i := range 2 {
		c := f.startControl(fmt.Sprintf("control-%d", i+1), f.rpcAddresses)
		f.rpcAddresses = append(f.rpcAddresses, c.field(t, `"rpc":"([^"]+)"`))
	}
	f.admin = f.controls[0].admin(t)
	f.apply(settingsFile)
	for i := range 2 {
		f.startEntry(fmt.Sprintf("entry-%d", i+1), f.rpcAddresses)
	}
	return f
}

// apply submits the first version of the settings.
func (f *fleet) apply(settingsFile string) {
	f.t.Helper()
	tree, err := os.ReadFile(settingsFile)
	if err != nil {
		f.t.Fatal(err)
	}
	ready := "http://" + f.admin + adminapi.PathSettings
	eventually(f.t, "administration API answers", func() bool { return getOK(ready) })
	_, err = adminapi.NewClient(f.admin).Apply(f.t.Context(), adminapi.ApplyRequest{
		YAML: string(tree), File: settingsFile, ChangeID: adminapi.NewChangeID(),
	})
	if err != nil {
		f.t.Fatal(err)
	}
}

// getOK reports whether a GET request of a URL returns status 200.
func getOK(url string) bool {
	resp, err := http.Get(url)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// commonFlags returns the flags that all daemons have in common.
func (f *fleet) commonFlags(name string) []string {
	args := []string{"--name", name, "--region", "lagos", "--datacentre", "lagos-1", "--rack", "lagos-1-r1",
		"--rpc-listen", "127.0.0.1:0", "--admin-listen", "127.0.0.1:0"}
	for _, service := range []string{"table", "objects", "hosts", "workers"} {
		args = append(args, "--platform."+service, f.platform)
	}
	return args
}

// startControl starts a control process that knows the given peers. The extra
// flags override the common ones.
func (f *fleet) startControl(name string, peers []string, extra ...string) *process {
	args := append(f.commonFlags(name), extra...)
	for _, p := range peers {
		args = append(args, "--control", p)
	}
	c := start(f.t, name, "egretpitch-control", args...)
	f.controls = append(f.controls, c)
	return c
}

// startEntry starts an entry process and waits until it is ready to route.
func (f *fleet) startEntry(name string, control []string) *process {
	args := append(f.commonFlags(name), "--listen", "127.0.0.1:0")
	for _, c := range control {
		args = append(args, "--control", c)
	}
	e := start(f.t, name, "egretpitch-entry", args...)
	f.entries = append(f.entries, e)
	f.entryURLs = append(f.entryURLs, "http://"+e.field(f.t, `"callers":"([^"]+)"`))
	ready := "http://" + e.field(f.t, `"admin":"([^"]+)"`) + "/ready"
	eventually(f.t, name+" is ready", func() bool { return getOK(ready) })
	return e
}

// cli runs the command-line tool and returns its output and exit code.
func (f *fleet) cli(args ...string) (string, int) { return f.cliAt(f.admin, args...) }

// cliAt is cli against the control process with the given administration
// address.
func (f *fleet) cliAt(server string, args ...string) (string, int) {
	cmd := exec.Command(filepath.Join(binaries, "egretpitch"), args...)
	cmd.Env = append(os.Environ(), "EGRETPITCH_SERVER="+server)
	out, err := cmd.CombinedOutput()
	if _, exited := err.(*exec.ExitError); err != nil && !exited {
		f.t.Fatal(err)
	}
	return string(out), cmd.ProcessState.ExitCode()
}

// answer is the response that a caller received.
type answer struct {
	status  int
	outcome string
	reason  string
	host    string
	body    string
}

// call sends one request to the entry at base. An empty key sends no idempotency
// key.
func call(ctx context.Context, base, method, path, id, key, body string) (answer, error) {
	req, err := http.NewRequestWithContext(ctx, method, base+path, strings.NewReader(body))
	if err != nil {
		return answer{}, err
	}
	req.Header.Set(standin.RequestIDHeader, id)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{}, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return answer{
		status: resp.StatusCode, outcome: resp.Header.Get("Egretpitch-Outcome"),
		reason: resp.Header.Get("Egretpitch-Reason"), host: resp.Header.Get(standin.HostHeader), body: string(data),
	}, err
}

// executions returns all requests that the workers executed.
func (f *fleet) executions() []standin.Execution {
	f.t.Helper()
	var list []standin.Execution
	f.getJSON("/executions", &list)
	return list
}

// getJSON decodes the stand-in's response to a GET request into v.
func (f *fleet) getJSON(path string, v any) {
	f.t.Helper()
	resp, err := http.Get(f.platform + path)
	if err != nil {
		f.t.Fatal(err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(v); err != nil {
		f.t.Fatal(err)
	}
}

// put sends v as JSON in a PUT request to the stand-in, to set faults or the
// state of a listed host.
func (f *fleet) put(path string, v any) {
	f.t.Helper()
	data, err := json.Marshal(v)
	if err != nil {
		f.t.Fatal(err)
	}
	req, err := http.NewRequest(http.MethodPut, f.platform+path, bytes.NewReader(data))
	if err != nil {
		f.t.Fatal(err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		f.t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		f.t.Fatalf("PUT %s: status %d", path, resp.StatusCode)
	}
}

// lineBuffer is a concurrency-safe buffer of a program's output.
type lineBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (b *lineBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lineBuffer) all() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// tail returns the last n lines.
func (b *lineBuffer) tail(n int) string {
	lines := strings.Split(strings.TrimSpace(b.all()), "\n")
	return strings.Join(lines[max(0, len(lines)-n):], "\n")
}
