//go:build intake

// Package intake runs egretpitch-node as a separate process against a stand-in of
// the users' platform, connects clients that keep to no rules, and checks that the
// process stays within the memory and the file descriptors of its settings and then
// answers an ordinary request. It measures no times. Run it alone:
//
//	go test -tags intake -count=1 ./test/intake
//
// EGRETPITCH_INTAKE_CLIENTS, EGRETPITCH_INTAKE_MEMORY_MB and
// EGRETPITCH_INTAKE_DESCRIPTORS set other sizes than the small ones of the tests.
package intake

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
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
	binary      string
)

func numberFrom(variable string, defaultValue int) int {
	n, _ := strconv.Atoi(os.Getenv(variable)) // 0 if unset
	return cmp.Or(n, defaultValue)
}

func TestMain(m *testing.M) { os.Exit(testkit.RunTests(m, &binary, testkit.BuildNode)) }

// node is a process under test and what was measured of it.
type node struct {
	callers, ready, metrics string
	platform                *standin.Platform
	pid                     int
	ended                   chan struct{}
	cmd                     *exec.Cmd
	stop                    chan struct{}
	sampled                 sync.WaitGroup
	// peakKB is the most memory and peakFiles the most descriptors that were seen.
	// Memory is the resident set and what the kernel holds for the connections of
	// the listeners, of which peakQueuedKB.
	peakKB, peakQueuedKB, peakFiles int
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
		stop: make(chan struct{}),
	}
	settings, logPath := filepath.Join(t.TempDir(), "node.conf"), filepath.Join(t.TempDir(), "node.log")
	lines := []string{
		"node=front-0", "listen.front=" + n.callers, "listen.ready=" + n.ready, "listen.control=" + n.metrics,
		"platform.address=" + addresses.Store, "platform.writes_per_s=800", "platform.reads_per_s=2000",
		"cloud.address=" + addresses.Fleet, "bounds.max_hold_ms=6000", "bounds.stop_grace_ms=200", "bounds.grace_s=6",
		fmt.Sprintf("limits.memory_mb=%d", memoryMB), fmt.Sprintf("limits.file_descriptors=%d", descriptors),
	}
	if err := os.WriteFile(settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(binary)
	cmd.Env = []string{wire.SettingsVariable + "=" + settings}
	if n.ended, err = testkit.StartProcess(cmd, logPath); err != nil {
		t.Fatal(err)
	}
	n.cmd, n.pid = cmd, cmd.Process.Pid
	t.Cleanup(func() {
		close(n.stop)
		n.sampled.Wait()
		_ = cmd.Process.Kill()
		<-n.ended
		if t.Failed() {
			log, _ := os.ReadFile(logPath)
			t.Logf("end of the log of the process:\n%s", log[max(0, len(log)-4000):])
		}
	})
	n.answerOrdinaryRequest(t)
	n.sampled.Go(n.sample)
	return n
}

// sample measures the process until the end of the test.
func (n *node) sample() {
	ticker := time.NewTicker(samplePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-n.stop:
			return
		case <-n.ended:
			return
		case <-ticker.C:
			status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.pid)) // empty if it has just ended
			_, rest, _ := strings.Cut(string(status), "VmRSS:")
			kb, _, _ := strings.Cut(strings.TrimSpace(rest), " ")
			resident, _ := strconv.Atoi(kb)
			files, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.pid))
			queued := n.queuedKB()
			if resident+queued > n.peakKB {
				n.peakKB, n.peakQueuedKB = resident+queued, queued
			}
			n.peakFiles = max(n.peakFiles, len(files))
		}
	}
}

// queuedKB returns how much the kernel holds for the connections of the listeners:
// received and not read, or written and not sent.
func (n *node) queuedKB() int {
	ports := map[string]bool{}
	for _, address := range []string{n.callers, n.ready, n.metrics} {
		_, port, _ := net.SplitHostPort(address)
		number, _ := strconv.Atoi(port)
		ports[fmt.Sprintf("%04X", number)] = true
	}
	table, _ := os.ReadFile("/proc/net/tcp")
	bytesQueued := 0
	for lines := bufio.NewScanner(bytes.NewReader(table)); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) < 5 || fields[3] == "0A" { // the queue of a listener counts connections
			continue
		}
		_, port, _ := strings.Cut(fields[1], ":")
		if !ports[port] {
			continue
		}
		sending, received, _ := strings.Cut(fields[4], ":")
		for _, queue := range []string{sending, received} {
			size, _ := hex.DecodeString(queue)
			number := 0
			for _, b := range size {
				number = number<<8 | int(b)
			}
			bytesQueued += number
		}
	}
	return bytesQueued >> 10
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

// answerOrdinaryRequest fails the test unless a job is accepted.
func (n *node) answerOrdinaryRequest(t *testing.T) {
	t.Helper()
	status := 0
	for deadline := time.Now().Add(answerTimeout); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		select {
		case <-n.ended:
			t.Fatal("the process has ended")
		default:
		}
		if status = post(n.callers, "00000000000000aa", job(0)); status == http.StatusOK {
			return
		}
	}
	t.Fatalf("an ordinary request is answered %d", status)
}

// check fails the test if the process has used more than its host has.
func (n *node) check(t *testing.T) {
	t.Helper()
	n.answerOrdinaryRequest(t)
	time.Sleep(5 * samplePeriod)
	close(n.stop)
	n.sampled.Wait()
	n.stop = make(chan struct{})
	t.Logf("%s: %d clients, at most %d KB of %d (%d in the kernel) and %d descriptors of %d",
		t.Name(), clients, n.peakKB, memoryMB<<10, n.peakQueuedKB, n.peakFiles, descriptors)
	if n.peakKB > memoryMB<<10 {
		t.Errorf("%d KB of memory were used, the host has %d", n.peakKB, memoryMB<<10)
	}
	if n.peakFiles > descriptors {
		t.Errorf("%d descriptors were open, the host has %d", n.peakFiles, descriptors)
	}
}
