//go:build intake

// Package intake runs egretpitch-node, egretpitch-entry and egretpitch-control as
// separate processes against stand-ins of their platforms, connects clients that keep
// to no rules, and checks that the process stays within the memory and the file
// descriptors of its settings and then answers an ordinary request. It measures no
// times. Run it alone:
//
//	go test -tags intake -count=1 ./test/intake
//
// EGRETPITCH_INTAKE_CLIENTS, EGRETPITCH_INTAKE_MEMORY_MB and
// EGRETPITCH_INTAKE_DESCRIPTORS set other sizes than the small ones of the tests.
package intake

import (
	"bufio"
	"cmp"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/egretpitch/egretpitch/internal/placement"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/testkit"
	"github.com/egretpitch/egretpitch/internal/workload"
	wire "github.com/egretpitch/egretpitch/platform"
	"github.com/egretpitch/egretpitch/platform/standin"
)

const (
	queueHost   = "intake.example"
	queuePrefix = "/jobs/"
	// maxBody and maxHeader are the limits of the operator's configuration, in
	// bytes.
	maxBody, maxHeader = 262_144, 16_384
	// samplePeriod is the time between two measurements.
	samplePeriod = 20 * time.Millisecond
	// answerTimeout is how long a test tries to get an ordinary request answered.
	answerTimeout = time.Minute
)

var (
	clients     = numberFrom("EGRETPITCH_INTAKE_CLIENTS", 300)
	memoryMB    = numberFrom("EGRETPITCH_INTAKE_MEMORY_MB", 64)
	descriptors = numberFrom("EGRETPITCH_INTAKE_DESCRIPTORS", 600)
	binaries    string // directory of the programs
)

func numberFrom(variable string, defaultValue int) int {
	n, _ := strconv.Atoi(os.Getenv(variable)) // 0 if unset
	return cmp.Or(n, defaultValue)
}

func TestMain(m *testing.M) {
	os.Exit(testkit.RunTests(m, &binaries, func() (string, func(), error) {
		return testkit.Build("egretpitch-node", "egretpitch-entry", "egretpitch-control", "egretpitch-standin")
	}))
}

// node is an egretpitch-node under test.
type node struct {
	*process
	callers, ready, metrics string
	platform                *standin.Platform
}

// start starts a platform and one process, which accepts jobs. Both end with the
// test.
func start(t *testing.T) *node {
	p := standin.New(standin.Estate{
		Pools:  []standin.Pool{{Name: "pool", Workers: 2, Capacity: placement.Resources{Processors: 8, MemoryMB: 4096}}},
		Queues: []standin.Queue{{Name: "q", Host: queueHost, PathPrefix: queuePrefix, Pool: "pool", MaxAttempts: 2}},
	})
	p.Limits = map[string]any{"max_body_bytes": maxBody, "max_header_bytes": maxHeader, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
	p.Size = func(workload.TaskID) placement.Resources { return placement.Resources{Processors: 1, MemoryMB: 64} }
	p.RunOutcome = func(workload.TaskID) (time.Duration, platform.RunEnd) { return 50 * time.Millisecond, platform.EndDone }
	addresses, err := p.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Stop)
	n := &node{
		callers: testkit.FreePort(t), ready: testkit.FreePort(t), metrics: testkit.FreePort(t), platform: p,
	}
	settings := filepath.Join(t.TempDir(), "node.conf")
	lines := []string{
		"node=front-0", "listen.front=" + n.callers, "listen.ready=" + n.ready, "listen.control=" + n.metrics,
		"platform.address=" + addresses.Store, "platform.writes_per_s=800", "platform.reads_per_s=2000",
		"cloud.address=" + addresses.Fleet, "bounds.max_hold_ms=6000", "bounds.stop_grace_ms=200", "bounds.grace_s=6",
		fmt.Sprintf("limits.memory_mb=%d", memoryMB), fmt.Sprintf("limits.file_descriptors=%d", descriptors),
	}
	if err := os.WriteFile(settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(filepath.Join(binaries, "egretpitch-node"))
	cmd.Env = []string{wire.SettingsVariable + "=" + settings}
	n.process = launch(t, cmd)
	n.listeners = []string{n.callers, n.ready, n.metrics}
	n.ordinary = func() int { return post(n.callers, "00000000000000aa", job(0)) }
	n.measure(t)
	return n
}

// job is the body of an ordinary request. Its size is in bytes.
func job(size int) string {
	body := `{"task_spec":"intake","steps":[{"count":1,"cpu":1000,"mem_mb":64,"estimated_ms":100}]}`
	return body + strings.Repeat(" ", max(0, size-len(body)))
}

// post submits a job on a connection of its own and returns the status, 0 if there
// is none.
func post(address, id, body string) int {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	_, _ = fmt.Fprintf(c, "POST %s%s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n%s", queuePrefix, id, queueHost, len(body), body)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}
